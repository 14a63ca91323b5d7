use crate::TargetError;
use crate::error::Code;

/// An answer of a target, whose body may still be on its way.
///
/// Dropping it closes the connection, which cancels the call.
#[derive(Debug)]
pub struct TargetResponse {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lower case, less those of the connection.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: TargetBody,
}

/// The body of an answer.
#[derive(Debug)]
pub struct TargetBody;

impl TargetBody {
    /// Returns the next bytes, or `None` after the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the answer is cut, malformed, too large, or pauses too long.
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, TargetError> {
        std::future::ready(Err(Code::Closed.into())).await
    }

    /// Returns the whole body, of at most `bytes_max` bytes.
    ///
    /// # Errors
    ///
    /// Fails as [`TargetBody::next_chunk`] does, or if the body is larger.
    pub async fn whole(mut self, bytes_max: usize) -> Result<Vec<u8>, TargetError> {
        let mut whole = Vec::new();
        while let Some(chunk) = self.next_chunk().await? {
            if whole.len() + chunk.len() > bytes_max {
                return Err(Code::TooLarge { limit_bytes: bytes_max }.into());
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole)
    }
}
