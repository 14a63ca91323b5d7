use crate::TimeMs;

/// Duration of failing calls from which on the store counts as having been unavailable.
const OUTAGE_MS: u64 = 1_400;

/// When the store last became available again after an outage.
///
/// Entries expire while their targets cannot reach the store, and reappear soon after it is
/// available again. Removing expired entries at once would leave a service without targets. A host
/// that merely did not query the store for a while has no reason to keep a target whose entry has
/// disappeared.
#[derive(Debug, Default)]
pub struct StoreAbsence {
    available_since: Option<TimeMs>,
}

impl StoreAbsence {
    /// Records that the store was restored from an older copy, which may lack targets that live.
    pub fn restored(&mut self, now: TimeMs) {
        self.available_since = Some(now);
    }

    /// Returns how long a target whose entry has disappeared remains in use.
    ///
    /// `failing_since` is when the first of the failed calls before the current successful one was
    /// started, or `None` if the previous call succeeded too.
    pub fn grace_ms(
        &mut self,
        now: TimeMs,
        failing_since: Option<TimeMs>,
        missing_entry_grace_ms: u64,
    ) -> u64 {
        if failing_since.is_some_and(|at| now.since_ms(at) > OUTAGE_MS) {
            self.available_since = Some(now);
        }
        let available_ms = self.available_since.map(|at| now.since_ms(at));
        available_ms.map_or(0, |available_ms| missing_entry_grace_ms.saturating_sub(available_ms))
    }
}
