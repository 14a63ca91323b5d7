//! Placement, load order, keep-warm and eviction, decided by the coordinator.
//!
//! The planner is driven by whole reports (a target's state, a host's demand)
//! and rebuilds itself from them after a change of coordinator. Its decisions
//! are proposals: the coordinator makes each one safe by conditional updates.
//!
//! - `view`, `action`: what comes in and what goes out.
//! - `entry`, `target`: what is known of a model or adapter and of a target.
//! - `observe`: takes reports over.
//! - `want`: who waits for what, in order.
//! - `placement`: where a load goes and what it evicts.
//! - `store_gate`: when a load from the weight store may start.
//! - `keep_warm`, `gap_history`: how long an idle replica stays.
//!
//! Tables refer to each other by small ids, and every step of a plan touches
//! only what is wanted, in flight or due, not all that is known.

mod action;
mod entry;
mod gap_history;
mod keep_warm;
mod observe;
mod placement;
mod store_gate;
mod target;
mod view;
mod want;

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

/// A decision that no view confirms for this long has failed.
const DECISION_TIMEOUT_MS: u64 = 10_000;

/// How many loads may run at once.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimits {
    /// Loads that the weight store serves at once at full speed.
    pub store_loads_at_once: u32,
    /// Loads that the weight store starts in a second.
    pub store_loads_per_s: f64,
    /// Adapter loads at once over all targets at full speed.
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
    /// Entries with demand or a promise, sorted.
    wanted: Vec<u32>,
    /// Loads decided or under way, sorted by entry and target.
    loading: Vec<(u32, u32)>,
    /// Decisions that no view has confirmed yet.
    pending: Vec<Pending>,
    /// Targets that take orders by free memory.
    free: BTreeSet<(u64, u32)>,
    /// When to look again at an entry that may be idle.
    timers: BinaryHeap<Reverse<(TimeMs, u32)>>,
    store: StoreGate,
    /// The memory of the largest target seen.
    target_bytes_max: u64,
    total_rate: f64,
    total_load_ms: f64,
    usage_decayed_at: TimeMs,
}

/// A customer's share and its part of the recent loads.
#[derive(Debug, Default)]
struct CustomerUse {
    rate: f64,
    load_ms: f64,
}

/// What a host's last report added.
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
    /// Returns a planner that knows nothing yet.
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
            free: BTreeSet::new(),
            timers: BinaryHeap::new(),
            target_bytes_max: 0,
            total_rate: 0.0,
            total_load_ms: 0.0,
            usage_decayed_at: TimeMs::default(),
        }
    }

    /// Takes over a configuration.
    ///
    /// Replicas of models that it no longer has are unloaded once idle.
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
            self.retire(id);
        }
    }

    /// Withdraws a decision that could not be carried out.
    pub fn abandon(&mut self, name: &str, target: &str) {
        let Some(entry) = self.entries.find(name) else { return };
        let Some(target) = self.targets.find(target) else { return };
        self.abandon_ids(entry, target);
    }

    /// Decides what to do now.
    ///
    /// Every name with waiting requests gets an expected time to ready or,
    /// for the customers whose requests all end before it, a refusal.
    pub fn plan(&mut self, now: TimeMs) -> Vec<PlanAction> {
        let mut actions = Vec::new();
        self.store.refill(now);
        self.decay_usage(now);
        self.expire_pending(now);
        self.serve_wants(now, &mut actions);
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

    fn retire(&mut self, id: u32) {
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

    /// Records a decision; the target gets no other until a view confirms it.
    fn decide(&mut self, id: u32, replica: Replica) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.set_replica(replica);
        self.pending.push(Pending { entry: id, target: replica.target, since: replica.since });
        self.track_loading(id, replica.target, replica.phase == Phase::LoadDecided);
        if let Some(target) = self.targets.get_mut(replica.target) {
            target.add_entry(id);
            target.pending += 1;
        }
        self.index_target(replica.target);
    }

    /// Ends the wait for the confirmation of a decision.
    fn settle(&mut self, entry: u32, target: u32) {
        let before = self.pending.len();
        self.pending.retain(|pending| (pending.entry, pending.target) != (entry, target));
        if self.pending.len() == before {
            return;
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.pending = target.pending.saturating_sub(1);
        }
        self.index_target(target);
    }

    fn expire_pending(&mut self, now: TimeMs) {
        let is_late = |pending: &&Pending| now.since_ms(pending.since) > DECISION_TIMEOUT_MS;
        for late in self.pending.iter().filter(is_late).copied().collect::<Vec<_>>() {
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
                self.settle(id, target);
            }
            _ => self.settle(id, target),
        }
    }

    fn drop_replica(&mut self, id: u32, target: u32) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.remove_replica(target);
        }
        if let Some(target) = self.targets.get_mut(target) {
            target.remove_entry(id);
        }
        self.track_loading(id, target, false);
        self.settle(id, target);
    }

    fn track_loading(&mut self, id: u32, target: u32, is_loading: bool) {
        match (self.loading.binary_search(&(id, target)), is_loading) {
            (Err(index), true) => self.loading.insert(index, (id, target)),
            (Ok(index), false) => {
                self.loading.remove(index);
            }
            _ => {}
        }
    }

    fn index_target(&mut self, id: u32) {
        let Some(target) = self.targets.get_mut(id) else { return };
        let bytes = target.takes_orders().then(|| target.free_bytes());
        if bytes == target.indexed_bytes {
            return;
        }
        if let Some(old) = target.indexed_bytes {
            self.free.remove(&(old, id));
        }
        if let Some(new) = bytes {
            self.free.insert((new, id));
        }
        target.indexed_bytes = bytes;
    }

    fn want(&mut self, id: u32) {
        if let Err(index) = self.wanted.binary_search(&id) {
            self.wanted.insert(index, id);
        }
    }

    /// Returns the loads from `sources` that are decided or under way.
    fn in_flight(&self, is_counted: impl Fn(LoadSource) -> bool) -> Vec<Replica> {
        self.loading
            .iter()
            .filter_map(|(id, target)| self.entries.get(*id)?.replica(*target).copied())
            .filter(|replica| is_counted(replica.source))
            .collect()
    }
}
