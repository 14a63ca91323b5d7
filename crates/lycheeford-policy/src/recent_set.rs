use crate::TimeMs;

/// A bounded set of keys, each with the time of its last insertion.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentSet {
    /// Sorted by key.
    entries: Vec<(u64, TimeMs)>,
}

impl RecentSet {
    /// Inserts a key, or renews its time; removes the oldest key if there are more than `keys_max`.
    pub(crate) fn insert(&mut self, now: TimeMs, key: u64, keys_max: usize) {
        match self.position(key) {
            Ok(index) => self.entries[index].1 = now,
            Err(index) => {
                self.entries.insert(index, (key, now));
                if self.entries.len() > keys_max {
                    self.remove_oldest();
                }
            }
        }
    }

    /// Returns when a key was inserted last.
    pub(crate) fn last(&self, key: u64) -> Option<TimeMs> {
        self.position(key).ok().map(|index| self.entries[index].1)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.entries.iter().enumerate().min_by_key(|(_, (_, at))| *at);
        if let Some((index, _)) = oldest {
            self.entries.remove(index);
        }
    }

    fn position(&self, key: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |(known, _)| *known)
    }
}
