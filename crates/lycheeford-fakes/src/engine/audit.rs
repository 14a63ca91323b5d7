use serde::{Deserialize, Serialize};

/// The orders kept in an audit.
const ORDERS_KEPT: usize = 4_096;

/// What an engine was told and did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAudit {
    /// The memory that it has.
    pub memory_total_bytes: u64,
    /// The most memory in use at once, also beyond what it has.
    pub memory_used_bytes_max: u64,
    /// The most replicas at once by name, sorted.
    pub replicas_max: Vec<ReplicasSeen>,
    /// The orders, oldest first.
    pub orders: Vec<OrderSeen>,
    /// Whether a request carried one of the markers.
    pub marker_seen: bool,
    /// Completions that began to run.
    pub completions_started: u64,
    /// Completions that ran to their end.
    pub completions_finished: u64,
    /// Completions whose caller hung up.
    pub completions_cancelled: u64,
    /// How long after the engine began to leave the last new completion came.
    pub last_arrival_after_leaving_ms: Option<u64>,
}

/// The most replicas of a name at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicasSeen {
    /// The model or adapter.
    pub name: String,
    /// The replicas.
    pub replicas: u64,
}

/// An order as it came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderSeen {
    /// The id that its sender gave.
    pub order_id: String,
    /// The fencing number.
    pub fence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// The model or adapter.
    pub name: String,
    /// What became of it at its arrival.
    pub outcome: String,
}

impl EngineAudit {
    pub(super) fn see_order(&mut self, order: OrderSeen) {
        if self.orders.len() < ORDERS_KEPT {
            self.orders.push(order);
        }
    }

    pub(super) fn see_replicas(&mut self, name: &str, replicas: u64) {
        match self.replicas_max.binary_search_by(|seen| seen.name.as_str().cmp(name)) {
            Ok(index) => {
                let seen = &mut self.replicas_max[index];
                seen.replicas = seen.replicas.max(replicas);
            }
            Err(index) => {
                self.replicas_max.insert(index, ReplicasSeen { name: name.to_owned(), replicas });
            }
        }
    }
}
