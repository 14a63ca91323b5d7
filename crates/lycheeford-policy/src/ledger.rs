use crate::{GoneProofs, Instance, Name};

/// The number of bucket objects over which the ledger is spread.
pub const LEDGER_BUCKETS: u32 = 256;

/// How long a record is kept, by the bucket's own clock.
///
/// The time counts from the last change of the record: the claim, or the answer, release or loss
/// that followed it. A record that is still claimed is kept longer, until its sender is proven
/// gone, since the sender may have been paused between its claim and its dispatch.
pub const LEDGER_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// The longest answer body that is stored to be sent again.
pub const LEDGER_BODY_BYTES_MAX: usize = 8 * 1_024;

/// The size of a bucket beyond which new claims are refused.
///
/// The platform stores values of up to a megabyte. JSON escapes take up to six bytes per character,
/// and a body is stored as hex with two bytes per byte; the size of a [`LedgerRecord`] accounts for
/// both.
pub const LEDGER_BUCKET_BYTES_MAX: usize = 900_000;

const RECORD_OVERHEAD_BYTES: usize = 256;

/// Identifies one attempt to run a call; no two attempts share an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptId {
    /// The daemon that holds the caller's connection; no other daemon may dispatch the attempt.
    pub sender: Instance,
    /// The number that the daemon has assigned, unique within its incarnation.
    pub number: u64,
}

/// One bucket of the ledger of calls that run at most once.
///
/// Before its dispatch, a call is claimed here by conditional update; only the attempt that claimed
/// it may dispatch it, and only once. Each later request with the same customer and idempotency key
/// finds the record. docs/DESIGN.md shows why this is safe.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerBucket {
    /// A clock that advances by the time that one process measures between its own read or write
    /// and its update.
    ///
    /// A process that updates the bucket adds the time since it read or wrote the version that it
    /// updates, by its own monotonic clock. That is at most the real time since that version was
    /// written, so the clock never runs ahead of real time. Being stored, it never runs backwards.
    /// A record is therefore kept for at least the retention time, and longer while the bucket is
    /// not updated.
    pub clock_ms: u64,
    /// The records, sorted by customer and key.
    pub records: Vec<LedgerRecord>,
}

/// The record of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRecord {
    /// The customer that sent the call.
    pub customer: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// The fingerprint of the request, by which the reuse of a key for another request is detected.
    pub fingerprint: u64,
    /// The attempt that last claimed the call.
    pub attempt: AttemptId,
    /// The state of the call.
    pub state: LedgerState,
    /// The time of the last change of the record, by the bucket's clock.
    pub changed_ms: u64,
}

/// The state of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerState {
    /// An attempt has claimed the call: the call may run later, be running or have run.
    Claimed,
    /// The attempt released its claim before it dispatched the call; another attempt may claim it.
    Released,
    /// The attempt dispatched the call and ended without knowing the outcome.
    Lost,
    /// The call ran and its answer is known.
    Answered(LedgerAnswer),
}

/// The answer of a call that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerAnswer {
    /// The HTTP status code that the target answered.
    pub status: u16,
    /// The body; `None` if it was longer than [`LEDGER_BODY_BYTES_MAX`] or the bucket was full.
    pub body: Option<Vec<u8>>,
}

/// A request to claim a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerClaim {
    /// The customer that sent the call.
    pub customer: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// The fingerprint of the request, to compare with that of an existing record.
    pub fingerprint: u64,
    /// The attempt that would dispatch the call.
    pub attempt: AttemptId,
}

/// The result of a claim, valid once the bucket is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The attempt may dispatch the call, once.
    Run,
    /// The call has already run; this is its answer.
    Answered(LedgerAnswer),
    /// Another attempt claimed the call, which may have run or may still run.
    Unknown,
    /// This attempt has released its claim and must not dispatch the call any more.
    Released,
    /// The idempotency key was already used with another request.
    KeyReused,
    /// The bucket is full; the claim was not recorded and the call must not run.
    Full,
}

/// Returns the index of the bucket that holds a call.
pub fn ledger_bucket(customer: &str, key: &str) -> u32 {
    let seed = xxhash_rust::xxh3::xxh3_64(customer.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), seed);
    (hash % u64::from(LEDGER_BUCKETS)) as u32
}

impl LedgerBucket {
    /// Returns the bucket with all claims applied, and the outcome of each claim.
    ///
    /// `elapsed_ms` is the time since this process read or wrote the version that it updates. The
    /// outcomes are valid only once the returned bucket is stored on condition of that version. If
    /// the answer to that write is lost, read the bucket and claim again: an attempt recognizes its
    /// own record.
    pub fn claim_all(
        &self,
        elapsed_ms: u64,
        claims: &[LedgerClaim],
        gone: &GoneProofs,
    ) -> (LedgerBucket, Vec<ClaimOutcome>) {
        let mut bucket = self.with_advanced_clock(elapsed_ms);
        bucket.expire(gone);
        let mut size_bytes = bucket.size_bytes();
        let outcomes = claims.iter().map(|claim| bucket.claim(claim, &mut size_bytes)).collect();
        (bucket, outcomes)
    }

    /// Returns the bucket with the attempt's claim released, or `None` if the attempt has no claim.
    ///
    /// Only the attempt itself may release its claim, and only if it did not dispatch the call and
    /// never will.
    pub fn release(&self, elapsed_ms: u64, claim: &LedgerClaim) -> Option<LedgerBucket> {
        self.settle(elapsed_ms, claim, LedgerState::Released)
    }

    /// Returns the bucket with the answer to the attempt's call, or `None` if the attempt has no
    /// claim.
    pub fn answer(
        &self,
        elapsed_ms: u64,
        claim: &LedgerClaim,
        status: u16,
        body: &[u8],
    ) -> Option<LedgerBucket> {
        let fits =
            body.len() <= LEDGER_BODY_BYTES_MAX && self.size_bytes() <= LEDGER_BUCKET_BYTES_MAX;
        let body = fits.then(|| body.to_vec());
        self.settle(elapsed_ms, claim, LedgerState::Answered(LedgerAnswer { status, body }))
    }

    /// Returns the bucket with the attempt's call marked as lost, or `None` if the attempt has no
    /// claim.
    ///
    /// The attempt may have dispatched the call and does nothing more. Later requests with the same
    /// key get [`ClaimOutcome::Unknown`] until the retention time is over.
    pub fn mark_lost(&self, elapsed_ms: u64, claim: &LedgerClaim) -> Option<LedgerBucket> {
        self.settle(elapsed_ms, claim, LedgerState::Lost)
    }

    /// Returns an upper bound on the stored size of the bucket.
    pub fn size_bytes(&self) -> usize {
        self.records.iter().map(LedgerRecord::size_bytes).sum()
    }

    fn settle(
        &self,
        elapsed_ms: u64,
        claim: &LedgerClaim,
        state: LedgerState,
    ) -> Option<LedgerBucket> {
        let mut bucket = self.with_advanced_clock(elapsed_ms);
        let index = bucket.position(&claim.customer, &claim.key).ok()?;
        let clock_ms = bucket.clock_ms;
        let record = &mut bucket.records[index];
        if record.attempt != claim.attempt || record.state != LedgerState::Claimed {
            return None;
        }
        record.state = state;
        record.changed_ms = clock_ms;
        Some(bucket)
    }

    fn claim(&mut self, claim: &LedgerClaim, size_bytes: &mut usize) -> ClaimOutcome {
        match self.position(&claim.customer, &claim.key) {
            Ok(index) => self.claim_known(index, claim),
            Err(index) => {
                let record = LedgerRecord {
                    customer: claim.customer.clone(),
                    key: claim.key.clone(),
                    fingerprint: claim.fingerprint,
                    attempt: claim.attempt.clone(),
                    state: LedgerState::Claimed,
                    changed_ms: self.clock_ms,
                };
                if *size_bytes + record.size_bytes() > LEDGER_BUCKET_BYTES_MAX {
                    return ClaimOutcome::Full;
                }
                *size_bytes += record.size_bytes();
                self.records.insert(index, record);
                ClaimOutcome::Run
            }
        }
    }

    fn claim_known(&mut self, index: usize, claim: &LedgerClaim) -> ClaimOutcome {
        let clock_ms = self.clock_ms;
        let record = &mut self.records[index];
        if record.fingerprint != claim.fingerprint {
            return ClaimOutcome::KeyReused;
        }
        let is_own = record.attempt == claim.attempt;
        match &record.state {
            LedgerState::Answered(answer) => ClaimOutcome::Answered(answer.clone()),
            LedgerState::Claimed if is_own => ClaimOutcome::Run,
            LedgerState::Claimed | LedgerState::Lost => ClaimOutcome::Unknown,
            LedgerState::Released if is_own => ClaimOutcome::Released,
            LedgerState::Released => {
                record.attempt = claim.attempt.clone();
                record.state = LedgerState::Claimed;
                record.changed_ms = clock_ms;
                ClaimOutcome::Run
            }
        }
    }

    fn with_advanced_clock(&self, elapsed_ms: u64) -> LedgerBucket {
        let mut bucket = self.clone();
        bucket.clock_ms += elapsed_ms;
        bucket
    }

    fn expire(&mut self, gone: &GoneProofs) {
        let clock_ms = self.clock_ms;
        self.records.retain(|record| {
            let is_recent = clock_ms - record.changed_ms < LEDGER_RETENTION_MS;
            let may_dispatch =
                record.state == LedgerState::Claimed && !gone.is_gone(&record.attempt.sender);
            is_recent || may_dispatch
        });
    }

    fn position(&self, customer: &Name, key: &Name) -> Result<usize, usize> {
        self.records.binary_search_by(|record| {
            record.customer.cmp(customer).then_with(|| record.key.cmp(key))
        })
    }
}

impl LedgerRecord {
    /// Returns an upper bound on the stored size of the record, including its answer body.
    fn size_bytes(&self) -> usize {
        let body_bytes = match &self.state {
            LedgerState::Answered(answer) => answer.body.as_ref().map_or(0, Vec::len),
            LedgerState::Claimed | LedgerState::Released | LedgerState::Lost => 0,
        };
        let names = self.customer.len() + self.key.len() + self.attempt.sender.host.len();
        RECORD_OVERHEAD_BYTES + 6 * names + 2 * body_bytes
    }
}
