use serde::{Deserialize, Serialize};

use crate::Name;

/// What the coordinator knows of a target, whole, from its status and its platform object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// The target's name.
    pub name: Name,
    /// The failure domain that it is lost with.
    pub failure_domain: Name,
    /// Whether the target is live, healthy and not leaving.
    pub accepts_work: bool,
    /// Memory for weights and adapters.
    pub memory_total_bytes: u64,
    /// Memory that recorded reservations hold.
    pub reserved_bytes: u64,
    /// Whether an order to the target is unresolved; it then gets no other.
    pub blocked: bool,
    /// The replicas on the target.
    pub replicas: Vec<ReplicaView>,
    /// The checkpoints that the target holds locally.
    pub checkpoints: Vec<(Name, CheckpointPlace)>,
    /// The requests that it runs.
    pub running: u32,
}

/// A model or adapter on a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaView {
    /// The model or adapter.
    pub name: Name,
    /// How far it is.
    pub state: ReplicaState,
    /// Memory that it takes.
    pub memory_bytes: u64,
}

/// How far a replica is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Being loaded.
    Loading,
    /// Serving.
    Ready,
    /// Being unloaded.
    Unloading,
}

/// Where a target holds a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckpointPlace {
    /// In the host's memory.
    Memory,
    /// On the host's disk.
    Disk,
}

/// The whole demand that one entry host sees; it replaces the host's last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandReport {
    /// The entry host.
    pub host: Name,
    /// Requests that wait for a replica.
    pub demands: Vec<Demand>,
    /// The models and adapters that the host's requests use.
    pub activity: Vec<Activity>,
}

/// Requests of one customer that wait for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The model or adapter.
    pub name: Name,
    /// The customer.
    pub customer: Name,
    /// The customer's class; 0 goes first.
    pub class: u8,
    /// How many requests wait.
    pub waiting: u32,
    /// Time to the first of their deadlines.
    pub deadline_in_ms: u64,
    /// How long the first of them has waited.
    pub waited_ms: u64,
}

/// The use of one model or adapter by one host's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Activity {
    /// The model or adapter.
    pub name: Name,
    /// Requests dispatched since the last report.
    pub served: u32,
    /// Requests that run now.
    pub running: u32,
}
