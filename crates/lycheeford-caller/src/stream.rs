use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use async_std::channel::{self, Receiver, Sender};
use futures_util::io::{AsyncBufRead, AsyncRead};
use futures_util::stream::Stream;
use lycheeford_http::Reservation;
use snafu::Snafu;

/// Chunks queued for a slow caller; the sender waits while the queue is full.
const QUEUED_CHUNKS_MAX: usize = 2;

/// Creates the sender and the receiver of a streamed body.
///
/// Only [`ChunkSender::finish`] ends the body cleanly. Dropping the sender in
/// any other way cuts the connection, so that the caller never takes a
/// truncated response for a complete one.
pub fn chunk_channel() -> (ChunkSender, ChunkReceiver) {
    let (chunk_sender, chunk_receiver) = channel::bounded(QUEUED_CHUNKS_MAX);
    let (guard, disconnected) = channel::bounded(1);
    let finished = Arc::new(AtomicBool::new(false));
    let unread_bytes = Arc::<AtomicUsize>::default();
    let sender = ChunkSender {
        chunks: chunk_sender,
        finished: Arc::clone(&finished),
        unread_bytes: Arc::clone(&unread_bytes),
        disconnected,
    };
    let receiver = ChunkReceiver {
        chunks: chunk_receiver,
        finished,
        unread_bytes,
        chunk: Chunk::default(),
        read_bytes: 0,
        _guard: guard,
    };
    (sender, receiver)
}

/// Bytes of a stream with the memory that is reserved for them, if the handler counts it.
#[derive(Debug, Default)]
struct Chunk {
    bytes: Vec<u8>,
    memory: Option<Reservation>,
}

impl Chunk {
    /// Returns how many of the bytes are in the account of memory.
    fn counted_bytes(&self) -> usize {
        if self.memory.is_some() { self.bytes.len() } else { 0 }
    }
}

/// The sending end of a streamed body, used by the handler.
#[derive(Debug)]
pub struct ChunkSender {
    chunks: Sender<Chunk>,
    finished: Arc<AtomicBool>,
    /// The bytes in the account of memory that were sent and not yet read.
    unread_bytes: Arc<AtomicUsize>,
    disconnected: Receiver<()>,
}

impl ChunkSender {
    /// Sends a chunk, waiting while the queue to a slow caller is full.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnected or its connection failed.
    pub async fn send(&self, chunk: Vec<u8>) -> Result<(), CallerDisconnected> {
        self.send_chunk(Chunk { bytes: chunk, memory: None }).await
    }

    /// Sends a chunk like [`ChunkSender::send`] whose memory is released when it was written.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnected or its connection failed.
    pub async fn send_held(
        &self,
        chunk: Vec<u8>,
        memory: Reservation,
    ) -> Result<(), CallerDisconnected> {
        self.send_chunk(Chunk { bytes: chunk, memory: Some(memory) }).await
    }

    async fn send_chunk(&self, chunk: Chunk) -> Result<(), CallerDisconnected> {
        if chunk.bytes.is_empty() {
            return Ok(());
        }
        self.unread_bytes.fetch_add(chunk.counted_bytes(), Ordering::Relaxed);
        self.chunks.send(chunk).await.map_err(|_| CallerDisconnected)
    }

    /// Waits until the caller disconnected or its connection failed.
    ///
    /// A handler that waits for a target races this future against that wait,
    /// so that a disconnect cancels the work at once rather than at the next
    /// chunk.
    pub async fn caller_disconnected(&self) {
        let _ = self.disconnected.recv().await;
    }

    /// Ends the body cleanly.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }

    /// Cuts the connection, so that the caller sees a truncated body.
    pub fn fail(self) {}
}

/// The receiving end of a streamed body, read by the server.
///
/// It yields one chunk at a time, so that the first chunk is sent at once
/// instead of waiting for a buffer to fill.
#[derive(Debug)]
pub struct ChunkReceiver {
    chunks: Receiver<Chunk>,
    finished: Arc<AtomicBool>,
    unread_bytes: Arc<AtomicUsize>,
    chunk: Chunk,
    read_bytes: usize,
    _guard: Sender<()>,
}

impl ChunkReceiver {
    /// Returns the number of bytes in the account of memory that were sent and not yet read.
    pub(crate) fn unread_bytes(&self) -> &Arc<AtomicUsize> {
        &self.unread_bytes
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.read_bytes == self.chunk.bytes.len() {
            // Releases the memory of the last chunk, also if the next one isn't here yet.
            let read = std::mem::take(&mut self.chunk);
            self.unread_bytes.fetch_sub(read.counted_bytes(), Ordering::Relaxed);
            self.read_bytes = 0;
            match ready!(Pin::new(&mut self.chunks).poll_next(context)) {
                Some(chunk) => {
                    self.chunk = chunk;
                    self.read_bytes = 0;
                }
                None if self.finished.load(Ordering::Acquire) => break,
                None => return Poll::Ready(Err(io::Error::other(Aborted))),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncBufRead for ChunkReceiver {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let receiver = self.get_mut();
        ready!(receiver.poll_chunk(context))?;
        Poll::Ready(Ok(&receiver.chunk.bytes[receiver.read_bytes..]))
    }

    fn consume(mut self: Pin<&mut Self>, length_bytes: usize) {
        self.read_bytes += length_bytes;
    }
}

impl AsyncRead for ChunkReceiver {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let length_bytes = available.len().min(buffer.len());
        buffer[..length_bytes].copy_from_slice(&available[..length_bytes]);
        self.consume(length_bytes);
        Poll::Ready(Ok(length_bytes))
    }
}

/// The caller disconnected, or its connection failed, before the body ended.
#[derive(Debug, Snafu)]
#[snafu(display("the caller disconnected; cancel the work for it"))]
pub struct CallerDisconnected;

#[derive(Debug, Snafu)]
#[snafu(display("the response was aborted before its end; send the request again"))]
struct Aborted;
