use crate::{GoneProofs, Instance, Name};

/// The bucket objects that the ledger is spread over.
pub const LEDGER_BUCKETS: u32 = 256;

/// How long a record is kept, by the bucket's own clock.
///
/// It counts from the claim, or from the answer that followed. A claimed one is
/// kept longer, until its sender is proven gone: it may be paused between its
/// claim and its dispatch.
pub const LEDGER_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// The longest answer body that is kept for a resend.
pub const LEDGER_BODY_BYTES_MAX: usize = 8 * 1_024;

/// The bytes of a bucket beyond which new claims are refused.
///
/// The platform takes values up to a megabyte; a body takes up to six bytes a
/// character in JSON, for which [`LedgerRecord`] is charged.
pub const LEDGER_BUCKET_BYTES_MAX: usize = 900_000;

const RECORD_OVERHEAD_BYTES: usize = 256;

/// Names one attempt to run a call; no two attempts share a name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptId {
    /// The daemon that holds the caller's connection and alone may dispatch.
    pub sender: Instance,
    /// The daemon's own count.
    pub number: u64,
}

/// One bucket of the ledger of calls that run at most once.
///
/// A call is claimed here by conditional update before it is dispatched, once,
/// by the attempt that claimed it. Every later request with the same customer
/// and idempotency key finds the record. docs/DESIGN.md gives the argument.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LedgerBucket {
    /// A clock that moves by time measured between two updates by one process.
    ///
    /// Whoever updates the bucket adds the time since it itself read or wrote
    /// the version that it updates, on its own monotonic clock. That is at
    /// most the real time since that version was written, so the clock never
    /// runs ahead of real time and, being stored, never backwards: a record is
    /// kept for at least the retention, and longer while nobody updates.
    pub clock_ms: u64,
    /// The records, sorted by customer and key.
    pub records: Vec<LedgerRecord>,
}

/// What is known of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRecord {
    /// The customer.
    pub customer: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// The fingerprint of the request, so that a reused key is noticed.
    pub fingerprint: u64,
    /// The attempt that claimed the call last.
    pub attempt: AttemptId,
    /// What became of it.
    pub state: LedgerState,
    /// The bucket's clock when the record last changed.
    pub changed_ms: u64,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerState {
    /// Claimed: it may run, be running or have run.
    Claimed,
    /// Given back by its attempt before it was dispatched; another may claim it.
    Released,
    /// Dispatched by its attempt, which is over and doesn't know the outcome.
    Lost,
    /// It ran and its answer is known.
    Answered(LedgerAnswer),
}

/// The answer of a call that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body, unless it was longer than [`LEDGER_BODY_BYTES_MAX`].
    pub body: Option<Vec<u8>>,
}

/// A call that wants to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerClaim {
    /// The customer.
    pub customer: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The attempt that would dispatch it.
    pub attempt: AttemptId,
}

/// What a claim came to, valid once the bucket is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The attempt may dispatch the call, once.
    Run,
    /// The call ran before; this is its answer.
    Answered(LedgerAnswer),
    /// Another attempt claimed the call: it may have run or may run yet.
    Unknown,
    /// The attempt was given back before; it must not dispatch any more.
    Released,
    /// The idempotency key was used with another request.
    KeyReused,
    /// The bucket has no room; nothing was recorded and the call doesn't run.
    Full,
}

/// Returns the bucket of a call.
pub fn ledger_bucket(customer: &str, key: &str) -> u32 {
    let seed = xxhash_rust::xxh3::xxh3_64(customer.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), seed);
    (hash % u64::from(LEDGER_BUCKETS)) as u32
}

impl LedgerBucket {
    /// Returns the bucket with all claims in it, and the outcome of each.
    ///
    /// `elapsed_ms` is the time since this process read or wrote the version
    /// that it updates. The outcomes hold only once the returned bucket is
    /// stored on condition of that version; after a lost answer, read the
    /// bucket and claim again: an attempt recognises its own record.
    pub fn claim_all(
        &self,
        elapsed_ms: u64,
        claims: &[LedgerClaim],
        gone: &GoneProofs,
    ) -> (LedgerBucket, Vec<ClaimOutcome>) {
        let mut bucket = self.advanced(elapsed_ms);
        bucket.expire(gone);
        let mut size_bytes = bucket.size_bytes();
        let outcomes = claims.iter().map(|claim| bucket.claim(claim, &mut size_bytes)).collect();
        (bucket, outcomes)
    }

    /// Returns the bucket with the attempt's claim given back, or `None` if it has none.
    ///
    /// Only the attempt itself may ask for it, and only if it didn't dispatch
    /// and never will.
    pub fn release(&self, elapsed_ms: u64, claim: &LedgerClaim) -> Option<LedgerBucket> {
        self.settle(elapsed_ms, claim, LedgerState::Released)
    }

    /// Returns the bucket with the answer of the attempt's call, or `None` if it has no claim.
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

    /// Returns the bucket with the outcome of the attempt's call given up, or `None` if it has no claim.
    ///
    /// The attempt may have dispatched and does nothing more. Resends are told
    /// [`ClaimOutcome::Unknown`] for the retention.
    pub fn give_up(&self, elapsed_ms: u64, claim: &LedgerClaim) -> Option<LedgerBucket> {
        self.settle(elapsed_ms, claim, LedgerState::Lost)
    }

    /// Returns a bound on the bucket's size as it is stored.
    pub fn size_bytes(&self) -> usize {
        self.records.iter().map(LedgerRecord::size_bytes).sum()
    }

    fn settle(
        &self,
        elapsed_ms: u64,
        claim: &LedgerClaim,
        state: LedgerState,
    ) -> Option<LedgerBucket> {
        let mut bucket = self.advanced(elapsed_ms);
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

    fn advanced(&self, elapsed_ms: u64) -> LedgerBucket {
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
    /// Returns a bound on the record's size as it is stored, an answer of full length included.
    fn size_bytes(&self) -> usize {
        let body_bytes = match &self.state {
            LedgerState::Answered(answer) => answer.body.as_ref().map_or(0, Vec::len),
            LedgerState::Claimed | LedgerState::Released | LedgerState::Lost => 0,
        };
        let names = self.customer.len() + self.key.len() + self.attempt.sender.host.len();
        RECORD_OVERHEAD_BYTES + 6 * names + 2 * body_bytes
    }
}
