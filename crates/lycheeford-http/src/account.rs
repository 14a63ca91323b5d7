use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::task::AtomicWaker;
use snafu::Snafu;

/// The part of the memory that only small reservations may use, as a divisor: large bodies that
/// fill the account must not keep ordinary requests from being served.
const SMALL_PART: usize = 8;
/// The largest reservation that counts as small.
const SMALL_BYTES_MAX: usize = 64 * 1024;
/// How long bytes must have been unread before their reader may be closed, so that a reader isn't
/// judged by a single pause of the network.
const UNREAD_MS_MIN: u64 = 500;
/// A reader that will have read everything sooner than this isn't closed, since waiting for it
/// costs less than the loss of its answer.
const REMAINING_MS_MIN: u64 = 2_000;
/// The interval at which a reservation that found no room tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Limits the memory that a process holds for others: bodies, answers and parts of streams.
///
/// A limit for each body isn't enough, since many connections may each hold one at the same time.
/// Reservations return their bytes when they are dropped, so that nothing can leak. The account
/// also knows the readers that are behind. When there is no room, it closes the slowest of them.
///
/// ```
/// use lycheeford_http::MemoryAccount;
///
/// let account = MemoryAccount::new(100);
/// let mut first = account.reservation();
/// assert_eq!(first.grow(80), Ok(()));
/// assert!(account.reservation().grow(80).is_err());
/// drop(first);
/// assert_eq!(account.reservation().grow(80), Ok(()));
/// assert_eq!(account.held_bytes(), 0);
/// ```
#[derive(Debug)]
pub struct MemoryAccount {
    total_bytes: usize,
    held_bytes: AtomicUsize,
    start: Instant,
    /// The readers that have been behind at least once in their current answer.
    readers: Mutex<Vec<Arc<Reader>>>,
}

/// The memory of the process has no room for the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display(
    "the memory for bodies and answers is used up ({held_bytes} of {total_bytes} bytes); retry later"
))]
pub struct MemoryExhausted {
    held_bytes: usize,
    total_bytes: usize,
}

impl MemoryAccount {
    /// Returns an account of `total_bytes`.
    pub fn new(total_bytes: usize) -> Arc<MemoryAccount> {
        Arc::new(MemoryAccount {
            total_bytes,
            held_bytes: AtomicUsize::new(0),
            start: Instant::now(),
            readers: Mutex::default(),
        })
    }

    /// Returns the limit of the account.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Returns how many bytes are reserved.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation, which releases its bytes when it is dropped.
    pub fn reservation(self: &Arc<MemoryAccount>) -> Reservation {
        Reservation { account: Arc::clone(self), held_bytes: 0 }
    }

    /// Registers a reader that is behind until the result is dropped.
    ///
    /// `unread_bytes` are those of the account that are held for it. A reader of none is never
    /// closed.
    pub fn register_reader(
        self: &Arc<MemoryAccount>,
        unread_bytes: &Arc<AtomicUsize>,
    ) -> RegisteredReader {
        let reader = Arc::new(Reader {
            unread_bytes: Arc::clone(unread_bytes),
            behind_since_ms: AtomicU64::new(self.now_ms()),
            read_bytes: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        });
        self.readers().push(Arc::clone(&reader));
        RegisteredReader { account: Arc::clone(self), reader }
    }

    /// Closes the reader that will take the longest, unless one is being closed already.
    fn close_slowest(&self) {
        let now_ms = self.now_ms();
        let readers = self.readers();
        if readers.iter().any(|reader| reader.is_closed.load(Ordering::Acquire)) {
            return;
        }
        let slowest = readers.iter().max_by_key(|reader| reader.remaining_ms(now_ms));
        let slowest = slowest.filter(|reader| reader.remaining_ms(now_ms) >= REMAINING_MS_MIN);
        if let Some(slowest) = slowest {
            slowest.is_closed.store(true, Ordering::Release);
            slowest.waker.wake();
        }
    }

    fn readers(&self) -> MutexGuard<'_, Vec<Arc<Reader>>> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the account was made, and at least 1, since 0 stands for no time.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX).max(1)
    }
}

/// A part of the account's memory, which is released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Arc<MemoryAccount>,
    held_bytes: usize,
}

impl Reservation {
    /// Returns how many bytes are reserved.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    ///
    /// Fails if that many aren't available.
    pub fn grow(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        if bytes == 0 {
            return Ok(());
        }
        let account = &self.account;
        let is_small = self.held_bytes.saturating_add(bytes) <= SMALL_BYTES_MAX;
        let reserved_bytes = if is_small { 0 } else { account.total_bytes / SMALL_PART };
        let limit_bytes = account.total_bytes - reserved_bytes;
        let grown = account.held_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            held.checked_add(bytes).filter(|held| *held <= limit_bytes)
        });
        let exhausted =
            |held_bytes| MemoryExhausted { held_bytes, total_bytes: account.total_bytes };
        grown.map_err(exhausted)?;
        self.held_bytes += bytes;
        Ok(())
    }

    /// Reserves `bytes` more, and waits for room if there is none, for no longer than `limit`;
    /// returns how long it waited.
    ///
    /// Meanwhile the slowest readers are closed, one after the other.
    ///
    /// # Errors
    ///
    /// Fails if there is no room in time.
    pub async fn grow_within(
        &mut self,
        bytes: usize,
        limit: Duration,
    ) -> Result<Duration, MemoryExhausted> {
        if self.grow(bytes).is_ok() {
            return Ok(Duration::ZERO);
        }
        let start = Instant::now();
        loop {
            self.account.close_slowest();
            task::sleep(RETRY_INTERVAL).await;
            match self.grow(bytes) {
                Ok(()) => return Ok(start.elapsed()),
                Err(error) if start.elapsed() >= limit => return Err(error),
                Err(_) => {}
            }
        }
    }

    /// Releases up to `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        drop(self.split(bytes));
    }

    /// Moves up to `bytes` to a reservation of their own.
    pub fn split(&mut self, bytes: usize) -> Reservation {
        let held_bytes = bytes.min(self.held_bytes);
        self.held_bytes -= held_bytes;
        Reservation { account: Arc::clone(&self.account), held_bytes }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.held_bytes.fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Reader {
    unread_bytes: Arc<AtomicUsize>,
    /// Since when bytes have been waiting for the reader without interruption; 0 if none are.
    behind_since_ms: AtomicU64,
    /// What it has read since then.
    read_bytes: AtomicU64,
    is_closed: AtomicBool,
    waker: AtomicWaker,
}

impl Reader {
    fn unread_ms(&self, now_ms: u64) -> u64 {
        match self.behind_since_ms.load(Ordering::Relaxed) {
            0 => 0,
            since_ms => now_ms.saturating_sub(since_ms),
        }
    }

    /// Returns how long the reader will take for the rest at its speed so far; 0 if it hasn't been
    /// behind for long.
    fn remaining_ms(&self, now_ms: u64) -> u64 {
        let unread_ms = self.unread_ms(now_ms);
        if unread_ms < UNREAD_MS_MIN {
            return 0;
        }
        let unread_bytes = self.unread_bytes.load(Ordering::Relaxed) as u64;
        let read_bytes = self.read_bytes.load(Ordering::Relaxed).max(1);
        unread_bytes.saturating_mul(unread_ms) / read_bytes
    }
}

/// A reader that is behind, until this is dropped.
#[derive(Debug)]
pub struct RegisteredReader {
    account: Arc<MemoryAccount>,
    reader: Arc<Reader>,
}

/// How far a reader is behind, and how full the account is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderState {
    /// The bytes that the process holds for the reader.
    pub unread_bytes: usize,
    /// How long bytes have been waiting for it.
    pub unread_ms: u64,
    /// The bytes reserved in the account.
    pub held_bytes: usize,
    /// The limit of the account.
    pub total_bytes: usize,
}

impl RegisteredReader {
    /// Records that bytes wait for the reader.
    pub fn is_behind(&self) {
        if self.reader.behind_since_ms.load(Ordering::Relaxed) == 0 {
            self.reader.read_bytes.store(0, Ordering::Relaxed);
            self.reader.behind_since_ms.store(self.account.now_ms(), Ordering::Relaxed);
        }
    }

    /// Records that the reader took `bytes`.
    pub fn has_read(&self, bytes: usize) {
        self.reader.read_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records that nothing waits for the reader; it isn't closed then, even if it was to be.
    pub fn has_caught_up(&self) {
        self.reader.behind_since_ms.store(0, Ordering::Relaxed);
        self.reader.is_closed.store(false, Ordering::Release);
    }

    /// Returns how far the reader is behind.
    pub fn state(&self) -> ReaderState {
        ReaderState {
            unread_bytes: self.reader.unread_bytes.load(Ordering::Relaxed),
            unread_ms: self.reader.unread_ms(self.account.now_ms()),
            held_bytes: self.account.held_bytes(),
            total_bytes: self.account.total_bytes,
        }
    }

    /// Waits until the connection of the reader must be closed.
    pub async fn closed(&self) {
        poll_fn(|context| {
            self.reader.waker.register(context.waker());
            let is_closed = self.reader.is_closed.load(Ordering::Acquire);
            if is_closed { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }
}

impl Drop for RegisteredReader {
    fn drop(&mut self) {
        self.account.readers().retain(|reader| !Arc::ptr_eq(reader, &self.reader));
    }
}
