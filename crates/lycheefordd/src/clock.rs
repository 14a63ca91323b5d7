use std::time::Instant;

use lycheeford_policy::TimeMs;

/// The daemon's monotonic clock; its origin is the daemon's start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// The reading at the origin. It is greater than zero, so that a time before the daemon's start
    /// can be distinguished from an unset time.
    const ORIGIN_MS: u64 = 1_000_000;

    pub(crate) fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    pub(crate) fn now(&self) -> TimeMs {
        TimeMs::from_ms(Clock::ORIGIN_MS + self.origin.elapsed().as_millis() as u64)
    }
}
