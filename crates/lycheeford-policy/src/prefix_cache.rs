use std::collections::BTreeMap;

/// Prefixes in each of the two generations.
const GENERATION_LEN: usize = 16_384;

/// Remembers which target served a prompt's prefix last, within a bounded size.
///
/// Entries live in two generations. A full young one replaces the old one,
/// and a use moves an entry to the young one, so what is dropped wasn't used
/// for at least a generation.
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
