use crate::Name;

/// The state of one target.
#[derive(Debug, Default)]
pub(super) struct Target {
    pub failure_domain: Option<Name>,
    pub accepts_work: bool,
    pub blocked: bool,
    pub memory_total_bytes: u64,
    /// Memory held by reservations or by replicas, whichever is more.
    pub used_bytes: u64,
    pub running: u32,
    /// The models and adapters that are loaded on the target or decided for it, sorted.
    pub entries: Vec<u32>,
    /// The models with a local checkpoint, sorted.
    pub checkpoints: Vec<u32>,
    /// Decisions that no view has confirmed yet.
    pub pending: u32,
    /// The key of the target in the index of free memory, if it is listed there.
    pub indexed_bytes: Option<u64>,
}

impl Target {
    /// Returns whether the target can get an order now.
    pub fn takes_orders(&self) -> bool {
        self.accepts_work && !self.blocked && self.pending == 0
    }

    pub fn free_bytes(&self) -> u64 {
        self.memory_total_bytes.saturating_sub(self.used_bytes)
    }

    pub fn add_entry(&mut self, entry: u32) {
        if let Err(index) = self.entries.binary_search(&entry) {
            self.entries.insert(index, entry);
        }
    }

    pub fn remove_entry(&mut self, entry: u32) {
        if let Ok(index) = self.entries.binary_search(&entry) {
            self.entries.remove(index);
        }
    }
}
