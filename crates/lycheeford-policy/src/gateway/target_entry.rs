use std::net::SocketAddr;

use crate::Name;

/// A target's own entry in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of the target. Each request names it, so that no other process at the same address runs
    /// the request.
    pub id: Name,
    /// Revision of the entry in the store; an older revision never replaces a newer one.
    pub revision: u64,
    /// Distinguishes two lives with the same id; the later life has the greater value.
    pub life: u64,
    /// Service that the target runs.
    pub service: Name,
    /// Version of the software that the target runs, which is not the version of its model weights.
    /// Targets of several versions may serve side by side.
    pub version: Name,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: Name,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// How much longer the target is cold after its start, as of the entry. A cold target may crash
    /// if it gets many requests.
    pub cold_remaining_ms: u64,
    /// Models that the target holds, if it is a model engine.
    pub residency: Residency,
}

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts new requests.
    Ready,
    /// The target finishes its running requests and then stops.
    Leaving {
        /// Time until the target is gone, if it announced one.
        remaining_ms: Option<u64>,
    },
}

/// Locations of model weights at an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Residency {
    /// Models that can run, sorted by name.
    pub models: Vec<ResidentModel>,
    /// Models whose weights are in host memory, sorted.
    pub in_memory: Vec<Name>,
    /// Models whose weights are on disk, sorted.
    pub on_disk: Vec<Name>,
}

impl Residency {
    /// Returns the model with this `name`, if it can run.
    pub fn model(&self, name: &str) -> Option<&ResidentModel> {
        let found = self.models.binary_search_by(|model| model.name.as_str().cmp(name)).ok()?;
        Some(&self.models[found])
    }

    /// Returns whether the weights of `name` are in host memory.
    pub fn is_in_memory(&self, name: &Name) -> bool {
        self.in_memory.binary_search(name).is_ok()
    }

    /// Returns whether the weights of `name` are on disk.
    pub fn is_on_disk(&self, name: &Name) -> bool {
        self.on_disk.binary_search(name).is_ok()
    }
}

/// A model that can run at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResidentModel {
    /// Name of the model.
    pub name: Name,
    /// Adapters that can run, sorted; the list may lag behind the engine.
    pub adapters: Vec<Name>,
}
