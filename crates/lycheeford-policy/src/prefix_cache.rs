use std::collections::BTreeMap;

/// The largest number of prefixes in each of the two generations.
const GENERATION_LEN: usize = 16_384;

/// A bounded cache of the target that last served each prompt prefix.
///
/// Entries are kept in two generations. When the young generation is full, it replaces the old one.
/// A use adds the entry to the young generation, so that an entry that is dropped was not used for
/// at least a generation.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    young: BTreeMap<u64, u32>,
    old: BTreeMap<u64, u32>,
}

impl PrefixCache {
    pub fn target(&self, hash: u64) -> Option<u32> {
        self.young.get(&hash).or_else(|| self.old.get(&hash)).copied()
    }

    pub fn insert(&mut self, hash: u64, target: u32) {
        self.young.insert(hash, target);
        if self.young.len() >= GENERATION_LEN {
            self.old = std::mem::take(&mut self.young);
        }
    }
}
