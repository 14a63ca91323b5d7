use std::net::SocketAddr;

use crate::Name;

/// What a target says of itself in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// The id, which a request names so that no other process runs it.
    pub id: Name,
    /// The store's revision of the entry; an older one never replaces it.
    pub revision: u64,
    /// Tells two lives with the same id apart; the later one is greater.
    pub life: u64,
    /// The service that it runs.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Whether it may get new work.
    pub state: TargetState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it holds, if it is a model engine.
    pub residency: Residency,
}

/// Whether a target may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It may.
    Ready,
    /// It finishes what it has and goes.
    Leaving {
        /// The time until it is gone, if it said so.
        remaining_ms: Option<u64>,
    },
}

/// Where the weights of models lie at an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Residency {
    /// The models that can run, sorted by name.
    pub models: Vec<ResidentModel>,
    /// The models whose weights lie in host memory, sorted.
    pub in_memory: Vec<Name>,
    /// The models whose weights lie on disk, sorted.
    pub on_disk: Vec<Name>,
}

impl Residency {
    /// Returns the model called `name`, if it can run.
    pub fn model(&self, name: &str) -> Option<&ResidentModel> {
        let found = self.models.binary_search_by(|model| model.name.as_str().cmp(name)).ok()?;
        Some(&self.models[found])
    }

    /// Returns whether the weights of `name` lie in host memory.
    pub fn is_in_memory(&self, name: &Name) -> bool {
        self.in_memory.binary_search(name).is_ok()
    }

    /// Returns whether the weights of `name` lie on disk.
    pub fn is_on_disk(&self, name: &Name) -> bool {
        self.on_disk.binary_search(name).is_ok()
    }
}

/// A model that can run at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// The name.
    pub name: Name,
    /// The adapters that can run, sorted; the list may lag.
    pub adapters: Vec<Name>,
}
