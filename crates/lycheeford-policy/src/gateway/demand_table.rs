use super::short_key::ShortKey;
use crate::TimeMs;

/// The time over which a rate is averaged.
const AVERAGE_MS: f64 = 2_500.0;
/// How long something that isn't asked for is remembered.
const REMEMBER_MS: u64 = 60_000;
const MS_PER_S: f64 = 1_000.0;

/// How often each model or adapter is asked for, over all hosts.
///
/// Every host keeps it, so that a new holder of orders starts warm.
#[derive(Debug, Default)]
pub struct DemandTable {
    /// Sorted by key.
    demands: Vec<Demanded>,
}

#[derive(Debug)]
struct Demanded {
    key: ShortKey,
    /// The average, as it was when something was last asked for.
    per_ms: f64,
    asked_at: TimeMs,
}

impl DemandTable {
    /// Takes in that a name was asked for `count` times.
    pub fn asked(&mut self, now: TimeMs, key: ShortKey, count: u64) {
        let found = self.demands.binary_search_by_key(&key, |demanded| demanded.key);
        let index = found.unwrap_or_else(|index| {
            self.demands.insert(index, Demanded { key, per_ms: 0.0, asked_at: now });
            index
        });
        let demanded = &mut self.demands[index];
        demanded.per_ms = demanded.faded(now) + count as f64 / AVERAGE_MS;
        demanded.asked_at = now;
    }

    /// Returns how often a name is asked for in a second.
    pub fn rate_per_s(&self, now: TimeMs, key: ShortKey) -> f64 {
        self.find(key).map_or(0.0, |demanded| demanded.faded(now) * MS_PER_S)
    }

    /// Returns when a name was last asked for.
    pub fn asked_at(&self, key: ShortKey) -> Option<TimeMs> {
        self.find(key).map(|demanded| demanded.asked_at)
    }

    /// Forgets what hasn't been asked for in a long time.
    pub fn expire(&mut self, now: TimeMs) {
        self.demands.retain(|demanded| now.since_ms(demanded.asked_at) < REMEMBER_MS);
    }

    fn find(&self, key: ShortKey) -> Option<&Demanded> {
        let found = self.demands.binary_search_by_key(&key, |demanded| demanded.key).ok()?;
        Some(&self.demands[found])
    }
}

impl Demanded {
    fn faded(&self, now: TimeMs) -> f64 {
        self.per_ms * (-(now.since_ms(self.asked_at) as f64) / AVERAGE_MS).exp()
    }
}
