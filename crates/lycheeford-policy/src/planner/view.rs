use serde::{Deserialize, Serialize};

use crate::Name;

/// The complete state of a target as the coordinator knows it, from the target's status and its
/// platform object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetView {
    /// The name of the target, unique in the platform's host list.
    pub name: Name,
    /// The failure domain that the target belongs to.
    pub failure_domain: Name,
    /// Whether the target is live, healthy and not leaving.
    pub accepts_work: bool,
    /// Memory of the target for weights and adapters, in bytes.
    pub memory_total_bytes: u64,
    /// Memory held by recorded reservations, in bytes.
    pub reserved_bytes: u64,
    /// Whether an order to the target is unresolved and not set aside; the target then gets no
    /// further order.
    pub blocked: bool,
    /// The replicas that the target loads, serves or unloads.
    pub replicas: Vec<ReplicaView>,
    /// The checkpoints that the target holds locally, with where it holds them.
    pub checkpoints: Vec<(Name, CheckpointPlace)>,
    /// The number of requests that run on the target.
    pub running: u32,
}

/// A model or adapter on a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaView {
    /// The name of the model or adapter.
    pub name: Name,
    /// Whether the replica is loading, ready or unloading.
    pub state: ReplicaState,
    /// Memory that the replica occupies, in bytes.
    pub memory_bytes: u64,
}

/// The lifecycle state of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// The load is running.
    Loading,
    /// The replica can serve requests.
    Ready,
    /// The unload is running.
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

/// The complete demand that one entry host sees; it replaces the host's previous report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandReport {
    /// The entry host that reports.
    pub host: Name,
    /// The requests that wait for a replica, grouped by name and customer; requests that were
    /// refused, but are expected to be retried, count as one waiting request per group.
    pub demands: Vec<Demand>,
    /// The models and adapters that running or recent requests of the host use.
    pub activity: Vec<Activity>,
}

/// Requests of one customer that wait for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The name of the model or adapter.
    pub name: Name,
    /// The customer that sent the requests.
    pub customer: Name,
    /// The customer's priority class; 0 is served first.
    pub class: u8,
    /// The number of waiting requests.
    pub waiting: u32,
    /// Time until the earliest of their deadlines.
    pub deadline_in_ms: u64,
    /// How long the request with the earliest deadline has waited.
    pub waited_ms: u64,
}

/// The use of one model or adapter by one host's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Activity {
    /// The name of the model or adapter.
    pub name: Name,
    /// Requests dispatched since the previous report.
    pub served: u32,
    /// Requests that are running now.
    pub running: u32,
}
