use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_h1::client::Encoder;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_util::FutureExt;
use futures_util::io::AsyncWriteExt;
use http_types::{Method, Request};
use lycheeford_http::{BodyDecoder, Category, MessageReader, ResponseHead, read_some};

use crate::error::Code;
use crate::{TargetError, TargetLimits};

const HEAD_BYTES_MAX: usize = 16 * 1024;
/// Interim answers, such as 100 Continue, that may stand before the final one.
const INTERIM_HEADS_MAX: usize = 8;
const STATUS_SWITCHING_PROTOCOLS: u16 = 101;
/// Bytes gathered for one write.
const WRITE_BYTES: usize = 16 * 1024;

/// One connection to a target; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Link {
    reader: MessageReader<TcpStream>,
    writer: TcpStream,
}

impl Link {
    /// Opens a connection.
    pub(crate) async fn open(address: SocketAddr, limit_ms: u64) -> Result<Link, TargetError> {
        let stream = timeout(Duration::from_millis(limit_ms), TcpStream::connect(address))
            .await
            .map_err(|_| Code::ConnectTimeout { limit_ms })?
            .map_err(|source| Code::Connect { source })?;
        // Without it the last part of a request could wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        Ok(Link { reader: MessageReader::new(stream.clone()), writer: stream })
    }

    /// Returns whether the target neither closed the connection nor sent
    /// anything since the last answer, as far as is known without waiting.
    pub(crate) fn is_quiet(&mut self) -> bool {
        self.reader.surplus_bytes() == 0 && self.reader.fill().now_or_never().is_none()
    }

    /// Sends a request.
    pub(crate) async fn send(
        &mut self,
        request: Request,
        limits: &TargetLimits,
    ) -> Result<(), TargetError> {
        let mut encoder = Encoder::new(request);
        let mut buffer = Vec::new();
        let mut sent_bytes = 0;
        loop {
            buffer.clear();
            while buffer.len() < WRITE_BYTES {
                match read_some(&mut encoder, &mut buffer).await {
                    Ok(1..) => {}
                    Ok(0) if buffer.is_empty() => return Ok(()),
                    Ok(0) => break,
                    Err(source) => return Err(write_error(sent_bytes, source)),
                }
            }
            self.send_all(&buffer, &mut sent_bytes, limits.between_bytes_ms_max).await?;
        }
    }

    async fn send_all(
        &mut self,
        mut bytes: &[u8],
        sent_bytes: &mut u64,
        limit_ms: u64,
    ) -> Result<(), TargetError> {
        while !bytes.is_empty() {
            let length_bytes = timeout(Duration::from_millis(limit_ms), self.writer.write(bytes))
                .await
                .map_err(|_| write_timeout(*sent_bytes, limit_ms))?
                .map_err(|source| write_error(*sent_bytes, source))?;
            *sent_bytes += length_bytes as u64;
            bytes = &bytes[length_bytes..];
        }
        Ok(())
    }

    /// Receives the final head of the answer to a request with `method`.
    pub(crate) async fn receive_head(
        &mut self,
        method: Method,
        first_byte_ms_max: u64,
        between_bytes_ms_max: u64,
    ) -> Result<ResponseHead, TargetError> {
        for _ in 0..=INTERIM_HEADS_MAX {
            if self.reader.surplus_bytes() == 0 {
                self.wait_for_head(first_byte_ms_max).await?;
            }
            let head = self.read_head(method, between_bytes_ms_max).await?;
            if head.status == STATUS_SWITCHING_PROTOCOLS {
                break;
            }
            if !head.is_interim() {
                return Ok(head);
            }
        }
        Err(Code::Interim.into())
    }

    async fn wait_for_head(&mut self, limit_ms: u64) -> Result<(), TargetError> {
        let length_bytes = timeout(Duration::from_millis(limit_ms), self.reader.fill())
            .await
            .map_err(|_| Code::FirstByteTimeout { limit_ms })?
            .map_err(|source| Code::Read { source })?;
        if length_bytes == 0 { Err(Code::Closed.into()) } else { Ok(()) }
    }

    async fn read_head(
        &mut self,
        method: Method,
        limit_ms: u64,
    ) -> Result<ResponseHead, TargetError> {
        let bytes = timeout(Duration::from_millis(limit_ms), self.reader.head(HEAD_BYTES_MAX))
            .await
            .map_err(|_| Code::BetweenBytesTimeout { limit_ms })?
            .map_err(|source| match source.category() {
                Category::Closed | Category::Truncated | Category::Broken => Code::Closed,
                Category::TooLarge | Category::Malformed => Code::Head { source },
            })?;
        ResponseHead::parse(&bytes, method).map_err(|source| Code::Head { source }.into())
    }

    /// Receives the next bytes of the body, or `None` after its end.
    ///
    /// The limit counts from `waiting_since`.
    pub(crate) async fn receive_chunk(
        &mut self,
        decoder: &mut BodyDecoder,
        waiting_since: Instant,
        limit_ms: u64,
    ) -> Result<Option<Vec<u8>>, TargetError> {
        let limit = Duration::from_millis(limit_ms).saturating_sub(waiting_since.elapsed());
        let chunk = timeout(limit, self.reader.body_chunk(decoder))
            .await
            .map_err(|_| Code::BetweenBytesTimeout { limit_ms })?;
        chunk.map_err(|source| {
            let code = match source.category() {
                Category::Closed | Category::Truncated | Category::Broken => Code::Truncated,
                Category::TooLarge | Category::Malformed => Code::Body { source },
            };
            code.into()
        })
    }
}

fn write_error(sent_bytes: u64, source: io::Error) -> TargetError {
    match sent_bytes {
        0 => Code::WriteNothing { source }.into(),
        _ => Code::Write { source }.into(),
    }
}

fn write_timeout(sent_bytes: u64, limit_ms: u64) -> TargetError {
    match sent_bytes {
        0 => Code::WriteNothing { source: io::ErrorKind::TimedOut.into() }.into(),
        _ => Code::WriteTimeout { limit_ms }.into(),
    }
}
