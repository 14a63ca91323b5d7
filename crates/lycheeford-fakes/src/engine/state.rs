use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::{Value, json};

use super::audit::{EngineAudit, unix_us};
use super::batch::Batch;
use super::faults::{EngineFaults, EngineState};
use super::options::EngineOptions;

/// The maximum number of orders in a status.
const ORDERS_LISTED: usize = 64;

/// The number of past statuses kept for reporting with a lag.
const STATUSES_KEPT: usize = 512;

/// The state of a fake engine.
#[derive(Debug)]
pub(super) struct State {
    incarnation: u64,
    memory_total_bytes: u64,
    pub(super) highest_fence: u64,
    pub(super) loaded: Vec<Loaded>,
    checkpoints: Vec<Checkpoint>,
    orders: VecDeque<OrderOutcome>,
    pub(super) batch: Batch,
    pub(super) faults: EngineFaults,
    pub(super) audit: EngineAudit,
    leaving_since: Option<Instant>,
    past: VecDeque<(Instant, Value)>,
}

/// A replica of a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct Loaded {
    pub(super) name: String,
    pub(super) memory_bytes: u64,
    pub(super) state: LoadedState,
    pub(super) order_id: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum LoadedState {
    Loading,
    Ready,
    Unloading,
}

#[derive(Debug, Clone, Serialize)]
struct Checkpoint {
    name: String,
    place: CheckpointPlace,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum CheckpointPlace {
    Disk,
}

#[derive(Debug, Clone, Serialize)]
struct OrderOutcome {
    order_id: String,
    outcome: Outcome,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Outcome {
    Accepted,
    RefusedStaleFence,
    RefusedMemory,
    Done,
    Failed,
}

impl State {
    pub(super) fn new(options: &EngineOptions) -> State {
        let mut checkpoints: Vec<Checkpoint> = Vec::new();
        for name in &options.disk_checkpoints {
            checkpoints.push(Checkpoint { name: name.clone(), place: CheckpointPlace::Disk });
        }
        checkpoints.sort_unstable_by(|left, right| left.name.cmp(&right.name));
        let audit =
            EngineAudit { memory_total_bytes: options.memory_bytes, ..EngineAudit::default() };
        let mut state = State {
            incarnation: unix_us(),
            memory_total_bytes: options.memory_bytes,
            highest_fence: 0,
            loaded: Vec::new(),
            checkpoints,
            orders: VecDeque::new(),
            batch: Batch::new(options.batch_max),
            faults: EngineFaults::default(),
            audit,
            leaving_since: None,
            past: VecDeque::new(),
        };
        state.record_status();
        state
    }

    pub(super) fn set_faults(&mut self, faults: EngineFaults) {
        let leaving = faults.state == EngineState::Leaving;
        let since = self.leaving_since.unwrap_or_else(Instant::now);
        self.leaving_since = leaving.then_some(since);
        self.faults = faults;
        self.record_status();
    }

    pub(super) fn memory_used_bytes(&self) -> u64 {
        self.loaded.iter().map(|loaded| loaded.memory_bytes).sum()
    }

    pub(super) fn is_ready(&self, name: &str) -> bool {
        self.loaded.iter().any(|loaded| loaded.name == name && loaded.state == LoadedState::Ready)
    }

    pub(super) fn has_checkpoint(&self, name: &str) -> bool {
        self.checkpoint_position(name).is_ok()
    }

    pub(super) fn add_checkpoint(&mut self, name: &str) {
        if let Err(index) = self.checkpoint_position(name) {
            let checkpoint = Checkpoint { name: name.to_owned(), place: CheckpointPlace::Disk };
            self.checkpoints.insert(index, checkpoint);
        }
    }

    pub(super) fn add_loaded(&mut self, loaded: Loaded) {
        self.audit.record_load(&loaded.name);
        self.loaded.push(loaded);
        let used = self.memory_used_bytes();
        self.audit.memory_used_bytes_max = self.audit.memory_used_bytes_max.max(used);
    }

    /// Removes the replica whose latest accepted order is this one, if there is one.
    pub(super) fn remove_loaded(&mut self, order_id: &str) {
        if let Some(index) = self.loaded_position(order_id) {
            let loaded = self.loaded.remove(index);
            self.audit.record_unload(&loaded.name);
        }
    }

    pub(super) fn loaded_position(&self, order_id: &str) -> Option<usize> {
        self.loaded.iter().position(|loaded| loaded.order_id == order_id)
    }

    pub(super) fn set_outcome(&mut self, order_id: &str, outcome: Outcome) {
        match self.orders.iter_mut().rfind(|order| order.order_id == order_id) {
            Some(order) => order.outcome = outcome,
            None => self.orders.push_back(OrderOutcome { order_id: order_id.to_owned(), outcome }),
        }
        if self.orders.len() > ORDERS_LISTED {
            self.orders.pop_front();
        }
        self.record_status();
    }

    pub(super) fn record_arrival(&mut self) {
        if let Some(since) = self.leaving_since {
            let after_ms = since.elapsed().as_millis() as u64;
            self.audit.last_arrival_after_leaving_ms = Some(after_ms);
        }
    }

    /// Returns the status, with the age given by the `status_lag_ms` fault.
    pub(super) fn status(&mut self) -> Value {
        let lag_ms = self.faults.status_lag_ms;
        if lag_ms == 0 {
            return self.current_status();
        }
        self.record_status();
        let lag = Duration::from_millis(lag_ms);
        let old = self.past.iter().rfind(|(at, _)| at.elapsed() >= lag);
        old.or(self.past.front())
            .map_or_else(|| self.current_status(), |(_, status)| status.clone())
    }

    /// Records the current status for reports with a lag.
    pub(super) fn record_status(&mut self) {
        let status = self.current_status();
        self.past.push_back((Instant::now(), status));
        if self.past.len() > STATUSES_KEPT {
            self.past.pop_front();
        }
    }

    fn current_status(&self) -> Value {
        json!({
            "incarnation": self.incarnation,
            "state": self.faults.state,
            "memory_total_bytes": self.memory_total_bytes,
            "memory_used_bytes": self.memory_used_bytes(),
            "running": self.batch.running(),
            "queued": self.batch.queued(),
            "highest_fence": self.highest_fence,
            "loaded": self.loaded,
            "checkpoints": self.checkpoints,
            "orders": self.orders,
        })
    }

    fn checkpoint_position(&self, name: &str) -> Result<usize, usize> {
        self.checkpoints.binary_search_by(|checkpoint| checkpoint.name.as_str().cmp(name))
    }
}
