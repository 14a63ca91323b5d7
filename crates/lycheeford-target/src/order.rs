use lycheeford_policy::Name;
use serde::{Deserialize, Serialize};

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The id, unique for each order that is ever sent.
    pub order_id: Name,
    /// The fencing number; engines that check refuse one below the highest seen.
    pub fence: u64,
    /// What to do.
    pub action: Action,
    /// The model or adapter.
    pub name: Name,
    /// The model under an adapter.
    pub base: Option<Name>,
    /// The memory that is reserved for it.
    pub memory_bytes: u64,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load the model or adapter.
    Load,
    /// Unload it.
    Unload,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine took it and works on it.
    Accepted,
    /// The engine has seen a higher fencing number.
    RefusedStaleFence,
    /// The engine has too little memory.
    RefusedMemory,
    /// The engine carried it out.
    Done,
    /// The engine tried and failed.
    Failed,
}
