use std::cmp::Reverse;

use super::Planner;
use super::entry::{Entry, LoadSource, Phase, Replica};
use super::target::Target;
use super::want::{UNLOAD_MS, remaining_ms};
use crate::TimeMs;

/// Targets that are weighed against each other for one load.
const CANDIDATES_MAX: usize = 32;
/// What it costs to unload a victim before a load, as time.
const EVICTION_MS: f64 = 100.0;
/// A victim that is likely to be used within this time costs its whole reload.
const EVICTION_HORIZON_MS: f64 = 600_000.0;
/// A replica that was used a moment ago is likely to be used again.
const EVICTION_IDLE_MIN_MS: u64 = 1_000;

/// Where a load can go.
#[derive(Debug)]
pub(super) enum Placement {
    /// The target has room.
    Room { target: u32, source: LoadSource },
    /// The target is busy with another order, and waiting for it takes the least time.
    Wait { ready_in_ms: u64 },
    /// The target has room once the victim is unloaded.
    Evict { target: u32, victim: u32 },
    /// No target has room or can make it now.
    Nowhere,
}

#[derive(Debug)]
struct Eviction {
    target: u32,
    first_victim: u32,
    cost_ms: f64,
}

impl Planner {
    /// Chooses where to load an entry.
    ///
    /// The place of the checkpoint goes first, since it decides how long the
    /// load takes. Among the others a failure domain without the model goes
    /// first, then the target with the most free memory: what is loaded there
    /// leaves its checkpoint where the next load is likely to find room.
    pub(super) fn place(&self, now: TimeMs, id: u32) -> Placement {
        let Some(entry) = self.entries.get(id) else { return Placement::Nowhere };
        let Some(spec) = entry.spec else { return Placement::Nowhere };
        if let Some(target) = entry.room_on
            && let Some(busy_ms) = self.busy_ms(now, target)
        {
            let load_ms = self.expected_ms(id, entry.source(target));
            return Placement::Wait { ready_in_ms: busy_ms + load_ms };
        }
        let room = match entry.base() {
            Some(base) => self.room_beside(entry, base, spec.memory_bytes),
            None => self.room_for_model(entry, spec.memory_bytes),
        };
        let room = room.map(|target| (target, entry.source(target)));
        if let Some((target, source)) = room
            && source != LoadSource::Remote
        {
            return Placement::Room { target, source };
        }
        let room_ms = room.map_or(u64::MAX, |(_, source)| self.expected_ms(id, source));
        let eviction = self
            .eviction_candidates(entry, room.is_some())
            .into_iter()
            .filter_map(|target| self.eviction(now, id, target, spec.memory_bytes))
            .filter(|eviction| eviction.cost_ms < room_ms as f64)
            .min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms));
        let best_ms = eviction.as_ref().map_or(room_ms, |eviction| eviction.cost_ms as u64);
        if let Some(ready_in_ms) = self.wait_ms(now, id, entry, spec.memory_bytes)
            && ready_in_ms < best_ms
        {
            return Placement::Wait { ready_in_ms };
        }
        match (eviction, room) {
            (Some(Eviction { target, first_victim: victim, .. }), _) => {
                Placement::Evict { target, victim }
            }
            (None, Some((target, source))) => Placement::Room { target, source },
            (None, None) => Placement::Nowhere,
        }
    }

    /// Returns the time to ready on the best busy target with a checkpoint or the base.
    fn wait_ms(&self, now: TimeMs, id: u32, entry: &Entry, memory_bytes: u64) -> Option<u64> {
        let bases = entry.base().and_then(|base| self.entries.get(base));
        let beside = bases.into_iter().flat_map(|base| base.replicas.iter().take(CANDIDATES_MAX));
        let beside = beside.filter(|replica| replica.phase == Phase::Ready);
        let beside = beside.map(|replica| replica.target);
        let local = entry.checkpoints.iter().take(CANDIDATES_MAX).map(|(target, _)| *target);
        beside
            .chain(local)
            .filter(|target| entry.replica(*target).is_none())
            .filter(|target| {
                self.targets.get(*target).is_some_and(|t| t.free_bytes() >= memory_bytes)
            })
            .filter_map(|target| {
                Some(self.busy_ms(now, target)? + self.expected_ms(id, entry.source(target)))
            })
            .min()
    }

    /// Returns how long a target is busy with its order, or `None` if it isn't.
    fn busy_ms(&self, now: TimeMs, id: u32) -> Option<u64> {
        let target = self.targets.get(id)?;
        if !target.accepts_work || target.takes_orders() {
            return None;
        }
        let replicas =
            target.entries.iter().filter_map(|entry| self.entries.get(*entry)?.replica(id));
        let left_ms = |replica: &Replica| match replica.phase {
            Phase::Ready => 0,
            Phase::LoadDecided | Phase::Loading => remaining_ms(now, replica),
            Phase::UnloadDecided | Phase::Unloading => UNLOAD_MS,
        };
        replicas.map(left_ms).max().filter(|left_ms| *left_ms > 0)
    }

    /// Returns the target with a ready base and room that runs the least.
    fn room_beside(&self, entry: &Entry, base: u32, memory_bytes: u64) -> Option<u32> {
        self.base_targets(entry, base)
            .filter_map(|id| Some((id, self.targets.get(id)?)))
            .filter(|(_, target)| target.free_bytes() >= memory_bytes)
            .min_by_key(|(id, target)| (target.running, *id))
            .map(|(id, _)| id)
    }

    /// Returns the targets that take orders and have the base but not the adapter.
    fn base_targets<'a>(
        &'a self,
        entry: &'a Entry,
        base: u32,
    ) -> impl Iterator<Item = u32> + use<'a> {
        let replicas = self.entries.get(base).map_or(&[][..], |base| &base.replicas);
        replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Ready)
            .take(CANDIDATES_MAX)
            .map(|replica| replica.target)
            .filter(|id| self.targets.get(*id).is_some_and(Target::takes_orders))
            .filter(|id| entry.replica(*id).is_none())
    }

    fn room_for_model(&self, entry: &Entry, memory_bytes: u64) -> Option<u32> {
        let local = entry
            .checkpoints
            .iter()
            .take(CANDIDATES_MAX)
            .filter_map(|(target, place)| Some((*target, *place, self.targets.get(*target)?)))
            .filter(|(_, _, target)| target.takes_orders() && target.free_bytes() >= memory_bytes)
            .filter(|(target, _, _)| entry.replica(*target).is_none())
            .min_by_key(|(target, place, state)| (*place, state.running, *target))
            .map(|(target, _, _)| target);
        local.or_else(|| {
            self.free
                .range((memory_bytes, 0)..)
                .rev()
                .map(|(_, target)| *target)
                .filter(|target| entry.replica(*target).is_none())
                .take(CANDIDATES_MAX)
                .min_by_key(|target| self.remote_rank(entry, *target))
        })
    }

    fn remote_rank(&self, entry: &Entry, id: u32) -> (bool, Reverse<u64>, u32, u32) {
        let Some(target) = self.targets.get(id) else { return (true, Reverse(0), u32::MAX, id) };
        let domain_taken = entry
            .replicas
            .iter()
            .filter_map(|replica| self.targets.get(replica.target))
            .any(|other| other.failure_domain == target.failure_domain);
        (domain_taken, Reverse(target.free_bytes()), target.running, id)
    }

    /// Returns the targets on which unloading may be worth its time.
    ///
    /// If another target has room, only a local checkpoint can make up for it.
    fn eviction_candidates(&self, entry: &Entry, has_room: bool) -> Vec<u32> {
        if let Some(base) = entry.base() {
            return self.base_targets(entry, base).collect();
        }
        let local = entry.checkpoints.iter().take(CANDIDATES_MAX).map(|(id, _)| *id);
        let roomy_max = if has_room { 0 } else { CANDIDATES_MAX };
        let roomy = self.free.iter().rev().map(|(_, id)| *id).take(roomy_max);
        local.chain(roomy).filter(|id| entry.replica(*id).is_none()).collect()
    }

    fn eviction(&self, now: TimeMs, wanted: u32, id: u32, need: u64) -> Option<Eviction> {
        let (entry, target) = (self.entries.get(wanted)?, self.targets.get(id)?);
        if !target.takes_orders() || target.memory_total_bytes < need {
            return None;
        }
        let mut victims: Vec<(f64, u32, u64)> = target
            .entries
            .iter()
            .filter(|victim| Some(**victim) != entry.base())
            .filter_map(|victim| self.victim(now, *victim, id))
            .collect();
        victims.sort_by(|one, other| {
            (one.0 / one.2.max(1) as f64).total_cmp(&(other.0 / other.2.max(1) as f64))
        });
        let mut free_bytes = target.free_bytes();
        let mut cost_ms = self.expected_ms(wanted, entry.source(id)) as f64;
        let mut first_victim = None;
        for (value_ms, victim, memory_bytes) in victims {
            if free_bytes >= need {
                break;
            }
            first_victim.get_or_insert(victim);
            free_bytes += memory_bytes;
            cost_ms += value_ms;
        }
        if free_bytes < need {
            return None;
        }
        Some(Eviction { target: id, first_victim: self.unload_first(first_victim?, id), cost_ms })
    }

    /// Returns what the eviction of an idle replica is likely to cost, and what it frees.
    fn victim(&self, now: TimeMs, id: u32, target: u32) -> Option<(f64, u32, u64)> {
        let entry = self.entries.get(id)?;
        let ready = entry.replica(target).is_some_and(|replica| replica.phase == Phase::Ready);
        if !ready || !entry.is_idle() || entry.idle_ms(now) < EVICTION_IDLE_MIN_MS {
            return None;
        }
        let soon = (EVICTION_HORIZON_MS / entry.remaining_ms(now).max(1.0)).min(1.0);
        let memory_bytes = entry.spec.map_or(0, |spec| spec.memory_bytes);
        let orders = 1 + self.adapters_on(id, target).count();
        Some((entry.reload_ms() as f64 * soon + EVICTION_MS * orders as f64, id, memory_bytes))
    }

    /// Returns an adapter of `id` on the target, which must go first, or `id` itself.
    pub(super) fn unload_first(&self, id: u32, target: u32) -> u32 {
        self.adapters_on(id, target).next().unwrap_or(id)
    }

    fn adapters_on(&self, id: u32, target: u32) -> impl Iterator<Item = u32> + '_ {
        let entries = self.targets.get(target).map_or(&[][..], |target| &target.entries);
        let is_adapter =
            move |other: &u32| self.entries.get(*other).and_then(Entry::base) == Some(id);
        entries.iter().copied().filter(is_adapter)
    }

    /// Returns whether a replica is ready on a target that takes work.
    pub(super) fn is_usable(&self, id: u32) -> bool {
        let replicas = self.entries.get(id).map_or(&[][..], |entry| &entry.replicas);
        replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Ready)
            .filter_map(|replica| self.targets.get(replica.target))
            .any(|target| target.accepts_work)
    }
}
