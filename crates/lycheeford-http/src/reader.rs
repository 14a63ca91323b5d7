use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::Poll;

use futures_util::io::AsyncRead;

use crate::error::Code;
use crate::head::check_request_start;
use crate::{BodyDecoder, Error};

/// The most bytes of one read.
const READ_BYTES_MAX: usize = 8 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";

/// Reads available bytes from `stream`, appends them to `buffer`, and returns their number.
///
/// No read buffer is allocated while the stream has no bytes, so that an idle
/// connection needs little memory. Zero means the end of the stream. Dropping
/// the future loses no bytes.
///
/// # Errors
///
/// Fails if reading the stream fails.
pub async fn read_some<S>(stream: &mut S, buffer: &mut Vec<u8>) -> io::Result<usize>
where
    S: AsyncRead + Unpin,
{
    poll_fn(|context| {
        let mut scratch = [0; READ_BYTES_MAX];
        let polled = Pin::new(&mut *stream).poll_read(context, &mut scratch);
        if let Poll::Ready(Ok(length_bytes)) = polled {
            buffer.extend_from_slice(&scratch[..length_bytes]);
        }
        polled
    })
    .await
}

/// Reads messages from a connection and buffers the bytes read beyond the last message.
#[derive(Debug)]
pub struct MessageReader<S> {
    stream: S,
    buffer: Vec<u8>,
}

impl<S: AsyncRead + Unpin> MessageReader<S> {
    /// Returns a reader on `stream`.
    pub fn new(stream: S) -> MessageReader<S> {
        MessageReader { stream, buffer: Vec::new() }
    }

    /// Returns the underlying stream, for example to set its options.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// Returns how many bytes beyond the last message are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Reads more bytes into the buffer and returns their number; zero means the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if reading the stream fails.
    pub async fn fill(&mut self) -> io::Result<usize> {
        read_some(&mut self.stream, &mut self.buffer).await
    }

    /// Drops buffered empty lines before the next message, and returns whether there were any.
    pub fn skip_empty_lines(&mut self) -> bool {
        let kept_bytes = self.buffer.len();
        while self.buffer.starts_with(LINE_END) {
            self.buffer.drain(..LINE_END.len());
        }
        self.buffer.len() < kept_bytes
    }

    /// Reads the head of a response of at most `head_bytes_max` bytes, including its empty line.
    ///
    /// Empty lines before the head are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends or fails, or if the head, or the empty lines
    /// before it, are larger.
    pub async fn head(&mut self, head_bytes_max: usize) -> Result<Vec<u8>, Error> {
        self.read_head(head_bytes_max, |_| Ok(())).await
    }

    /// Reads the head of a request as [`MessageReader::head`] does.
    ///
    /// # Errors
    ///
    /// Fails as [`MessageReader::head`] does, and as soon as the first bytes
    /// can't be the start of a request.
    pub async fn request_head(&mut self, head_bytes_max: usize) -> Result<Vec<u8>, Error> {
        self.read_head(head_bytes_max, check_request_start).await
    }

    async fn read_head(
        &mut self,
        head_bytes_max: usize,
        check_start: fn(&[u8]) -> Result<(), Error>,
    ) -> Result<Vec<u8>, Error> {
        let mut searched_bytes = 0;
        let mut skipped_bytes = 0;
        loop {
            let previous_bytes = self.buffer.len();
            if self.skip_empty_lines() {
                searched_bytes = 0;
                skipped_bytes += previous_bytes - self.buffer.len();
            }
            if skipped_bytes > head_bytes_max {
                return Err(too_large(head_bytes_max));
            }
            check_start(&self.buffer)?;
            if let Some(length_bytes) = head_length(&self.buffer, searched_bytes) {
                if length_bytes > head_bytes_max {
                    return Err(too_large(head_bytes_max));
                }
                return Ok(self.take(length_bytes));
            }
            if self.buffer.len() >= head_bytes_max {
                return Err(too_large(head_bytes_max));
            }
            searched_bytes = self.buffer.len();
            if self.fill().await.map_err(|source| Code::Read { source })? == 0 {
                let code = if self.buffer.is_empty() { Code::Closed } else { Code::Truncated };
                return Err(code.into());
            }
        }
    }

    /// Returns the next bytes of a body, or `None` after its end.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends inside the body or fails, or if the framing of
    /// the body is malformed.
    pub async fn body_chunk(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Vec<u8>>, Error> {
        let mut chunk = Vec::new();
        while !decoder.is_complete() {
            let used_bytes = decoder.decode(&self.buffer, &mut chunk)?;
            self.consume(used_bytes);
            if !chunk.is_empty() {
                return Ok(Some(chunk));
            }
            if decoder.is_complete() {
                break;
            }
            if self.fill().await.map_err(|source| Code::Read { source })? == 0 {
                decoder.end_of_stream()?;
            }
        }
        Ok(None)
    }

    fn take(&mut self, length_bytes: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(length_bytes);
        std::mem::replace(&mut self.buffer, rest)
    }

    fn consume(&mut self, length_bytes: usize) {
        if length_bytes == self.buffer.len() {
            // Frees the memory, since the connection may now be idle for a long time.
            self.buffer = Vec::new();
        } else {
            self.buffer.drain(..length_bytes);
        }
    }
}

fn head_length(buffer: &[u8], searched_bytes: usize) -> Option<usize> {
    let start = searched_bytes.saturating_sub(HEAD_END.len() - 1);
    let index = buffer[start..].windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(start + index + HEAD_END.len())
}

fn too_large(limit_bytes: usize) -> Error {
    Code::TooLarge { part: "head", limit_bytes }.into()
}
