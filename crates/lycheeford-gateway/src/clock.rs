use lycheeford_policy::TimeMs;
use rustix::time::{ClockId, clock_gettime};

const MS_PER_S: u64 = 1_000;
const NS_PER_MS: u64 = 1_000_000;

/// The time since the host booted, including the time while it was suspended.
///
/// A host that was suspended must know that its confirmations and its lease have aged. The usual
/// monotonic clock doesn't count that time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Returns the current reading.
    pub fn now(self) -> TimeMs {
        // The clock counts from boot, so neither part is ever negative.
        let reading = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(reading.tv_sec).unwrap_or_default();
        let nanoseconds = u64::try_from(reading.tv_nsec).unwrap_or_default();
        TimeMs::from_ms(seconds * MS_PER_S + nanoseconds / NS_PER_MS)
    }
}
