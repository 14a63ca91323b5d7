use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use async_std::io::{Read, Write};
use async_std::net::TcpStream;

/// A connection from which at most a fixed number of bytes can be read.
///
/// The bound is needed because the HTTP library reads a whole line of a request
/// head before it checks the line's length.
#[derive(Debug, Clone)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    remaining_bytes: Arc<AtomicU64>,
}

impl BoundedStream {
    pub(crate) fn new(stream: TcpStream, bytes_max: u64) -> BoundedStream {
        BoundedStream { stream, remaining_bytes: Arc::new(AtomicU64::new(bytes_max)) }
    }

    /// Returns whether the maximum number of bytes was read.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.remaining_bytes.load(Ordering::Relaxed) == 0
    }
}

impl Read for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining_bytes = self.remaining_bytes.load(Ordering::Relaxed);
        if remaining_bytes == 0 {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the request is longer than allowed",
            )));
        }
        let length = buffer.len().min(usize::try_from(remaining_bytes).unwrap_or(usize::MAX));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]);
        if let Poll::Ready(Ok(count)) = &read {
            self.remaining_bytes.fetch_sub(*count as u64, Ordering::Relaxed);
        }
        read
    }
}

impl Write for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
