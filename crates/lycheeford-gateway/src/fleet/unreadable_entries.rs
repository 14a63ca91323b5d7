use lycheeford_policy::{Name, ShortKey};

/// The entries that can't be read, so that each change of one is logged once although each list
/// holds it again.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    /// The entry and its version, sorted by entry.
    entries: Vec<(ShortKey, u64)>,
    /// The number of entries in the last list that have no readable name.
    unnamed: usize,
}

impl UnreadableEntries {
    /// Records an entry that can't be read; returns whether that is news.
    pub(crate) fn record(&mut self, name: &Name, version: u64) -> bool {
        let key = ShortKey::of(name);
        match self.entries.binary_search_by_key(&key, |(entry, _)| *entry) {
            Ok(index) => std::mem::replace(&mut self.entries[index].1, version) != version,
            Err(index) => {
                self.entries.insert(index, (key, version));
                true
            }
        }
    }

    /// Records that an entry is gone, or can be read again.
    pub(crate) fn forget(&mut self, name: &Name) {
        let key = ShortKey::of(name);
        if let Ok(index) = self.entries.binary_search_by_key(&key, |(entry, _)| *entry) {
            self.entries.remove(index);
        }
    }

    /// Records how many entries of a list have no readable name; returns whether that is news.
    pub(crate) fn record_unnamed(&mut self, unnamed: usize) -> bool {
        std::mem::replace(&mut self.unnamed, unnamed) != unnamed && unnamed > 0
    }

    /// Forgets the entries that a list doesn't hold any more.
    pub(crate) fn retain_listed<'a>(&mut self, names: impl Iterator<Item = &'a Name>) {
        if self.entries.is_empty() {
            return;
        }
        let mut listed: Vec<ShortKey> = names.map(|name| ShortKey::of(name)).collect();
        listed.sort_unstable();
        self.entries.retain(|(entry, _)| listed.binary_search(entry).is_ok());
    }
}
