use crate::TimeMs;

/// The time between two calls of [`SignalDelay::ran`] from which the process counts as held up.
const GAP_MS_MIN: u64 = 250;
/// How long after a gap a signal may be noticed that came during it.
const SETTLE_MS: u64 = 250;

/// Tells when a signal may have come that a process notices late, since it got no processor.
///
/// ```
/// use lycheeford_policy::{SignalDelay, TimeMs};
///
/// let mut delay = SignalDelay::new(TimeMs::from_ms(1_000));
/// delay.ran(TimeMs::from_ms(1_100));
/// assert_eq!(delay.earliest(TimeMs::from_ms(1_150)), TimeMs::from_ms(1_150));
/// // The process didn't run for 1.5 s.
/// delay.ran(TimeMs::from_ms(2_600));
/// assert_eq!(delay.earliest(TimeMs::from_ms(2_610)), TimeMs::from_ms(1_100));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SignalDelay {
    ran_at: TimeMs,
    /// The begin and the end of the last time in which the process didn't run.
    gap: Option<(TimeMs, TimeMs)>,
}

impl SignalDelay {
    /// Returns the state of a process that runs at `now`.
    pub fn new(now: TimeMs) -> SignalDelay {
        SignalDelay { ran_at: now, gap: None }
    }

    /// Records that the process runs; to be called every 100 ms or so.
    pub fn ran(&mut self, now: TimeMs) {
        if now.since_ms(self.ran_at) >= GAP_MS_MIN {
            self.gap = Some((self.ran_at, now));
        }
        self.ran_at = now;
    }

    /// Returns the earliest time at which a signal may have come that is noticed at `now`.
    pub fn earliest(mut self, now: TimeMs) -> TimeMs {
        self.ran(now);
        match self.gap {
            Some((begin, end)) if now.since_ms(end) <= SETTLE_MS => begin,
            _ => now,
        }
    }
}
