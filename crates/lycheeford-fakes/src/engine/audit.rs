use std::time::SystemTime;

use serde::{Deserialize, Serialize};

/// The maximum number of orders kept in an audit; later orders are not recorded.
const ORDERS_KEPT: usize = 4_096;

/// The orders, memory use and completions of a fake engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAudit {
    /// The engine's memory for weights and adapters.
    pub memory_total_bytes: u64,
    /// The peak memory use, which may exceed the total if the engine allows overcommitment.
    pub memory_used_bytes_max: u64,
    /// The period in which each replica held memory, oldest first.
    pub held: Vec<MemoryPeriod>,
    /// The orders received, oldest first.
    pub orders: Vec<ReceivedOrder>,
    /// Whether a header, cookie or query of any request contained one of the markers.
    pub marker_seen: bool,
    /// Completions that left the queue and started.
    pub completions_started: u64,
    /// Completions that ran to their end, neither cancelled nor truncated by a fault.
    pub completions_finished: u64,
    /// Completions whose caller disconnected.
    pub completions_cancelled: u64,
    /// The time from the engine's change to `leaving` to the last new completion; absent if none
    /// has arrived since.
    pub last_arrival_after_leaving_ms: Option<u64>,
}

/// The period in which a replica held memory, by the system clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryPeriod {
    /// The name of the model or adapter.
    pub name: String,
    /// The start of the load, in microseconds of Unix time.
    pub from_us: u64,
    /// The end of the unload in microseconds of Unix time; absent while memory is held.
    pub until_us: Option<u64>,
}

/// Returns the maximum number of replicas of `name` that held memory at once on all engines.
pub fn max_concurrent_replicas(audits: &[EngineAudit], name: &str) -> usize {
    let held: Vec<&MemoryPeriod> =
        audits.iter().flat_map(|audit| &audit.held).filter(|held| held.name == name).collect();
    let at = |moment_us: u64| {
        let holds = |held: &&&MemoryPeriod| {
            held.from_us <= moment_us && held.until_us.is_none_or(|until_us| until_us > moment_us)
        };
        held.iter().filter(holds).count()
    };
    held.iter().map(|held| at(held.from_us)).max().unwrap_or(0)
}

/// A received order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// The id assigned by the sender.
    pub order_id: String,
    /// The fencing number that the sender gave; it is outdated if a higher one came before.
    pub fence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// The name of the model or adapter.
    pub name: String,
    /// The outcome on arrival, such as `accepted` or `refused_memory`.
    pub outcome: String,
}

impl EngineAudit {
    pub(super) fn record_order(&mut self, order: ReceivedOrder) {
        if self.orders.len() < ORDERS_KEPT {
            self.orders.push(order);
        }
    }

    pub(super) fn record_load(&mut self, name: &str) {
        self.held.push(MemoryPeriod { name: name.to_owned(), from_us: unix_us(), until_us: None });
    }

    pub(super) fn record_unload(&mut self, name: &str) {
        let open = |held: &&mut MemoryPeriod| held.name == name && held.until_us.is_none();
        if let Some(held) = self.held.iter_mut().rfind(open) {
            held.until_us = Some(unix_us());
        }
    }
}

/// Returns the system time in microseconds of Unix time.
pub(super) fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
