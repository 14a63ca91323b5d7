use std::cmp::Reverse;

use super::Planner;
use super::demand::{UNLOAD_MS, remaining_ms};
use super::entry::{Entry, LoadSource, Phase, Replica};
use super::target::Target;
use crate::TimeMs;

/// The most targets that are compared for one load.
const CANDIDATES_MAX: usize = 32;
/// The time that the unload of one replica adds to a load.
const EVICTION_MS: f64 = 100.0;
/// A replica that is expected to be used within this time counts with its whole reload time when it
/// is evicted; one that is expected to be used later counts with less in proportion.
const EVICTION_HORIZON_MS: f64 = 600_000.0;
/// The least idle time before an eviction: a replica used a moment ago is likely to be used again.
const EVICTION_IDLE_MIN_MS: u64 = 1_000;

/// The result of the search for a target.
#[derive(Debug)]
pub(super) enum Placement {
    /// The target has enough free memory.
    Free { target: u32, source: LoadSource },
    /// The target is busy with another order, and waiting for that order is the fastest option.
    Wait { ready_in_ms: u64 },
    /// The target has enough free memory once the victim is unloaded.
    Evict { target: u32, victim: u32 },
    /// No target has enough free memory or can free it now.
    Unavailable,
}

#[derive(Debug)]
struct Eviction {
    target: u32,
    first_victim: u32,
    cost_ms: f64,
}

impl Planner {
    /// Chooses the target for a load.
    ///
    /// A local checkpoint comes first, since it determines how long the load takes. Among targets
    /// without one, a failure domain without a replica of the model comes first, then the target
    /// with the most free memory: the load leaves its checkpoint there, where the next load is
    /// likely to find free memory too.
    pub(super) fn choose_placement(&self, now: TimeMs, id: u32) -> Placement {
        let Some(entry) = self.entries.get(id) else { return Placement::Unavailable };
        let Some(spec) = entry.spec else { return Placement::Unavailable };
        if let Some(target) = entry.evicting_on
            && let Some(busy_ms) = self.busy_ms(now, target)
        {
            let load_ms = self.expected_ms(id, entry.source(target));
            return Placement::Wait { ready_in_ms: busy_ms + load_ms };
        }
        let free = match entry.base() {
            Some(base) => self.free_target_with_base(entry, base, spec.memory_bytes),
            None => self.free_target_for_model(entry, spec.memory_bytes),
        };
        let free = free.map(|target| (target, entry.source(target)));
        if let Some((target, source)) = free
            && source != LoadSource::Remote
        {
            return Placement::Free { target, source };
        }
        let free_ms = free.map_or(u64::MAX, |(_, source)| self.expected_ms(id, source));
        let eviction = self
            .eviction_candidates(entry, free.is_some())
            .into_iter()
            .filter_map(|target| self.eviction(now, id, target, spec.memory_bytes))
            .filter(|eviction| eviction.cost_ms < free_ms as f64)
            .min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms));
        let best_ms = eviction.as_ref().map_or(free_ms, |eviction| eviction.cost_ms as u64);
        if let Some(ready_in_ms) = self.wait_ms(now, id, entry, spec.memory_bytes)
            && ready_in_ms < best_ms
        {
            return Placement::Wait { ready_in_ms };
        }
        match (eviction, free) {
            (Some(Eviction { target, first_victim: victim, .. }), _) => {
                Placement::Evict { target, victim }
            }
            (None, Some((target, source))) => Placement::Free { target, source },
            (None, None) => Placement::Unavailable,
        }
    }

    /// Returns the shortest time to ready over the busy targets with enough free memory that have a
    /// checkpoint of the entry or a ready replica of its base model.
    fn wait_ms(&self, now: TimeMs, id: u32, entry: &Entry, memory_bytes: u64) -> Option<u64> {
        let bases = entry.base().and_then(|base| self.entries.get(base));
        let with_base =
            bases.into_iter().flat_map(|base| base.replicas.iter().take(CANDIDATES_MAX));
        let with_base = with_base.filter(|replica| replica.phase == Phase::Ready);
        let with_base = with_base.map(|replica| replica.target);
        let local = entry.checkpoints.iter().take(CANDIDATES_MAX).map(|(target, _)| *target);
        with_base
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

    /// Returns how long a target stays busy with its current order, or `None` if it has none.
    fn busy_ms(&self, now: TimeMs, id: u32) -> Option<u64> {
        let target = self.targets.get(id)?;
        if !target.accepts_work || target.takes_orders() {
            return None;
        }
        let replicas =
            target.entries.iter().filter_map(|entry| self.entries.get(*entry)?.replica(id));
        let remaining_order_ms = |replica: &Replica| match replica.phase {
            Phase::Ready => 0,
            Phase::LoadDecided | Phase::Loading => remaining_ms(now, replica),
            Phase::UnloadDecided | Phase::Unloading => UNLOAD_MS,
        };
        replicas.map(remaining_order_ms).max().filter(|remaining_order_ms| *remaining_order_ms > 0)
    }

    /// Returns the target with the fewest running requests that has the base model ready and enough
    /// free memory.
    fn free_target_with_base(&self, entry: &Entry, base: u32, memory_bytes: u64) -> Option<u32> {
        self.base_targets(entry, base)
            .filter_map(|id| Some((id, self.targets.get(id)?)))
            .filter(|(_, target)| target.free_bytes() >= memory_bytes)
            .min_by_key(|(id, target)| (target.running, *id))
            .map(|(id, _)| id)
    }

    /// Returns the targets that accept orders and have a ready replica of the base model but not
    /// the adapter.
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

    fn free_target_for_model(&self, entry: &Entry, memory_bytes: u64) -> Option<u32> {
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
            self.free_memory
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
        let domain_has_replica = entry
            .replicas
            .iter()
            .filter_map(|replica| self.targets.get(replica.target))
            .any(|other| other.failure_domain == target.failure_domain);
        (domain_has_replica, Reverse(target.free_bytes()), target.running, id)
    }

    /// Returns the targets on which an eviction may be worth its time.
    ///
    /// If another target has enough free memory, only a target with a local checkpoint can be
    /// faster despite the eviction.
    fn eviction_candidates(&self, entry: &Entry, has_free_target: bool) -> Vec<u32> {
        if let Some(base) = entry.base() {
            return self.base_targets(entry, base).collect();
        }
        let local = entry.checkpoints.iter().take(CANDIDATES_MAX).map(|(id, _)| *id);
        let most_free_max = if has_free_target { 0 } else { CANDIDATES_MAX };
        let most_free = self.free_memory.iter().rev().map(|(_, id)| *id).take(most_free_max);
        local.chain(most_free).filter(|id| entry.replica(*id).is_none()).collect()
    }

    fn eviction(&self, now: TimeMs, wanted: u32, id: u32, needed_bytes: u64) -> Option<Eviction> {
        let (entry, target) = (self.entries.get(wanted)?, self.targets.get(id)?);
        if !target.takes_orders() || target.memory_total_bytes < needed_bytes {
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
            if free_bytes >= needed_bytes {
                break;
            }
            first_victim.get_or_insert(victim);
            free_bytes += memory_bytes;
            cost_ms += value_ms;
        }
        if free_bytes < needed_bytes {
            return None;
        }
        Some(Eviction {
            target: id,
            first_victim: self.first_to_unload(first_victim?, id),
            cost_ms,
        })
    }

    /// Returns the expected cost of evicting an idle replica as time, its id and the bytes that it
    /// frees.
    fn victim(&self, now: TimeMs, id: u32, target: u32) -> Option<(f64, u32, u64)> {
        let entry = self.entries.get(id)?;
        let ready = entry.replica(target).is_some_and(|replica| replica.phase == Phase::Ready);
        if !ready || !entry.is_idle() || entry.idle_ms(now) < EVICTION_IDLE_MIN_MS {
            return None;
        }
        let use_probability = (EVICTION_HORIZON_MS / entry.remaining_ms(now).max(1.0)).min(1.0);
        let memory_bytes = entry.spec.map_or(0, |spec| spec.memory_bytes);
        let orders = 1 + self.adapters_on(id, target).count();
        Some((
            entry.reload_ms() as f64 * use_probability + EVICTION_MS * orders as f64,
            id,
            memory_bytes,
        ))
    }

    /// Returns an adapter of `id` on the target, which has to be unloaded before `id`, or else `id`
    /// itself.
    pub(super) fn first_to_unload(&self, id: u32, target: u32) -> u32 {
        self.adapters_on(id, target).next().unwrap_or(id)
    }

    fn adapters_on(&self, id: u32, target: u32) -> impl Iterator<Item = u32> + '_ {
        let entries = self.targets.get(target).map_or(&[][..], |target| &target.entries);
        let is_adapter =
            move |other: &u32| self.entries.get(*other).and_then(Entry::base) == Some(id);
        entries.iter().copied().filter(is_adapter)
    }

    /// Returns whether a replica is ready on a target that accepts work.
    pub(super) fn is_usable(&self, id: u32) -> bool {
        let replicas = self.entries.get(id).map_or(&[][..], |entry| &entry.replicas);
        replicas
            .iter()
            .filter(|replica| replica.phase == Phase::Ready)
            .filter_map(|replica| self.targets.get(replica.target))
            .any(|target| target.accepts_work)
    }
}
