use lycheeford_policy::TimeMs;

/// What a host needs after its last answers are due: to write them, to close
/// its connections and to let loans settle.
pub(crate) const END_MS: u64 = 2_000;

/// When a host that stops begins no more work, and when it answers whatever is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopPlan {
    stopped_at: TimeMs,
    grace_ms: u64,
}

impl StopPlan {
    /// Returns the plan of a host that was told to stop at `stopped_at`.
    pub(crate) fn new(stopped_at: TimeMs, grace_ms: u64) -> StopPlan {
        StopPlan { stopped_at, grace_ms }
    }

    /// Returns whether work that takes `run_ms` can be answered in time.
    pub(crate) fn may_begin(&self, now: TimeMs, run_ms: u64) -> bool {
        now + run_ms < self.answer_by()
    }

    /// Returns when whatever is left is answered.
    pub(crate) fn answer_by(&self) -> TimeMs {
        self.stopped_at + self.grace_ms.saturating_sub(END_MS)
    }

    /// Returns when the process ends at the latest.
    pub(crate) fn ends_at(&self) -> TimeMs {
        self.stopped_at + self.grace_ms
    }
}
