use lycheeford_policy::{CLOCK_JUMP_MS, TimeMs};

/// How long peers and targets have to answer again after this process woke.
///
/// A beat goes out every 250 ms and is answered within milliseconds.
const SETTLE_MS: u64 = 500;

/// Notices that this process was paused or starved, by a gap between its ticks.
///
/// What it knows of others is old then, and says nothing against them.
#[derive(Debug)]
pub(crate) struct WakeWatch {
    ticked_at: TimeMs,
    woke_at: Option<TimeMs>,
}

impl WakeWatch {
    pub(crate) fn new(now: TimeMs) -> WakeWatch {
        WakeWatch { ticked_at: now, woke_at: None }
    }

    pub(crate) fn tick(&mut self, now: TimeMs) {
        if self.has_gap(now) {
            self.woke_at = Some(now);
        }
        self.ticked_at = now;
    }

    /// Returns the time until what is known of others is worth something again.
    pub(crate) fn settling_ms(&self, now: TimeMs) -> u64 {
        if self.has_gap(now) {
            return SETTLE_MS;
        }
        self.woke_at.map_or(0, |woke_at| SETTLE_MS.saturating_sub(now.since_ms(woke_at)))
    }

    fn has_gap(&self, now: TimeMs) -> bool {
        now.since_ms(self.ticked_at) > CLOCK_JUMP_MS
    }
}
