use lycheeford_policy::{CLOCK_JUMP_MS, TimeMs};

/// How long peers and targets have to answer again after a pause of this process.
///
/// A heartbeat is sent every 250 ms and is answered within milliseconds.
const SETTLE_MS: u64 = 500;

/// Detects pauses of this process, such as suspension or CPU starvation, by a gap between ticks.
///
/// After a pause, what the process knows about other hosts is outdated, and their silence doesn't
/// mean that they failed.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    ticked_at: TimeMs,
    resumed_at: Option<TimeMs>,
}

impl PauseDetector {
    pub(crate) fn new(now: TimeMs) -> PauseDetector {
        PauseDetector { ticked_at: now, resumed_at: None }
    }

    pub(crate) fn tick(&mut self, now: TimeMs) {
        if self.has_gap(now) {
            self.resumed_at = Some(now);
        }
        self.ticked_at = now;
    }

    /// Returns the time in ms until what is known about other hosts is current again.
    pub(crate) fn settling_ms(&self, now: TimeMs) -> u64 {
        if self.has_gap(now) {
            return SETTLE_MS;
        }
        self.resumed_at.map_or(0, |resumed_at| SETTLE_MS.saturating_sub(now.since_ms(resumed_at)))
    }

    fn has_gap(&self, now: TimeMs) -> bool {
        now.since_ms(self.ticked_at) > CLOCK_JUMP_MS
    }
}
