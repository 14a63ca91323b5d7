//! The actual state of the simulated targets and of the weight store.
//!
//! The planner and the routers learn of it through statuses, which arrive later.

use lycheeford_policy::{CheckpointPlace, Name, ReplicaState, ReplicaView, TargetView};

use crate::workload::{TARGET_MEMORY_BYTES, Trace};

/// How many concurrent loads the weight store serves at full speed.
pub const STORE_LOAD_CONCURRENCY: usize = 4;
/// How many adapters load concurrently without slowing each other down.
const ADAPTER_LOAD_CONCURRENCY: usize = 30;
const ADAPTER_LOAD_MS: u64 = 10;
/// The checkpoints that a target keeps, those in memory included.
const DISK_CHECKPOINTS: usize = 8;
/// The checkpoints that a target keeps in memory: those that were loaded last.
const MEMORY_CHECKPOINTS: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    Live,
    Leaving,
    Gone,
}

#[derive(Debug)]
pub struct Target {
    pub name: Name,
    pub domain: Name,
    pub lifecycle: Lifecycle,
    /// Grows when the target returns after a loss, so that earlier events can be discarded.
    pub generation: u64,
    pub replicas: Vec<Replica>,
    /// The models whose checkpoints this target keeps, the last loaded one first.
    pub checkpoints: Vec<usize>,
    /// Whether an order for this target is still open.
    pub blocked: bool,
}

#[derive(Debug)]
pub struct Replica {
    pub entry: usize,
    pub state: ReplicaState,
    pub running: u32,
    pub used_at_ms: u64,
    pub idle_since_ms: u64,
}

impl Target {
    pub fn new(index: usize, generation: u64) -> Target {
        Target {
            name: Name::from(format!("target-{index:02}-{generation}")),
            domain: Name::from(format!("domain-{}", index % 3)),
            lifecycle: Lifecycle::Live,
            generation,
            replicas: Vec::new(),
            checkpoints: Vec::new(),
            blocked: false,
        }
    }

    pub fn replica(&mut self, entry: usize) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.entry == entry)
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        let is_match = |r: &&Replica| r.entry == entry && r.state == ReplicaState::Ready;
        self.replicas.iter().any(|replica| is_match(&replica))
    }

    pub fn used_bytes(&self, trace: &Trace) -> u64 {
        self.replicas.iter().map(|replica| trace.memory_bytes(replica.entry)).sum()
    }

    pub fn running(&self) -> u32 {
        self.replicas.iter().map(|replica| replica.running).sum()
    }

    pub fn view(&self, trace: &Trace) -> TargetView {
        let replicas = self.replicas.iter().map(|replica| ReplicaView {
            name: trace.names[replica.entry].clone(),
            state: replica.state,
            memory_bytes: trace.memory_bytes(replica.entry),
        });
        let place =
            |entry: usize| Some((trace.names[entry].clone(), self.checkpoint_place(entry)?));
        TargetView {
            name: self.name.clone(),
            failure_domain: self.domain.clone(),
            accepts_work: self.lifecycle == Lifecycle::Live,
            memory_total_bytes: TARGET_MEMORY_BYTES,
            reserved_bytes: self.used_bytes(trace),
            blocked: self.blocked,
            replicas: replicas.collect(),
            checkpoints: self.checkpoints.iter().filter_map(|entry| place(*entry)).collect(),
            running: self.running(),
        }
    }

    pub fn checkpoint_place(&self, entry: usize) -> Option<CheckpointPlace> {
        match self.checkpoints.iter().position(|held| *held == entry)? {
            0..MEMORY_CHECKPOINTS => Some(CheckpointPlace::Memory),
            _ => Some(CheckpointPlace::Disk),
        }
    }

    pub fn add_checkpoint(&mut self, entry: usize) {
        self.checkpoints.retain(|held| *held != entry);
        self.checkpoints.insert(0, entry);
        self.checkpoints.truncate(DISK_CHECKPOINTS);
    }
}

/// Returns how long a load takes, or `None` if the model must be read from the weight store.
pub fn local_load_ms(
    trace: &Trace,
    entry: usize,
    place: Option<CheckpointPlace>,
    adapters_loading: usize,
) -> Option<u64> {
    let Some(model) = trace.configuration.models.get(entry) else {
        let rounds = (adapters_loading as u64).div_ceil(ADAPTER_LOAD_CONCURRENCY as u64).max(1);
        return Some(ADAPTER_LOAD_MS * rounds);
    };
    match place? {
        CheckpointPlace::Memory => Some(model.load_disk_ms / 4),
        CheckpointPlace::Disk => Some(model.load_disk_ms),
    }
}

/// The weight store.
///
/// Up to [`STORE_LOAD_CONCURRENCY`] loads run at full speed; more loads share that throughput.
#[derive(Debug)]
pub struct Store {
    /// The speed of the store as a fraction of its normal speed.
    pub speed_factor: f64,
    loads: Vec<StoreLoad>,
    at_ms: u64,
}

#[derive(Debug, Clone, Copy)]
pub struct StoreLoad {
    pub target: usize,
    pub generation: u64,
    pub entry: usize,
    remaining_ms: f64,
}

impl Store {
    pub fn new() -> Store {
        Store { speed_factor: 1.0, loads: Vec::new(), at_ms: 0 }
    }

    pub fn add(&mut self, target: usize, generation: u64, entry: usize, load_ms: u64) {
        self.loads.push(StoreLoad { target, generation, entry, remaining_ms: load_ms as f64 });
    }

    /// Advances all loads to `now_ms` and returns those that are done.
    pub fn advance(&mut self, now_ms: u64) -> Vec<StoreLoad> {
        let done_ms = (now_ms - self.at_ms) as f64 * self.speed();
        self.at_ms = now_ms;
        self.loads.iter_mut().for_each(|load| load.remaining_ms -= done_ms);
        self.loads.extract_if(.., |load| load.remaining_ms <= 1e-6).collect()
    }

    /// Returns when the next load is done if no other load is added.
    pub fn next_end_ms(&self) -> Option<u64> {
        let least = self.loads.iter().map(|load| load.remaining_ms).min_by(f64::total_cmp)?;
        Some(self.at_ms + (least / self.speed()).ceil().max(1.0) as u64)
    }

    /// Returns the speed of each load as a fraction of the speed of a single load.
    fn speed(&self) -> f64 {
        let share = (STORE_LOAD_CONCURRENCY as f64 / self.loads.len().max(1) as f64).min(1.0);
        share * self.speed_factor
    }
}
