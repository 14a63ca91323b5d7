use super::short_key::ShortKey;
use crate::TimeMs;

/// Counts by key, with the time of the last change of each.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Sorted by key.
    counts: Vec<(ShortKey, f64, TimeMs)>,
}

impl Counters {
    /// Adds to the count of a key.
    pub fn add(&mut self, now: TimeMs, key: ShortKey, count: f64) {
        match self.position(key) {
            Ok(index) => {
                self.counts[index].1 += count;
                self.counts[index].2 = now;
            }
            Err(index) => self.counts.insert(index, (key, count, now)),
        }
    }

    /// Sets the count of a key and returns the previous count, if there was one.
    pub fn set(&mut self, now: TimeMs, key: ShortKey, count: f64) -> Option<f64> {
        match self.position(key) {
            Ok(index) => {
                let before = std::mem::replace(&mut self.counts[index], (key, count, now));
                Some(before.1)
            }
            Err(index) => {
                self.counts.insert(index, (key, count, now));
                None
            }
        }
    }

    /// Returns the count of a key, or 0 if there is none.
    pub fn count(&self, key: ShortKey) -> f64 {
        self.position(key).map_or(0.0, |index| self.counts[index].1)
    }

    /// Returns the counts that changed in the last `lately_ms`, sorted by key.
    pub fn changed(&self, now: TimeMs, lately_ms: u64) -> Vec<(ShortKey, f64)> {
        let is_late = |at: TimeMs| now.since_ms(at) < lately_ms;
        let late = self.counts.iter().filter(|(_, _, at)| is_late(*at));
        late.map(|(key, count, _)| (*key, *count)).collect()
    }

    /// Returns all counts, sorted by key.
    pub fn all(&self) -> Vec<(ShortKey, f64)> {
        self.counts.iter().map(|(key, count, _)| (*key, *count)).collect()
    }

    fn position(&self, key: ShortKey) -> Result<usize, usize> {
        self.counts.binary_search_by_key(&key, |(key, _, _)| *key)
    }
}
