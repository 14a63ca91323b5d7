use std::mem;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use lycheeford_http::{BodyDecoder, Framing, HeldBytes, Reservation};

use crate::answer_scan::AnswerScan;
use crate::error::Code;
use crate::link::Link;
use crate::pool::Pool;
use crate::{TargetError, TargetLimits};

/// How much of each collected answer isn't counted against the shared memory.
const UNRESERVED_BYTES_MAX: usize = 64 * 1024;

/// How long an answer waits for memory before it is given up; targets cut off an answer that stays
/// unread for some seconds.
const MEMORY_WAIT: Duration = Duration::from_secs(3);

/// An answer of a target, whose body may not have arrived yet.
///
/// Dropping it before the body is complete closes the connection, which cancels the call.
#[derive(Debug)]
pub struct TargetResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The headers, with names in lower case, without those of the connection.
    pub headers: Vec<(String, String)>,
    /// How many answers to other calls preceded it on the connection and were skipped.
    pub skipped_answers: usize,
    /// The body, which is received on demand.
    pub body: TargetBody,
}

/// How the end of a body is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length or its last chunk.
    Declared,
    /// By the end of the connection, which may also be that of the target's process.
    Connection,
}

impl BodyEnd {
    /// Returns the name of the kind in logs.
    pub fn label(self) -> &'static str {
        match self {
            BodyEnd::Declared => "declared",
            BodyEnd::Connection => "connection",
        }
    }
}

/// The body of an answer, received in chunks on demand.
#[derive(Debug)]
pub struct TargetBody {
    state: State,
    end: BodyEnd,
    /// Set if another answer may follow within the body.
    scan: Option<Box<AnswerScan>>,
    between_bytes_ms_max: u64,
    answer_bytes_max: usize,
    received_bytes: usize,
    /// The reserved part of the memory that collected answers share.
    memory: Reservation,
    /// The length that the answer states.
    stated_bytes: Option<usize>,
    waiting_since: Option<Instant>,
}

#[derive(Debug)]
enum State {
    Open { link: Box<Link>, decoder: BodyDecoder, after_answer: AfterAnswer },
    Whole,
    Failed,
}

/// What happens to a connection after a complete answer.
#[derive(Debug)]
pub(crate) enum AfterAnswer {
    /// The connection returns to the pool.
    Pool {
        pool: Pool,
        address: SocketAddr,
        /// How long the connection may stay idle in the pool.
        idle_ms_max: u64,
    },
    /// The connection is closed.
    Close,
}

impl TargetBody {
    pub(crate) fn new(
        link: Link,
        framing: Framing,
        scan: Option<Box<AnswerScan>>,
        after_answer: AfterAnswer,
        limits: &TargetLimits,
        memory: Reservation,
    ) -> TargetBody {
        let mut body = TargetBody {
            state: State::Open {
                link: Box::new(link),
                decoder: BodyDecoder::new(framing),
                after_answer,
            },
            end: match framing {
                Framing::UntilClose => BodyEnd::Connection,
                Framing::Empty | Framing::Length(_) | Framing::Chunked => BodyEnd::Declared,
            },
            scan,
            between_bytes_ms_max: limits.between_bytes_ms_max,
            answer_bytes_max: limits.answer_bytes_max,
            received_bytes: 0,
            memory,
            stated_bytes: match framing {
                Framing::Length(bytes) => Some(usize::try_from(bytes).unwrap_or(usize::MAX)),
                Framing::Empty | Framing::Chunked | Framing::UntilClose => None,
            },
            waiting_since: None,
        };
        body.release_if_complete();
        body
    }

    /// Returns how the end of the body is recognized.
    pub fn end(&self) -> BodyEnd {
        self.end
    }

    /// Returns the next bytes, or `None` after the complete body.
    ///
    /// Dropping the future loses no data, and the limit on a pause keeps
    /// counting from the first call that found none.
    ///
    /// # Errors
    ///
    /// Fails if the answer is truncated, malformed, too large, or pauses too
    /// long, or if a body that ends with its connection holds another answer;
    /// the connection is then closed.
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, TargetError> {
        let received = match &mut self.state {
            State::Whole => return Ok(None),
            State::Failed => return Err(Code::Truncated.into()),
            State::Open { link, decoder, .. } => {
                let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
                match link.receive_chunk(decoder, waiting_since, self.between_bytes_ms_max).await {
                    Ok(None) if self.end == BodyEnd::Connection => {
                        link.check_for_reset().await.map(|()| None)
                    }
                    received => received,
                }
            }
        };
        self.waiting_since = None;
        let checked = received.and_then(|chunk| self.check(chunk));
        match checked {
            Ok(_) => self.release_if_complete(),
            Err(_) => self.state = State::Failed,
        }
        checked
    }

    /// Receives and returns the complete body, of at most `bytes_max` bytes.
    ///
    /// # Errors
    ///
    /// Fails as [`TargetBody::next_chunk`] does, if the body is larger than `bytes_max`, or if the
    /// memory that collected answers share is exhausted; see
    /// [`TargetLimits::collected_answers_bytes_max`].
    pub async fn collect(mut self, bytes_max: usize) -> Result<Vec<u8>, TargetError> {
        let mut whole = Vec::new();
        while let Some(chunk) = self.next_chunk().await? {
            if whole.len() + chunk.len() > bytes_max {
                return Err(Code::TooLarge { limit_bytes: bytes_max }.into());
            }
            let large_bytes = (whole.len() + chunk.len()).saturating_sub(UNRESERVED_BYTES_MAX);
            if self.memory.grow(large_bytes - self.memory.held_bytes()).is_err() {
                return Err(Code::SharedMemoryExhausted { held_bytes: whole.len() }.into());
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole)
    }

    /// Receives the complete body like [`TargetBody::collect`], in memory that stays reserved until
    /// it is read.
    ///
    /// If there is no memory, nothing is read from the target for a while. The memory for a body of
    /// stated length is reserved at once: if several bodies each held a part, none could be
    /// completed.
    ///
    /// # Errors
    ///
    /// Fails as [`TargetBody::collect`] does, and if the body isn't complete within `limit`;
    /// [`TargetError::is_for_want_of_memory`] tells whether that is due to this process.
    pub async fn collect_held(
        mut self,
        bytes_max: usize,
        limit: Duration,
    ) -> Result<HeldBytes, TargetError> {
        let mut unread = Duration::ZERO;
        let collecting = self.collect_in_memory(bytes_max, MEMORY_WAIT.min(limit / 2), &mut unread);
        let collected = timeout(limit, collecting).await.unwrap_or_else(|_| {
            Err(TargetError::timed_out(u64::try_from(limit.as_millis()).unwrap_or(u64::MAX)))
        });
        collected.map_err(|error| error.after_pause(unread))
    }

    /// Collects the body, and adds to `unread` how long it waited for memory.
    async fn collect_in_memory(
        &mut self,
        bytes_max: usize,
        memory_wait: Duration,
        unread: &mut Duration,
    ) -> Result<HeldBytes, TargetError> {
        let mut memory = self.memory.split(0);
        if let Some(stated_bytes) = self.stated_bytes {
            if stated_bytes > bytes_max {
                return Err(Code::TooLarge { limit_bytes: bytes_max }.into());
            }
            let waited = memory.grow_within(stated_bytes, memory_wait).await;
            *unread += waited.map_err(|_| Code::SharedMemoryExhausted { held_bytes: 0 })?;
        }
        let mut held = HeldBytes::new(memory);
        while let Some(chunk) = self.next_chunk().await? {
            let held_bytes = held.pieces().len();
            if held_bytes + chunk.len() > bytes_max {
                return Err(Code::TooLarge { limit_bytes: bytes_max }.into());
            }
            let waited = held.push(&chunk, memory_wait).await;
            *unread += waited.map_err(|_| Code::SharedMemoryExhausted { held_bytes })?;
        }
        Ok(held)
    }

    fn check(&mut self, chunk: Option<Vec<u8>>) -> Result<Option<Vec<u8>>, TargetError> {
        self.received_bytes += chunk.as_ref().map_or(0, Vec::len);
        if self.received_bytes > self.answer_bytes_max {
            return Err(Code::TooLarge { limit_bytes: self.answer_bytes_max }.into());
        }
        if let (Some(scan), Some(chunk)) = (&mut self.scan, &chunk)
            && scan.finds_answer(chunk)
        {
            return Err(Code::SecondAnswer.into());
        }
        Ok(chunk)
    }

    fn release_if_complete(&mut self) {
        if !matches!(&self.state, State::Open { decoder, .. } if decoder.is_complete()) {
            return;
        }
        let state = mem::replace(&mut self.state, State::Whole);
        let State::Open { mut link, after_answer, .. } = state else { return };
        link.mark_answered();
        if let AfterAnswer::Pool { pool, address, idle_ms_max } = after_answer {
            pool.put(address, *link, idle_ms_max);
        }
    }
}
