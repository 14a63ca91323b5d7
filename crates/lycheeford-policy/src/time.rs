use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A reading of the monotonic clock of one process, in milliseconds.
///
/// Readings of different processes are not comparable. Only durations, as plain `u64` fields ending
/// in `_ms`, are sent between hosts.
///
/// ```
/// use lycheeford_policy::TimeMs;
///
/// let start = TimeMs::from_ms(1_000);
/// assert_eq!((start + 250).since_ms(start), 250);
/// assert_eq!(start.since_ms(start + 250), 0);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeMs(u64);

impl TimeMs {
    /// Returns the reading `ms` milliseconds after the clock's origin.
    pub const fn from_ms(ms: u64) -> TimeMs {
        TimeMs(ms)
    }

    /// Returns the milliseconds since the clock's origin.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since_ms(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for TimeMs {
    type Output = TimeMs;

    fn add(self, duration_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(duration_ms))
    }
}

impl Sub<u64> for TimeMs {
    type Output = TimeMs;

    fn sub(self, duration_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_sub(duration_ms))
    }
}
