//! Tests that the ledger lets no call run twice, whatever crashes or is lost, duplicated or late.
//!
//! Three daemons claim calls for each other in batches, from cached copies of a bucket. Claim
//! outcomes travel as messages that may be lost, duplicated and delayed. Writes to the store may
//! be applied without an answer, or later. A call may run again once the retention has passed since
//! its request.

use lycheeford_policy::{
    AttemptId, ClaimOutcome, GoneProofs, Instance, LEDGER_BUCKET_BYTES_MAX, LEDGER_RETENTION_MS,
    LedgerAnswer, LedgerBucket, LedgerClaim, Name,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DAEMONS: usize = 3;
const KEYS: usize = 3;

#[derive(Debug, Clone)]
enum Op {
    Advance { ms: u64 },
    Request { daemon: usize, key: usize },
    Read { daemon: usize },
    Claim { daemon: usize, result: WriteResult },
    Deliver { pick: usize, is_duplicated: bool },
    Dispatch { pick: usize },
    ReportNotRun { pick: usize },
    Settle { daemon: usize, pick: usize, result: WriteResult },
    ApplyDelayedWrite { pick: usize },
    Crash { daemon: usize },
}

/// How a write to the store ends.
#[derive(Debug, Clone, Copy)]
enum WriteResult {
    Answered,
    AppliedUnanswered,
    NotApplied,
    AppliedLater,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Waiting,
    MayDispatch,
    ReportedNotRun,
    Dispatched,
    Refused,
}

#[derive(Debug)]
struct Attempt {
    daemon: usize,
    claim: LedgerClaim,
    requested_at_ms: u64,
    stage: Stage,
}

#[derive(Debug, Clone)]
struct Cached {
    version: u64,
    bucket: LedgerBucket,
    read_at_ms: u64,
}

#[derive(Debug, Default)]
struct Simulation {
    now_ms: u64,
    version: u64,
    bucket: LedgerBucket,
    delayed: Vec<(u64, LedgerBucket)>,
    cached: [Option<Cached>; DAEMONS],
    incarnations: [u64; DAEMONS],
    gone: GoneProofs,
    attempts: Vec<Attempt>,
    last_attempt: u64,
    outcomes: Vec<(LedgerClaim, ClaimOutcome)>,
    /// For each key, the time of the request whose attempt was dispatched last.
    last_run_requested_at_ms: [Option<u64>; KEYS],
}

impl Simulation {
    fn step(&mut self, op: &Op) {
        match *op {
            Op::Advance { ms } => self.now_ms += ms,
            Op::Request { daemon, key } => {
                let sender = Instance::new(format!("entry-{daemon}"), self.incarnations[daemon]);
                self.last_attempt += 1;
                let number = self.last_attempt;
                let claim = LedgerClaim {
                    customer: "registry".into(),
                    key: Name::from(format!("switch-{key}")),
                    fingerprint: 1,
                    attempt: AttemptId { sender, number },
                };
                let requested_at_ms = self.now_ms;
                let stage = Stage::Waiting;
                self.attempts.push(Attempt { daemon, claim, requested_at_ms, stage });
            }
            Op::Read { daemon } => self.read(daemon),
            Op::Claim { daemon, result } => self.claim(daemon, result),
            Op::Deliver { pick, is_duplicated } => self.deliver(pick, is_duplicated),
            Op::Dispatch { pick } => self.dispatch(pick),
            Op::ReportNotRun { pick } => {
                let not_dispatched = |stage| matches!(stage, Stage::Waiting | Stage::MayDispatch);
                if let Some(attempt) = self.pick(pick, not_dispatched) {
                    attempt.stage = Stage::ReportedNotRun;
                }
            }
            Op::Settle { daemon, pick, result } => self.settle(daemon, pick, result),
            Op::ApplyDelayedWrite { pick } => {
                if let Some(index) = pick.checked_rem(self.delayed.len()) {
                    let (base, bucket) = self.delayed.swap_remove(index);
                    self.put(base, bucket);
                }
            }
            Op::Crash { daemon } => {
                self.attempts.retain(|attempt| attempt.daemon != daemon);
                self.cached[daemon] = None;
                self.incarnations[daemon] += 1;
                let instance = Instance::new(format!("entry-{daemon}"), self.incarnations[daemon]);
                self.gone.answered(&instance);
            }
        }
    }

    fn read(&mut self, daemon: usize) {
        let bucket = self.bucket.clone();
        self.cached[daemon] =
            Some(Cached { version: self.version, bucket, read_at_ms: self.now_ms });
    }

    /// Claims the calls of the waiting attempts of all daemons in one batch.
    fn claim(&mut self, daemon: usize, result: WriteResult) {
        let Some(cached) = self.cached[daemon].clone() else { return };
        let waiting = self.attempts.iter().filter(|attempt| attempt.stage == Stage::Waiting);
        let claims: Vec<LedgerClaim> = waiting.map(|attempt| attempt.claim.clone()).collect();
        let elapsed_ms = self.now_ms - cached.read_at_ms;
        let (bucket, outcomes) = cached.bucket.claim_all(elapsed_ms, &claims, &self.gone);
        let is_written = self.write(cached.version, bucket, result);
        self.read(daemon);
        if is_written {
            self.outcomes.extend(claims.into_iter().zip(outcomes));
        }
    }

    fn deliver(&mut self, pick: usize, is_duplicated: bool) {
        let Some(index) = pick.checked_rem(self.outcomes.len()) else { return };
        let (claim, outcome) = self.outcomes.swap_remove(index);
        if is_duplicated {
            self.outcomes.push((claim.clone(), outcome.clone()));
        }
        let attempt = self.attempts.iter_mut().find(|attempt| attempt.claim == claim);
        let Some(attempt) = attempt.filter(|attempt| attempt.stage == Stage::Waiting) else {
            return;
        };
        attempt.stage = match outcome {
            ClaimOutcome::Run => Stage::MayDispatch,
            _ => Stage::Refused,
        };
    }

    fn dispatch(&mut self, pick: usize) {
        let now_ms = self.now_ms;
        let Some(attempt) = self.pick(pick, |stage| stage == Stage::MayDispatch) else { return };
        attempt.stage = Stage::Dispatched;
        let key: usize = attempt.claim.key.strip_prefix("switch-").unwrap().parse().unwrap();
        let requested_at_ms = attempt.requested_at_ms;
        if let Some(earlier_at_ms) = self.last_run_requested_at_ms[key].replace(requested_at_ms) {
            let apart_ms = now_ms - earlier_at_ms;
            assert!(apart_ms >= LEDGER_RETENTION_MS, "call {key} ran twice, {apart_ms} ms apart");
        }
    }

    /// Writes how an attempt ended: with an answer, with an unknown outcome or released unsent.
    fn settle(&mut self, daemon: usize, pick: usize, result: WriteResult) {
        let Some(cached) = self.cached[daemon].clone() else { return };
        let is_over = |stage| matches!(stage, Stage::Dispatched | Stage::ReportedNotRun);
        let Some(attempt) = self.pick(pick, is_over) else { return };
        let claim = attempt.claim.clone();
        let stage = attempt.stage;
        let elapsed_ms = self.now_ms - cached.read_at_ms;
        let settled = match stage {
            Stage::ReportedNotRun => cached.bucket.release(elapsed_ms, &claim),
            _ if pick.is_multiple_of(2) => cached.bucket.mark_lost(elapsed_ms, &claim),
            _ => cached.bucket.answer(elapsed_ms, &claim, 200, b"done"),
        };
        if let Some(bucket) = settled {
            self.write(cached.version, bucket, result);
        }
        self.read(daemon);
    }

    fn pick(&mut self, pick: usize, wanted: impl Fn(Stage) -> bool) -> Option<&mut Attempt> {
        let mut found: Vec<&mut Attempt> =
            self.attempts.iter_mut().filter(|attempt| wanted(attempt.stage)).collect();
        let index = pick.checked_rem(found.len())?;
        Some(found.swap_remove(index))
    }

    /// Returns whether the write is known to have taken effect.
    fn write(&mut self, base: u64, bucket: LedgerBucket, result: WriteResult) -> bool {
        match result {
            WriteResult::Answered => return self.put(base, bucket),
            WriteResult::AppliedUnanswered => drop(self.put(base, bucket)),
            WriteResult::NotApplied => {}
            WriteResult::AppliedLater => self.delayed.push((base, bucket)),
        }
        false
    }

    fn put(&mut self, base: u64, bucket: LedgerBucket) -> bool {
        if base != self.version {
            return false;
        }
        assert!(bucket.clock_ms >= self.bucket.clock_ms, "the bucket's clock moved backwards");
        assert!(bucket.clock_ms <= self.now_ms, "the bucket's clock is ahead of real time");
        self.version += 1;
        self.bucket = bucket;
        true
    }
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let daemon = || 0..DAEMONS;
    let pick = || 0..16_usize;
    let result = || {
        prop_oneof![
            4 => Just(WriteResult::Answered),
            1 => Just(WriteResult::AppliedUnanswered),
            1 => Just(WriteResult::NotApplied),
            1 => Just(WriteResult::AppliedLater),
        ]
    };
    let op = prop_oneof![
        3 => prop_oneof![0..1_000_u64, Just(LEDGER_RETENTION_MS / 2)]
            .prop_map(|ms| Op::Advance { ms }),
        4 => (daemon(), 0..KEYS).prop_map(|(daemon, key)| Op::Request { daemon, key }),
        3 => daemon().prop_map(|daemon| Op::Read { daemon }),
        5 => (daemon(), result()).prop_map(|(daemon, result)| Op::Claim { daemon, result }),
        6 => (pick(), any::<bool>())
            .prop_map(|(pick, is_duplicated)| Op::Deliver { pick, is_duplicated }),
        3 => pick().prop_map(|pick| Op::Dispatch { pick }),
        2 => pick().prop_map(|pick| Op::ReportNotRun { pick }),
        4 => (daemon(), pick(), result())
            .prop_map(|(daemon, pick, result)| Op::Settle { daemon, pick, result }),
        1 => pick().prop_map(|pick| Op::ApplyDelayedWrite { pick }),
        1 => daemon().prop_map(|daemon| Op::Crash { daemon }),
    ];
    prop::collection::vec(op, 50..600)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x1ed9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_call_runs_twice(ops in ops()) {
        let mut simulation = Simulation::default();
        for op in &ops {
            simulation.step(op);
        }
    }
}

fn claim(key: &str, fingerprint: u64, number: u64) -> LedgerClaim {
    let attempt = AttemptId { sender: Instance::new("entry-0", 1), number };
    LedgerClaim { customer: "registry".into(), key: key.into(), fingerprint, attempt }
}

struct Case {
    name: &'static str,
    /// What the first attempt wrote after its claim.
    first: fn(&LedgerBucket, &LedgerClaim) -> Option<LedgerBucket>,
    resend: LedgerClaim,
    outcome: ClaimOutcome,
}

#[test]
fn a_resend_gets_the_outcome_of_the_earlier_attempt() {
    let answer = LedgerAnswer { status: 201, body: Some(b"ok".to_vec()) };
    let cases = [
        Case {
            name: "first attempt in flight",
            first: |bucket, _| Some(bucket.clone()),
            resend: claim("k", 1, 2),
            outcome: ClaimOutcome::Unknown,
        },
        Case {
            name: "the same attempt, in flight",
            first: |bucket, _| Some(bucket.clone()),
            resend: claim("k", 1, 1),
            outcome: ClaimOutcome::Run,
        },
        Case {
            name: "answered",
            first: |bucket, first| bucket.answer(0, first, 201, b"ok"),
            resend: claim("k", 1, 2),
            outcome: ClaimOutcome::Answered(answer),
        },
        Case {
            name: "outcome lost",
            first: |bucket, first| bucket.mark_lost(0, first),
            resend: claim("k", 1, 2),
            outcome: ClaimOutcome::Unknown,
        },
        Case {
            name: "released",
            first: |bucket, first| bucket.release(0, first),
            resend: claim("k", 1, 2),
            outcome: ClaimOutcome::Run,
        },
        Case {
            name: "released, then claimed by the same attempt",
            first: |bucket, first| bucket.release(0, first),
            resend: claim("k", 1, 1),
            outcome: ClaimOutcome::Released,
        },
        Case {
            name: "another request with the same key",
            first: |bucket, _| Some(bucket.clone()),
            resend: claim("k", 2, 2),
            outcome: ClaimOutcome::KeyReused,
        },
    ];
    for case in cases {
        let gone = GoneProofs::default();
        let first = claim("k", 1, 1);
        let (bucket, _) = LedgerBucket::default().claim_all(0, std::slice::from_ref(&first), &gone);
        let bucket = (case.first)(&bucket, &first).unwrap();
        let (_, outcomes) = bucket.claim_all(0, &[case.resend], &gone);
        assert_eq!(outcomes, [case.outcome], "{}", case.name);
    }
}

#[test]
fn a_call_is_settled_once_and_only_by_its_attempt() {
    let gone = GoneProofs::default();
    let first = claim("k", 1, 1);
    let (bucket, _) = LedgerBucket::default().claim_all(0, std::slice::from_ref(&first), &gone);
    assert_eq!(bucket.answer(0, &claim("k", 1, 2), 200, b""), None);
    assert_eq!(bucket.release(0, &claim("k", 1, 2)), None);
    let answered = bucket.answer(0, &first, 200, b"").unwrap();
    assert_eq!(answered.mark_lost(0, &first), None);
    assert_eq!(answered.release(0, &first), None);
}

#[test]
fn a_record_is_kept_for_the_retention_and_while_its_sender_may_still_dispatch() {
    let mut gone = GoneProofs::default();
    let (first, second) = (claim("k", 1, 1), claim("k", 1, 2));
    let (bucket, _) = LedgerBucket::default().claim_all(0, std::slice::from_ref(&first), &gone);
    let outcome = |bucket: &LedgerBucket, elapsed_ms: u64, gone: &GoneProofs| {
        bucket.claim_all(elapsed_ms, std::slice::from_ref(&second), gone).1.remove(0)
    };
    assert_eq!(outcome(&bucket, LEDGER_RETENTION_MS, &gone), ClaimOutcome::Unknown);
    let lost = bucket.mark_lost(0, &first).unwrap();
    assert_eq!(outcome(&lost, LEDGER_RETENTION_MS - 1, &gone), ClaimOutcome::Unknown);
    assert_eq!(outcome(&lost, LEDGER_RETENTION_MS, &gone), ClaimOutcome::Run);
    gone.answered(&Instance::new("entry-0", 2));
    assert_eq!(outcome(&bucket, LEDGER_RETENTION_MS - 1, &gone), ClaimOutcome::Unknown);
    assert_eq!(outcome(&bucket, LEDGER_RETENTION_MS, &gone), ClaimOutcome::Run);
}

#[test]
fn a_full_bucket_refuses_claims_and_drops_no_record() {
    let gone = GoneProofs::default();
    let claims: Vec<LedgerClaim> =
        (0..5_000).map(|number| claim(&format!("key-{number}"), 1, number)).collect();
    let (bucket, outcomes) = LedgerBucket::default().claim_all(0, &claims, &gone);
    let granted = outcomes.iter().filter(|outcome| **outcome == ClaimOutcome::Run).count();
    assert_eq!(granted, bucket.records.len());
    assert_eq!(outcomes.last(), Some(&ClaimOutcome::Full));
    assert!(bucket.size_bytes() <= LEDGER_BUCKET_BYTES_MAX);
    let (_, again) = bucket.claim_all(0, &claims, &gone);
    assert_eq!(again, outcomes);
}
