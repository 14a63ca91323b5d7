use std::collections::VecDeque;
use std::fmt::{self, Debug};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::io::{AsyncBufRead, AsyncRead};

use crate::account::{MemoryExhausted, Reservation};

/// The size of a piece of a body.
///
/// Smaller than what glibc maps separately: it raises that limit to the size of the largest block
/// that was freed, and then keeps twice as much free memory in each of its arenas.
const PIECE_BYTES: usize = 64 * 1024;

/// Bytes in pieces, to which more can be added.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Pieces {
    pieces: VecDeque<Vec<u8>>,
    length_bytes: usize,
}

impl Pieces {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length_bytes
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length_bytes == 0
    }

    /// Returns the bytes in order.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(Vec::as_slice)
    }

    /// Adds bytes at the end.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.length_bytes += bytes.len();
        while !bytes.is_empty() {
            let room_bytes = self.pieces.back().map_or(0, |last| PIECE_BYTES - last.len());
            if room_bytes == 0 {
                // A body that goes on after a whole piece probably fills the next one.
                let is_first = self.pieces.is_empty();
                let capacity_bytes = if is_first { 0 } else { PIECE_BYTES };
                self.pieces.push_back(Vec::with_capacity(capacity_bytes));
                continue;
            }
            let (now, later) = bytes.split_at(bytes.len().min(room_bytes));
            if let Some(last) = self.pieces.back_mut() {
                let length_bytes = last.len() + now.len();
                if length_bytes > last.capacity() {
                    let capacity_bytes = length_bytes.max(2 * last.capacity()).min(PIECE_BYTES);
                    last.reserve_exact(capacity_bytes - last.len());
                }
                last.extend_from_slice(now);
            }
            bytes = later;
        }
    }

    /// Returns the bytes in one block, and frees each piece after its bytes were copied.
    pub fn into_vec(mut self) -> Vec<u8> {
        if self.pieces.len() == 1 {
            return self.pieces.pop_front().unwrap_or_default();
        }
        let mut whole = Vec::with_capacity(self.length_bytes);
        while let Some(piece) = self.pieces.pop_front() {
            whole.extend_from_slice(&piece);
        }
        whole
    }
}

impl From<Vec<u8>> for Pieces {
    fn from(bytes: Vec<u8>) -> Pieces {
        if bytes.len() <= PIECE_BYTES {
            return Pieces { length_bytes: bytes.len(), pieces: VecDeque::from([bytes]) };
        }
        let mut pieces = Pieces::default();
        pieces.push(&bytes);
        pieces
    }
}

impl Debug for Pieces {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Pieces({} bytes)", self.length_bytes)
    }
}

/// A complete body that several sends can read without a copy of their own.
#[derive(Debug, Clone, Default)]
pub struct SharedBody(Arc<Pieces>);

impl SharedBody {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the bytes in order.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.0.iter()
    }

    /// Returns the bytes in one block; without a copy of all of them if nobody else holds the body.
    pub fn into_vec(self) -> Vec<u8> {
        Arc::unwrap_or_clone(self.0).into_vec()
    }

    /// Returns a reader of the whole body.
    pub fn reader(&self) -> SharedBodyReader {
        SharedBodyReader { body: self.clone(), piece: 0, offset_bytes: 0 }
    }
}

impl From<Pieces> for SharedBody {
    fn from(pieces: Pieces) -> SharedBody {
        SharedBody(Arc::new(pieces))
    }
}

impl From<Vec<u8>> for SharedBody {
    fn from(bytes: Vec<u8>) -> SharedBody {
        SharedBody::from(Pieces::from(bytes))
    }
}

/// Reads a [`SharedBody`].
#[derive(Debug)]
pub struct SharedBodyReader {
    body: SharedBody,
    piece: usize,
    offset_bytes: usize,
}

impl SharedBodyReader {
    fn available(&self) -> &[u8] {
        let piece = self.body.0.pieces.get(self.piece);
        piece.map_or(&[], |piece| &piece[self.offset_bytes..])
    }
}

impl AsyncBufRead for SharedBodyReader {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Ok(self.get_mut().available()))
    }

    fn consume(mut self: Pin<&mut Self>, length_bytes: usize) {
        self.offset_bytes += length_bytes;
        let is_read = |piece: &Vec<u8>| piece.len() == self.offset_bytes;
        if self.body.0.pieces.get(self.piece).is_some_and(is_read) {
            self.piece += 1;
            self.offset_bytes = 0;
        }
    }
}

impl AsyncRead for SharedBodyReader {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        read_buffered(self, context, buffer)
    }
}

/// Bytes with their reservation, both of which shrink as the bytes are read.
#[derive(Debug)]
pub struct HeldBytes {
    pieces: Pieces,
    memory: Reservation,
    /// The bytes of the first piece that were read.
    offset_bytes: usize,
    unread_bytes: Arc<AtomicUsize>,
}

impl HeldBytes {
    /// Returns no bytes, whose later ones are taken from `memory` before it grows.
    pub fn new(memory: Reservation) -> HeldBytes {
        HeldBytes {
            pieces: Pieces::default(),
            memory,
            offset_bytes: 0,
            unread_bytes: Arc::default(),
        }
    }

    /// Returns the bytes that weren't read yet.
    pub fn pieces(&self) -> &Pieces {
        &self.pieces
    }

    /// Returns the number of unread bytes, which stays current while the bytes are read.
    pub fn unread_bytes(&self) -> &Arc<AtomicUsize> {
        &self.unread_bytes
    }

    /// Adds bytes, and waits for memory for no longer than `limit`; returns how long it waited.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory in time.
    pub async fn push(
        &mut self,
        bytes: &[u8],
        limit: Duration,
    ) -> Result<Duration, MemoryExhausted> {
        let missing_bytes =
            (self.pieces.len() + bytes.len()).saturating_sub(self.memory.held_bytes());
        let waited = self.memory.grow_within(missing_bytes, limit).await?;
        self.pieces.push(bytes);
        self.unread_bytes.store(self.pieces.len(), Ordering::Relaxed);
        Ok(waited)
    }
}

impl AsyncBufRead for HeldBytes {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let held = self.get_mut();
        let first = held.pieces.pieces.front();
        Poll::Ready(Ok(first.map_or(&[], |first| &first[held.offset_bytes..])))
    }

    fn consume(mut self: Pin<&mut Self>, length_bytes: usize) {
        self.offset_bytes += length_bytes;
        self.unread_bytes.fetch_sub(length_bytes, Ordering::Relaxed);
        let is_read = |first: &Vec<u8>| first.len() == self.offset_bytes;
        if self.pieces.pieces.front().is_some_and(is_read) {
            let read_bytes = std::mem::take(&mut self.offset_bytes);
            self.pieces.pieces.pop_front();
            self.pieces.length_bytes -= read_bytes;
            self.memory.shrink(read_bytes);
        }
    }
}

impl AsyncRead for HeldBytes {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        read_buffered(self, context, buffer)
    }
}

fn read_buffered<R: AsyncBufRead>(
    mut reader: Pin<&mut R>,
    context: &mut Context<'_>,
    buffer: &mut [u8],
) -> Poll<io::Result<usize>> {
    let available = std::task::ready!(reader.as_mut().poll_fill_buf(context))?;
    let length_bytes = available.len().min(buffer.len());
    buffer[..length_bytes].copy_from_slice(&available[..length_bytes]);
    reader.consume(length_bytes);
    Poll::Ready(Ok(length_bytes))
}
