//! Targets and the weight store as they truly are.

use lycheeford_policy::{CheckpointPlace, Name, ReplicaState, ReplicaView, TargetView};

use crate::workload::{TARGET_MEMORY_BYTES, Trace};

/// Loads that the weight store serves at full speed.
pub const STORE_AT_ONCE: usize = 4;
const ADAPTERS_AT_ONCE: usize = 30;
const ADAPTER_LOAD_MS: u64 = 10;
const DISK_CHECKPOINTS: usize = 8;
const MEMORY_CHECKPOINTS: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    Live,
    Leaving,
    Gone,
}

#[derive(Debug)]
pub struct Target {
    pub name: Name,
    pub domain: Name,
    pub life: Life,
    pub generation: u64,
    pub replicas: Vec<Replica>,
    /// The models whose checkpoints it holds, the latest first.
    pub checkpoints: Vec<usize>,
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
            life: Life::Live,
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
        let is_it = |r: &&Replica| r.entry == entry && r.state == ReplicaState::Ready;
        self.replicas.iter().any(|replica| is_it(&replica))
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
        let place = |entry: usize| Some((trace.names[entry].clone(), self.place(entry)?));
        TargetView {
            name: self.name.clone(),
            failure_domain: self.domain.clone(),
            accepts_work: self.life == Life::Live,
            memory_total_bytes: TARGET_MEMORY_BYTES,
            reserved_bytes: self.used_bytes(trace),
            blocked: self.blocked,
            replicas: replicas.collect(),
            checkpoints: self.checkpoints.iter().filter_map(|entry| place(*entry)).collect(),
            running: self.running(),
        }
    }

    pub fn place(&self, entry: usize) -> Option<CheckpointPlace> {
        match self.checkpoints.iter().position(|held| *held == entry)? {
            0..MEMORY_CHECKPOINTS => Some(CheckpointPlace::Memory),
            _ => Some(CheckpointPlace::Disk),
        }
    }

    pub fn hold_checkpoint(&mut self, entry: usize) {
        self.checkpoints.retain(|held| *held != entry);
        self.checkpoints.insert(0, entry);
        self.checkpoints.truncate(DISK_CHECKPOINTS);
    }
}

/// Returns how long a load takes, or `None` for one from the store.
pub fn local_load_ms(
    trace: &Trace,
    entry: usize,
    place: Option<CheckpointPlace>,
    adapters_loading: usize,
) -> Option<u64> {
    let Some(model) = trace.configuration.models.get(entry) else {
        let crowd = (adapters_loading as u64).div_ceil(ADAPTERS_AT_ONCE as u64).max(1);
        return Some(ADAPTER_LOAD_MS * crowd);
    };
    match place? {
        CheckpointPlace::Memory => Some(model.load_disk_ms / 4),
        CheckpointPlace::Disk => Some(model.load_disk_ms),
    }
}

/// The weight store: loads share what four at once would get.
#[derive(Debug)]
pub struct Store {
    pub factor: f64,
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
        Store { factor: 1.0, loads: Vec::new(), at_ms: 0 }
    }

    pub fn add(&mut self, target: usize, generation: u64, entry: usize, load_ms: u64) {
        self.loads.push(StoreLoad { target, generation, entry, remaining_ms: load_ms as f64 });
    }

    /// Moves the loads on to now and returns those that are done.
    pub fn advance(&mut self, now_ms: u64) -> Vec<StoreLoad> {
        let done_ms = (now_ms - self.at_ms) as f64 * self.speed();
        self.at_ms = now_ms;
        self.loads.iter_mut().for_each(|load| load.remaining_ms -= done_ms);
        self.loads.extract_if(.., |load| load.remaining_ms <= 1e-6).collect()
    }

    pub fn next_end_ms(&self) -> Option<u64> {
        let least = self.loads.iter().map(|load| load.remaining_ms).min_by(f64::total_cmp)?;
        Some(self.at_ms + (least / self.speed()).ceil().max(1.0) as u64)
    }

    fn speed(&self) -> f64 {
        let crowd = (STORE_AT_ONCE as f64 / self.loads.len().max(1) as f64).min(1.0);
        crowd * self.factor
    }
}
