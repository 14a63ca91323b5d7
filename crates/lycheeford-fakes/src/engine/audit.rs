use std::time::SystemTime;

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
    /// When each replica held memory, oldest first.
    pub held: Vec<Held>,
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

/// When a replica held memory, by the machine's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The model or adapter.
    pub name: String,
    /// When its load began, in microseconds of Unix time.
    pub from_us: u64,
    /// When its unload ended, if it did.
    pub until_us: Option<u64>,
}

/// Returns the most replicas of `name` that held memory at one moment over all engines.
pub fn replicas_max(audits: &[EngineAudit], name: &str) -> usize {
    let held: Vec<&Held> =
        audits.iter().flat_map(|audit| &audit.held).filter(|held| held.name == name).collect();
    let at = |moment_us: u64| {
        let holds = |held: &&&Held| {
            held.from_us <= moment_us && held.until_us.is_none_or(|until_us| until_us > moment_us)
        };
        held.iter().filter(holds).count()
    };
    held.iter().map(|held| at(held.from_us)).max().unwrap_or(0)
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

    pub(super) fn see_load(&mut self, name: &str) {
        self.held.push(Held { name: name.to_owned(), from_us: unix_us(), until_us: None });
    }

    pub(super) fn see_unload(&mut self, name: &str) {
        let open = |held: &&mut Held| held.name == name && held.until_us.is_none();
        if let Some(held) = self.held.iter_mut().rfind(open) {
            held.until_us = Some(unix_us());
        }
    }
}

/// Returns the machine's clock.
pub(super) fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
