use crate::TimeMs;

/// How long a host that was told to stop may live, and what it needs for its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// The time from the signal to stop until the process is killed.
    pub grace_ms: u64,
    /// What is left of the grace when requests without an answer get a final one.
    pub answer_ms: u64,
    /// What is left of the grace when the process ends whatever still runs.
    pub end_ms: u64,
}

/// When a host that was told to stop does what, until it is killed.
///
/// Callers keep a host's address for a while, so that a stopping host still
/// gets requests. It begins only those that end before it does: the others are
/// refused while they have not run, and another host can serve them. What has
/// no answer when the time is nearly up gets a final one, since a connection
/// that just closes tells its caller nothing.
///
/// ```
/// use lycheeford_policy::{StopPlan, StopTimes, TimeMs};
///
/// let times = StopTimes { grace_ms: 8_000, answer_ms: 600, end_ms: 400 };
/// let plan = StopPlan::new(TimeMs::from_ms(10_000), times);
/// assert!(plan.may_begin(TimeMs::from_ms(12_000), 1_000));
/// assert!(!plan.may_begin(TimeMs::from_ms(17_000), 1_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    stopped_at: TimeMs,
    times: StopTimes,
}

impl StopPlan {
    /// Returns the plan of a host that was told to stop at `stopped_at`.
    pub fn new(stopped_at: TimeMs, times: StopTimes) -> StopPlan {
        StopPlan { stopped_at, times }
    }

    /// Returns whether work that begins at `begins_at` and takes `run_ms` ends in time.
    pub fn may_begin(&self, begins_at: TimeMs, run_ms: u64) -> bool {
        begins_at + run_ms < self.answer_by()
    }

    /// Returns when requests that still have no answer get a final one.
    pub fn answer_by(&self) -> TimeMs {
        self.stopped_at + self.times.grace_ms.saturating_sub(self.times.answer_ms)
    }

    /// Returns when the process ends whatever still runs.
    pub fn end_by(&self) -> TimeMs {
        self.stopped_at + self.times.grace_ms.saturating_sub(self.times.end_ms)
    }
}
