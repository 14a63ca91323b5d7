use super::short_key::ShortKey;
use crate::TimeMs;

/// Averaging time of a rate.
const AVERAGE_MS: f64 = 2_500.0;
/// How long a name that is no longer requested is remembered.
const REMEMBER_MS: u64 = 60_000;
const MS_PER_S: f64 = 1_000.0;

/// Request rates of models and adapters, over all hosts.
///
/// Every host maintains the table, so that a new holder of the order lease starts with current
/// rates.
#[derive(Debug, Default)]
pub struct DemandTable {
    /// Sorted by key.
    demands: Vec<DemandEntry>,
}

#[derive(Debug)]
struct DemandEntry {
    key: ShortKey,
    /// Decaying average of requests per millisecond, as of `asked_at`.
    per_ms: f64,
    asked_at: TimeMs,
}

impl DemandTable {
    /// Records that a name was requested `count` times.
    pub fn asked(&mut self, now: TimeMs, key: ShortKey, count: u64) {
        let found = self.demands.binary_search_by_key(&key, |entry| entry.key);
        let index = found.unwrap_or_else(|index| {
            self.demands.insert(index, DemandEntry { key, per_ms: 0.0, asked_at: now });
            index
        });
        let entry = &mut self.demands[index];
        entry.per_ms = entry.decayed_per_ms(now) + count as f64 / AVERAGE_MS;
        entry.asked_at = now;
    }

    /// Returns the average request rate of a name, per second.
    pub fn rate_per_s(&self, now: TimeMs, key: ShortKey) -> f64 {
        self.find(key).map_or(0.0, |entry| entry.decayed_per_ms(now) * MS_PER_S)
    }

    /// Returns when a name was last requested.
    pub fn asked_at(&self, key: ShortKey) -> Option<TimeMs> {
        self.find(key).map(|entry| entry.asked_at)
    }

    /// Removes names that have not been requested for a long time.
    pub fn expire(&mut self, now: TimeMs) {
        self.demands.retain(|entry| now.since_ms(entry.asked_at) < REMEMBER_MS);
    }

    fn find(&self, key: ShortKey) -> Option<&DemandEntry> {
        let found = self.demands.binary_search_by_key(&key, |entry| entry.key).ok()?;
        Some(&self.demands[found])
    }
}

impl DemandEntry {
    fn decayed_per_ms(&self, now: TimeMs) -> f64 {
        self.per_ms * (-(now.since_ms(self.asked_at) as f64) / AVERAGE_MS).exp()
    }
}
