use super::gap_history::{GAP_MIN_MS, GapHistory, KeepWarm};
use super::view::CheckpointPlace;
use crate::TimeMs;

/// A load from the host's memory takes the time of a load from its disk divided by this.
const MEMORY_LOAD_DIVISOR: u64 = 4;
/// How long an adapter load takes while the number of concurrent loads is within its limit.
const ADAPTER_LOAD_MS: u64 = 10;

/// The state of one model or adapter.
#[derive(Debug, Default)]
pub(super) struct Entry {
    /// The configured properties; `None` if the entry is not configured.
    pub spec: Option<EntrySpec>,
    /// The replicas, sorted by target.
    pub replicas: Vec<Replica>,
    /// The targets with a local checkpoint, sorted by target.
    pub checkpoints: Vec<(u32, CheckpointPlace)>,
    /// Waiting requests by host and customer.
    pub demand: Vec<DemandPart>,
    /// Running requests over all hosts; for a model, those of its adapters are included.
    pub running: u32,
    pub last_used: Option<TimeMs>,
    /// When requests last had to wait although a replica was ready.
    pub last_overload: Option<TimeMs>,
    /// Until when the load is kept for refused callers, which were given a time to retry.
    pub retry_expected_until: Option<TimeMs>,
    /// The target on which replicas are being evicted for this entry.
    pub evicting_on: Option<u32>,
    pub timer_set: bool,
    history: Option<Box<GapHistory>>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct EntrySpec {
    pub memory_bytes: u64,
    pub replicas_max: u32,
    pub kind: EntryKind,
}

#[derive(Debug, Clone, Copy)]
pub(super) enum EntryKind {
    Model { load_remote_ms: u64, load_disk_ms: u64 },
    Adapter { base: u32 },
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Replica {
    pub target: u32,
    pub phase: Phase,
    pub since: TimeMs,
    pub source: LoadSource,
    pub expected_ms: u64,
}

/// The lifecycle state of a replica, including decisions that no view has confirmed yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    LoadDecided,
    Loading,
    Ready,
    UnloadDecided,
    Unloading,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoadSource {
    Memory,
    Disk,
    Adapter,
    Remote,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct DemandPart {
    pub host: u32,
    pub customer: u32,
    pub class: u8,
    pub waiting: u32,
    pub deadline: TimeMs,
    pub since: TimeMs,
    pub reported_at: TimeMs,
}

impl Entry {
    pub fn base(&self) -> Option<u32> {
        match self.spec?.kind {
            EntryKind::Adapter { base } => Some(base),
            EntryKind::Model { .. } => None,
        }
    }

    pub fn replica(&self, target: u32) -> Option<&Replica> {
        let index = self.replicas.binary_search_by_key(&target, |replica| replica.target).ok()?;
        Some(&self.replicas[index])
    }

    pub fn replica_mut(&mut self, target: u32) -> Option<&mut Replica> {
        let index = self.replicas.binary_search_by_key(&target, |replica| replica.target).ok()?;
        Some(&mut self.replicas[index])
    }

    pub fn set_replica(&mut self, replica: Replica) {
        match self.replicas.binary_search_by_key(&replica.target, |known| known.target) {
            Ok(index) => self.replicas[index] = replica,
            Err(index) => self.replicas.insert(index, replica),
        }
    }

    pub fn remove_replica(&mut self, target: u32) {
        self.replicas.retain(|replica| replica.target != target);
    }

    /// Returns where a load on `target` reads the weights from.
    pub fn source(&self, target: u32) -> LoadSource {
        if self.base().is_some() {
            return LoadSource::Adapter;
        }
        match self.checkpoints.binary_search_by_key(&target, |(target, _)| *target) {
            Ok(index) if self.checkpoints[index].1 == CheckpointPlace::Memory => LoadSource::Memory,
            Ok(_) => LoadSource::Disk,
            Err(_) => LoadSource::Remote,
        }
    }

    /// Returns how long a load from `source` takes at full speed.
    pub fn load_ms(&self, source: LoadSource) -> u64 {
        let Some(EntrySpec { kind: EntryKind::Model { load_remote_ms, load_disk_ms }, .. }) =
            self.spec
        else {
            return ADAPTER_LOAD_MS;
        };
        match source {
            LoadSource::Memory => load_disk_ms / MEMORY_LOAD_DIVISOR,
            LoadSource::Disk => load_disk_ms,
            LoadSource::Adapter | LoadSource::Remote => load_remote_ms,
        }
    }

    /// Returns how long the next load takes at full speed from the fastest local checkpoint, or
    /// from the remote store without any.
    pub fn reload_ms(&self) -> u64 {
        let best = self.checkpoints.iter().map(|(_, place)| *place).min();
        match (self.base(), best) {
            (Some(_), _) => self.load_ms(LoadSource::Adapter),
            (None, Some(CheckpointPlace::Memory)) => self.load_ms(LoadSource::Memory),
            (None, Some(CheckpointPlace::Disk)) => self.load_ms(LoadSource::Disk),
            (None, None) => self.load_ms(LoadSource::Remote),
        }
    }

    /// Records a use and, if the entry was idle for at least [`GAP_MIN_MS`] before, the length of
    /// that idle gap.
    pub fn touch(&mut self, now: TimeMs) {
        if let Some(last_used) = self.last_used
            && self.running == 0
        {
            let gap_ms = now.since_ms(last_used);
            if gap_ms >= GAP_MIN_MS {
                self.history.get_or_insert_default().record(gap_ms);
            }
        }
        self.last_used = Some(now);
    }

    pub fn idle_ms(&self, now: TimeMs) -> u64 {
        self.last_used.map_or(0, |last_used| now.since_ms(last_used))
    }

    /// Returns how long to keep an idle replica; see [`GapHistory::keep_warm`].
    pub fn keep_warm(&mut self, reload_cost: f64) -> KeepWarm {
        self.history.get_or_insert_default().keep_warm(reload_cost)
    }

    /// Returns the expected time to the next use.
    pub fn remaining_ms(&self, now: TimeMs) -> f64 {
        let idle_ms = self.idle_ms(now);
        match &self.history {
            Some(history) => history.remaining_ms(idle_ms),
            None => GapHistory::default().remaining_ms(idle_ms),
        }
    }

    /// Returns whether no request uses the entry, waits for it or is expected to be retried for it.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.demand.is_empty() && self.retry_expected_until.is_none()
    }

    /// Returns whether the entry can be removed: it is not configured, has no replica or checkpoint
    /// left and is idle.
    pub fn is_unused(&self) -> bool {
        self.spec.is_none()
            && self.replicas.is_empty()
            && self.checkpoints.is_empty()
            && self.is_idle()
    }
}
