use crate::TimeMs;

/// The time that a stopping host has, and the times that its shutdown steps need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// The time from the stop signal until the process is killed.
    pub grace_ms: u64,
    /// How long before the kill requests without an answer get a final response.
    pub answer_ms: u64,
    /// How long before the kill the process ends all running work.
    pub end_ms: u64,
}

/// The schedule of a stopping host until it is killed.
///
/// Callers keep using a host's address for a while, so that a stopping host still gets requests. It
/// starts only requests that should finish before its process ends. It refuses the others before
/// they run, so that another host can serve them. Requests without an answer shortly before the end
/// get a final response, since a connection that just closes tells its caller nothing.
///
/// ```
/// use lycheeford_policy::{StopPlan, StopTimes, TimeMs};
///
/// let times = StopTimes { grace_ms: 8_000, answer_ms: 600, end_ms: 400 };
/// let plan = StopPlan::new(TimeMs::from_ms(10_000), times);
/// assert!(plan.can_finish(TimeMs::from_ms(12_000), 1_000));
/// assert!(!plan.can_finish(TimeMs::from_ms(17_000), 1_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    stopped_at: TimeMs,
    times: StopTimes,
}

impl StopPlan {
    /// Returns the schedule of a host that got the stop signal at `stopped_at`.
    pub fn new(stopped_at: TimeMs, times: StopTimes) -> StopPlan {
        StopPlan { stopped_at, times }
    }

    /// Returns whether work that starts at `begins_at` and takes `run_ms` ends in time.
    pub fn can_finish(&self, begins_at: TimeMs, run_ms: u64) -> bool {
        begins_at + run_ms < self.answer_by()
    }

    /// Returns when requests that still have no answer get a final response.
    pub fn answer_by(&self) -> TimeMs {
        self.stopped_at + self.times.grace_ms.saturating_sub(self.times.answer_ms)
    }

    /// Returns when the process ends all running work.
    pub fn end_by(&self) -> TimeMs {
        self.stopped_at + self.times.grace_ms.saturating_sub(self.times.end_ms)
    }

    /// Returns when the process ends all running work if the final responses are sent at `sent_at`.
    ///
    /// A host that was paused, or got no processor, sends them late. They take as long as planned
    /// nevertheless.
    pub fn end_after(&self, sent_at: TimeMs) -> TimeMs {
        let sending_ms = self.times.answer_ms.saturating_sub(self.times.end_ms);
        self.end_by().max(sent_at + sending_ms)
    }
}
