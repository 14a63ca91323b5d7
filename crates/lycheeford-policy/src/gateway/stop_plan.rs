use crate::TimeMs;

/// The part of the grace for which a stopping host goes on taking connections.
const ACCEPT_PART: f64 = 0.55;
/// What is left of the grace when requests without an answer get a final one.
const ANSWER_MS: u64 = 600;
/// What is left of the grace when the process ends whatever still runs.
const END_MS: u64 = 400;
/// How much longer than recent requests the next ones may run.
const RUN_MARGIN: f64 = 1.5;

/// When a host that was told to stop does what, until it is killed.
///
/// Callers keep a host's address for a while, so that a stopping host still
/// gets requests. It begins only those that end before it does: the others are
/// refused while they have not run, and another host can serve them. What has
/// no answer when the time is nearly up gets a final one, since a connection
/// that just closes tells its caller nothing.
///
/// ```
/// use lycheeford_policy::{StopPlan, TimeMs};
///
/// let plan = StopPlan::new(TimeMs::from_ms(10_000), 8_000);
/// assert!(plan.begin_by(1_000) < plan.answer_by());
/// assert!(plan.answer_by() < plan.end_by());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    stopped_at: TimeMs,
    grace_ms: u64,
}

impl StopPlan {
    /// Returns the plan of a host that was told to stop at `stopped_at` and is
    /// killed `grace_ms` later.
    pub fn new(stopped_at: TimeMs, grace_ms: u64) -> StopPlan {
        StopPlan { stopped_at, grace_ms }
    }

    /// Returns until when new connections are accepted.
    pub fn accept_until(self) -> TimeMs {
        self.stopped_at + (self.grace_ms as f64 * ACCEPT_PART) as u64
    }

    /// Returns until when a request may be sent to a target, where most take `run_ms`.
    pub fn begin_by(self, run_ms: u64) -> TimeMs {
        let reserved_ms = (run_ms as f64 * RUN_MARGIN) as u64;
        (self.answer_by() - reserved_ms).max(self.stopped_at)
    }

    /// Returns when requests that still have no answer get a final one.
    pub fn answer_by(self) -> TimeMs {
        self.stopped_at + self.grace_ms.saturating_sub(ANSWER_MS)
    }

    /// Returns when the process ends, whatever still runs.
    pub fn end_by(self) -> TimeMs {
        self.stopped_at + self.grace_ms.saturating_sub(END_MS)
    }
}
