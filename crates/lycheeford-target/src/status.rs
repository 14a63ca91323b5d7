use lycheeford_policy::{
    self as policy, CheckpointPlace, HostState, Incarnation, LoadState, LoadedName, Name,
    OrderReport,
};

use crate::TargetError;
use crate::error::Code;
use crate::wire::WireStatus;

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetStatus {
    /// The life of the engine's process.
    pub incarnation: Incarnation,
    /// Whether it may get new work.
    pub state: HostState,
    /// Memory for weights and adapters.
    pub memory_total_bytes: u64,
    /// Memory in use.
    pub memory_used_bytes: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// The highest fencing number seen.
    pub highest_fence: u64,
    /// The models and adapters in memory, sorted by name.
    pub loaded: Vec<Loaded>,
    /// The checkpoints near the engine, sorted by name.
    pub checkpoints: Vec<Checkpoint>,
    /// The last orders, in the order in which they came.
    pub orders: Vec<OrderReport>,
}

impl TargetStatus {
    /// Reads a status from the JSON that an engine sends.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing, mistyped or named twice, or if an engine
    /// reports the same model as loaded twice.
    pub fn from_json(bytes: &[u8]) -> Result<TargetStatus, TargetError> {
        let wire: WireStatus =
            serde_json::from_slice(bytes).map_err(|source| Code::Json { source })?;
        TargetStatus::try_from(wire)
    }

    /// Returns the state of the model or adapter called `name`.
    pub fn loaded(&self, name: &str) -> Option<&Loaded> {
        let index = self.loaded.binary_search_by(|loaded| loaded.name.as_str().cmp(name)).ok()?;
        Some(&self.loaded[index])
    }
}

/// What of a status settles orders.
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
    /// The name.
    pub name: Name,
    /// Memory that it takes.
    pub memory_bytes: u64,
    /// How far the load is.
    pub state: LoadState,
    /// The order that loaded it, if there was one.
    pub order_id: Option<Name>,
}

/// A checkpoint near an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checkpoint {
    /// The model or adapter.
    pub name: Name,
    /// Where it lies.
    pub place: CheckpointPlace,
}
