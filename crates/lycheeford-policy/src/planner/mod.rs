//! Placement, load order, keep-warm and eviction, decided by the coordinator.
//!
//! The planner is driven by complete reports (a target's state, a host's demand), from which a new
//! coordinator rebuilds its state. Its decisions are proposals: the coordinator makes each of them
//! safe by conditional updates of the stored objects.
//!
//! - `view`, `action`: the input and output types.
//! - `entry`, `target`: the state of a model or adapter and of a target.
//! - `observe`: applies reports to that state.
//! - `demand`: the models and adapters with waiting requests, in the order in which they are
//!   served.
//! - `placement`: the target for a load, and what is evicted there.
//! - `store_gate`: when a load from the weight store may start.
//! - `keep_warm`, `gap_history`: how long an idle replica stays loaded.
//!
//! Tables refer to each other by small ids, and each planning step touches only the entries that
//! are wanted, in flight or due, so that its cost does not grow with the number of known entries.

mod action;
mod demand;
mod entry;
mod gap_history;
mod keep_warm;
mod observe;
mod placement;
mod store_gate;
mod target;
mod view;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use self::entry::{Entry, EntryKind, EntrySpec, LoadSource, Phase, Replica};
use self::store_gate::StoreGate;
use self::target::Target;
use crate::name_table::NameTable;
use crate::{Configuration, SiteWeights, TimeMs};

pub use self::action::PlanAction;
pub use self::view::{
    Activity, CheckpointPlace, Demand, DemandReport, ReplicaState, ReplicaView, TargetView,
};

/// How long a decision may stay without confirmation by a target view before it counts as failed.
const DECISION_TIMEOUT_MS: u64 = 10_000;

/// How many loads may run concurrently.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimits {
    /// Concurrent loads that the weight store serves at full speed.
    pub store_loads_at_once: u32,
    /// Loads from the weight store that may start per second.
    pub store_loads_per_s: f64,
    /// Concurrent adapter loads over all targets at full speed.
    pub adapter_loads_at_once: u32,
}

impl Default for LoadLimits {
    fn default() -> LoadLimits {
        LoadLimits { store_loads_at_once: 4, store_loads_per_s: 8.0, adapter_loads_at_once: 30 }
    }
}

/// Decides which replicas are loaded and unloaded where, and in which order.
#[derive(Debug)]
pub struct Planner {
    limits: LoadLimits,
    weights: SiteWeights,
    entries: NameTable<Entry>,
    targets: NameTable<Target>,
    customers: NameTable<CustomerUse>,
    hosts: NameTable<HostUse>,
    /// Ids of the entries with waiting requests or with callers that are expected to retry, sorted.
    wanted: Vec<u32>,
    /// Loads decided or running, as pairs of entry and target, sorted.
    loading: Vec<(u32, u32)>,
    /// Decisions that no target view has confirmed yet.
    pending: Vec<Pending>,
    /// Targets that accept orders, as pairs of free memory and target, sorted.
    free_memory: BTreeSet<(u64, u32)>,
    /// When to check again whether an entry is idle.
    timers: BinaryHeap<Reverse<(TimeMs, u32)>>,
    store: StoreGate,
    /// Memory of the largest target seen.
    target_bytes_max: u64,
    total_rate: f64,
    total_load_ms: f64,
    usage_decayed_at: TimeMs,
}

/// A customer's rate and the decayed load time that its requests caused.
#[derive(Debug, Default)]
struct CustomerUse {
    rate: f64,
    load_ms: f64,
}

/// The demand and the running requests of one host, by its last report.
#[derive(Debug, Default)]
struct HostUse {
    wanted: Vec<u32>,
    running: Vec<(u32, u32)>,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    entry: u32,
    target: u32,
    since: TimeMs,
}

impl Planner {
    /// Returns a planner without any known target or demand.
    pub fn new(limits: LoadLimits) -> Planner {
        Planner {
            store: StoreGate::new(&limits),
            limits,
            weights: SiteWeights::default(),
            entries: NameTable::default(),
            targets: NameTable::default(),
            customers: NameTable::default(),
            hosts: NameTable::default(),
            wanted: Vec::new(),
            loading: Vec::new(),
            pending: Vec::new(),
            free_memory: BTreeSet::new(),
            timers: BinaryHeap::new(),
            target_bytes_max: 0,
            total_rate: 0.0,
            total_load_ms: 0.0,
            usage_decayed_at: TimeMs::default(),
        }
    }

    /// Applies a configuration.
    ///
    /// Replicas of models that the configuration no longer has are unloaded once they are idle.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.weights = configuration.weights.clone();
        self.configure_customers(configuration);
        for entry in self.entries.values_mut() {
            entry.spec = None;
        }
        for model in &configuration.models {
            let kind = EntryKind::Model {
                load_remote_ms: model.load_remote_ms,
                load_disk_ms: model.load_disk_ms,
            };
            let (memory_bytes, replicas_max) = (model.memory_bytes, model.replicas_max);
            self.set_spec(&model.name, EntrySpec { memory_bytes, replicas_max, kind });
        }
        for adapter in &configuration.adapters {
            let base = self.entries.find_or_insert(&adapter.model);
            let spec = self.entries.get(base).and_then(|base| base.spec);
            let replicas_max = spec.map_or(0, |spec| spec.replicas_max);
            let (memory_bytes, kind) = (adapter.memory_bytes, EntryKind::Adapter { base });
            self.set_spec(&adapter.name, EntrySpec { memory_bytes, replicas_max, kind });
        }
        for id in self.entries.ids().collect::<Vec<_>>() {
            self.remove_or_schedule_unload(id);
        }
    }

    /// Withdraws a decision that the coordinator could not carry out.
    pub fn abandon(&mut self, name: &str, target: &str) {
        let Some(entry) = self.entries.find(name) else { return };
        let Some(target) = self.targets.find(target) else { return };
        self.abandon_ids(entry, target);
    }

    /// Returns the actions that are due now.
    ///
    /// Each model or adapter with waiting requests gets an expected time to ready, if one can be
    /// estimated. Customers get a refusal if all their requests reach their deadline before that
    /// time, or if no time can be estimated.
    pub fn plan(&mut self, now: TimeMs) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        self.store.refill(now);
        self.decay_usage(now);
        self.expire_pending(now);
        self.serve_demand(now, &mut actions);
        self.unload_idle(now, &mut actions);
        actions
    }

    fn configure_customers(&mut self, configuration: &Configuration) {
        for customer in self.customers.values_mut() {
            customer.rate = 0.0;
        }
        self.total_rate = 0.0;
        for customer in &configuration.customers {
            let rate = customer.rate_tokens_per_s.max(1) as f64;
            let id = self.customers.find_or_insert(&customer.name);
            if let Some(customer) = self.customers.get_mut(id) {
                customer.rate = rate;
            }
            self.total_rate += rate;
        }
    }

    fn set_spec(&mut self, name: &str, spec: EntrySpec) {
        let id = self.entries.find_or_insert(name);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.spec = Some(spec);
        }
    }

    fn remove_or_schedule_unload(&mut self, id: u32) {
        let Some(entry) = self.entries.get(id) else { return };
        if entry.is_unused() && !entry.timer_set {
            self.entries.remove(id);
            return;
        }
        if entry.spec.is_none() && !entry.replicas.is_empty() {
            self.set_timer(TimeMs::default(), id);
        }
    }

    fn phase(&self, entry: u32, target: u32) -> Option<Phase> {
        self.entries.get(entry)?.replica(target).map(|replica| replica.phase)
    }

    /// Records a decision; the target gets no further order until a view confirms the decision.
    fn decide(&mut self, id: u32, replica: Replica) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.set_replica(replica);
        self.pending.push(Pending { entry: id, target: replica.target, since: replica.since });
        self.set_loading(id, replica.target, replica.phase == Phase::LoadDecided);
        if let Some(target) = self.targets.get_mut(replica.target) {
            target.add_entry(id);
            target.pending += 1;
        }
        self.index_free_memory(replica.target);
    }

    /// Removes a decision from those that wait for confirmation.
    fn clear_pending(&mut self, entry: u32, target: u32) {
        let before = self.pending.len();
        self.pending.retain(|pending| (pending.entry, pending.target) != (entry, target));
        if self.pending.len() == before {
            return;
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.pending = target.pending.saturating_sub(1);
        }
        self.index_free_memory(target);
    }

    fn expire_pending(&mut self, now: TimeMs) {
        let has_timed_out = |pending: &&Pending| now.since_ms(pending.since) > DECISION_TIMEOUT_MS;
        for late in self.pending.iter().filter(has_timed_out).copied().collect::<Vec<_>>() {
            self.abandon_ids(late.entry, late.target);
        }
    }

    fn abandon_ids(&mut self, id: u32, target: u32) {
        match self.phase(id, target) {
            Some(Phase::LoadDecided) => self.drop_replica(id, target),
            Some(Phase::UnloadDecided) => {
                if let Some(replica) =
                    self.entries.get_mut(id).and_then(|entry| entry.replica_mut(target))
                {
                    replica.phase = Phase::Ready;
                }
                self.clear_pending(id, target);
            }
            _ => self.clear_pending(id, target),
        }
    }

    fn drop_replica(&mut self, id: u32, target: u32) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.remove_replica(target);
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.remove_entry(id);
        }
        self.set_loading(id, target, false);
        self.clear_pending(id, target);
    }

    fn set_loading(&mut self, id: u32, target: u32, is_loading: bool) {
        match (self.loading.binary_search(&(id, target)), is_loading) {
            (Err(index), true) => self.loading.insert(index, (id, target)),
            (Ok(index), false) => {
                self.loading.remove(index);
            }
            _ => {}
        }
    }

    fn index_free_memory(&mut self, id: u32) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let bytes = target.takes_orders().then(|| target.free_bytes());
        if bytes == target.indexed_bytes {
            return;
        }
        if let Some(old) = target.indexed_bytes {
            self.free_memory.remove(&(old, id));
        }
        if let Some(new) = bytes {
            self.free_memory.insert((new, id));
        }
        target.indexed_bytes = bytes;
    }

    fn mark_wanted(&mut self, id: u32) {
        if let Err(index) = self.wanted.binary_search(&id) {
            self.wanted.insert(index, id);
        }
    }

    /// Returns the decided or running loads whose source `is_counted` accepts.
    fn in_flight(&self, is_counted: impl Fn(LoadSource) -> bool) -> Vec<Replica> {
        self.loading
            .iter()
            .filter_map(|(id, target)| self.entries.get(*id)?.replica(*target).copied())
            .filter(|replica| is_counted(replica.source))
            .collect()
    }
}
