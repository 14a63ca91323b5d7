use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::channel::{self, Receiver, Sender};
use snafu::Snafu;

/// Chunks that may wait for a slow caller; the sender waits when they are full.
const QUEUED_CHUNKS_MAX: usize = 4;

/// Returns the two ends of a streamed body.
///
/// The body ends cleanly only by [`ChunkSender::finish`]; a sender that is
/// dropped otherwise cuts the connection, so that the caller never takes a
/// part of an answer for the whole.
pub fn chunk_channel() -> (ChunkSender, ChunkReceiver) {
    let (chunk_sender, chunk_receiver) = channel::bounded(QUEUED_CHUNKS_MAX);
    let (guard, hang_up) = channel::bounded(1);
    let finished = Arc::new(AtomicBool::new(false));
    let sender = ChunkSender { chunks: chunk_sender, finished: Arc::clone(&finished), hang_up };
    let receiver = ChunkReceiver { chunks: chunk_receiver, finished, _guard: guard };
    (sender, receiver)
}

/// The end of a streamed body that the handler writes to.
#[derive(Debug)]
pub struct ChunkSender {
    chunks: Sender<Vec<u8>>,
    finished: Arc<AtomicBool>,
    hang_up: Receiver<()>,
}

impl ChunkSender {
    /// Sends a chunk, waiting while the caller reads slowly.
    ///
    /// # Errors
    ///
    /// Fails if the caller hung up or its connection failed.
    pub async fn send(&self, chunk: Vec<u8>) -> Result<(), HungUp> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.chunks.send(chunk).await.map_err(|_| HungUp)
    }

    /// Waits until the caller hung up or its connection failed.
    ///
    /// A handler that waits for a target races this against the wait, so that
    /// a hang-up cancels the work at once rather than at the next chunk.
    pub async fn hung_up(&self) {
        let _ = self.hang_up.recv().await;
    }

    /// Ends the body cleanly.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }

    /// Cuts the connection, so that the caller sees a truncated body.
    pub fn fail(self) {}
}

/// The end of a streamed body that the server reads from.
#[derive(Debug)]
pub struct ChunkReceiver {
    chunks: Receiver<Vec<u8>>,
    finished: Arc<AtomicBool>,
    _guard: Sender<()>,
}

impl ChunkReceiver {
    /// Returns the next chunk, or `None` after a clean end.
    ///
    /// # Errors
    ///
    /// Fails if the sender was dropped without [`ChunkSender::finish`].
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, Aborted> {
        if let Ok(chunk) = self.chunks.recv().await {
            return Ok(Some(chunk));
        }
        if self.finished.load(Ordering::Acquire) { Ok(None) } else { Err(Aborted) }
    }
}

/// The caller hung up.
#[derive(Debug, Snafu)]
#[snafu(display("the caller hung up; cancel the work for it"))]
pub struct HungUp;

/// The sender of a streamed body gave it up.
#[derive(Debug, Snafu)]
#[snafu(display("the answer was given up before its end; send the request again"))]
pub struct Aborted;
