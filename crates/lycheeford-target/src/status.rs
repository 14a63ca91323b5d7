use lycheeford_policy::{
    self as policy, CheckpointPlace, HostState, Incarnation, LoadState, LoadedName, Name,
    OrderReport,
};

use crate::TargetError;
use crate::error::Code;
use crate::wire::WireStatus;

/// The status that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// Identifies the run of the engine's process; each restart gets a greater number.
    pub incarnation: Incarnation,
    /// The state, which decides whether the engine may receive new requests.
    pub state: HostState,
    /// The memory available for weights and adapters.
    pub memory_total_bytes: u64,
    /// The part of the memory that is in use.
    pub memory_used_bytes: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub queued: u32,
    /// The highest fencing number among the orders the engine has received.
    pub highest_fence: u64,
    /// The models and adapters in memory, sorted by name.
    pub loaded: Vec<Loaded>,
    /// The checkpoints in the memory or on the disk of the engine's host, sorted by name.
    pub checkpoints: Vec<Checkpoint>,
    /// The most recent orders with their outcomes, in the order in which they arrived.
    pub orders: Vec<OrderReport>,
}

impl TargetStatus {
    /// Decodes a status from the JSON that an engine sends.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing, has a wrong type or occurs twice, or if a
    /// model or adapter is reported as loaded twice.
    pub fn from_json(bytes: &[u8]) -> Result<TargetStatus, TargetError> {
        let wire: WireStatus =
            serde_json::from_slice(bytes).map_err(|source| Code::Json { source })?;
        TargetStatus::try_from(wire)
    }

    /// Returns the loaded model or adapter with the given name, if there is one.
    pub fn loaded(&self, name: &str) -> Option<&Loaded> {
        let index = self.loaded.binary_search_by(|loaded| loaded.name.as_str().cmp(name)).ok()?;
        Some(&self.loaded[index])
    }
}

/// Extracts the part of a status from which the outcome of orders is determined.
impl From<&TargetStatus> for policy::TargetStatus {
    fn from(status: &TargetStatus) -> policy::TargetStatus {
        policy::TargetStatus {
            incarnation: status.incarnation,
            highest_fence: status.highest_fence,
            loaded: status.loaded.iter().map(LoadedName::from).collect(),
            orders: status.orders.clone(),
        }
    }
}

impl From<&Loaded> for LoadedName {
    fn from(loaded: &Loaded) -> LoadedName {
        LoadedName {
            name: loaded.name.clone(),
            memory_bytes: loaded.memory_bytes,
            state: loaded.state,
        }
    }
}

/// A model or adapter in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loaded {
    /// The name of the model or adapter.
    pub name: Name,
    /// The memory that the model or adapter uses.
    pub memory_bytes: u64,
    /// Whether the model or adapter is loading, ready or unloading.
    pub state: LoadState,
    /// The order that loaded the model or adapter; `None` if it was loaded without an order.
    pub order_id: Option<Name>,
}

/// A checkpoint in the memory or on the disk of an engine's host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checkpoint {
    /// The name of the model or adapter.
    pub name: Name,
    /// Whether the checkpoint is in memory or on disk.
    pub place: CheckpointPlace,
}
