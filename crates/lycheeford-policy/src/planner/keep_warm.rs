use std::cmp::Reverse;

use super::entry::{Entry, LoadSource, Phase, Replica};
use super::gap_history::KeepWarm;
use super::placement::Placement;
use super::{PlanAction, Planner};
use crate::TimeMs;

/// How many milliseconds of idle time of a whole accelerator cost as much as one millisecond of
/// cold start.
const IDLE_MS_PER_COLD_START_MS: f64 = 140.0;
/// Delay before an entry is checked again after an attempt to unload it, which may have failed, or
/// to preload it.
const RECHECK_MS: u64 = 1_000;
/// Delay before an entry in use is checked again.
const RECHECK_BUSY_MS: u64 = 5_000;
/// The least time that an idle replica stays loaded, for the remaining requests of a burst.
const HOLD_MIN_MS: u64 = 2_000;
/// How long no request may have waited before a surplus replica is unloaded.
const SURPLUS_IDLE_MS: u64 = 60_000;

impl Planner {
    /// Unloads the replicas whose keep-warm time is over.
    pub(super) fn unload_idle(&mut self, now: TimeMs, actions: &mut Vec<PlanAction>) {
        while let Some(Reverse((due, id))) = self.timers.peek().copied() {
            if due > now {
                return;
            }
            self.timers.pop();
            if let Some(entry) = self.entries.get_mut(id) {
                entry.timer_set = false;
            }
            if let Some(next) = self.check_idle(now, id, actions) {
                self.set_timer(next, id);
            }
        }
    }

    pub(super) fn set_timer(&mut self, due: TimeMs, id: u32) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.timer_set {
            return;
        }
        entry.timer_set = true;
        self.timers.push(Reverse((due, id)));
    }

    /// Unloads an idle entry or preloads it if that is due, and returns when to check again.
    fn check_idle(
        &mut self,
        now: TimeMs,
        id: u32,
        actions: &mut Vec<PlanAction>,
    ) -> Option<TimeMs> {
        let entry = self.entries.get(id)?;
        if entry.replicas.is_empty() {
            return self.check_preload(now, id, actions);
        }
        if !entry.is_idle() {
            self.unload_surplus(now, id, actions);
            return Some(now + RECHECK_BUSY_MS);
        }
        let ready = ready_targets(entry);
        let due = self.idle_due(now, id).unwrap_or(now);
        if due <= now {
            for target in ready {
                self.unload(now, id, target, actions);
            }
            return Some(now + RECHECK_MS);
        }
        self.unload_surplus(now, id, actions);
        Some(due)
    }

    /// Returns when to unload an idle replica, or `None` if it is not worth keeping at all.
    fn idle_due(&mut self, now: TimeMs, id: u32) -> Option<TimeMs> {
        let entry = self.entries.get(id)?;
        let (last_used, idle_ms) = (entry.last_used?, entry.idle_ms(now));
        let keep_warm = self.keep_warm_of(id)?;
        Some(match keep_warm.preload_ms {
            Some((from_ms, until_ms)) if (from_ms..until_ms).contains(&idle_ms) => {
                last_used + until_ms
            }
            _ => last_used + keep_warm.hold_ms.max(HOLD_MIN_MS),
        })
    }

    /// Loads an entry ahead of its expected use if a target has free memory and no load from the
    /// store is in flight.
    fn check_preload(
        &mut self,
        now: TimeMs,
        id: u32,
        actions: &mut Vec<PlanAction>,
    ) -> Option<TimeMs> {
        let entry = self.entries.get(id)?;
        let (last_used, None) = (entry.last_used?, entry.base()) else { return None };
        let (idle_ms, is_idle) = (entry.idle_ms(now), entry.is_idle());
        let (from_ms, until_ms) = self.keep_warm_of(id)?.preload_ms?;
        if idle_ms < from_ms {
            return Some(last_used + from_ms);
        }
        if idle_ms >= until_ms || !is_idle {
            return None;
        }
        let has_loads = !self.in_flight(|source| source == LoadSource::Remote).is_empty();
        if !has_loads && let Placement::Free { target, source } = self.choose_placement(now, id) {
            if source == LoadSource::Remote {
                self.store.take_token();
            }
            let expected_ms = self.expected_ms(id, source);
            self.start(now, id, target, source, expected_ms, actions);
        }
        Some(now + RECHECK_MS)
    }

    fn keep_warm_of(&mut self, id: u32) -> Option<KeepWarm> {
        let idle_per_cold_start = self.idle_per_cold_start();
        let entry = self.entries.get_mut(id)?;
        let share = entry.spec?.memory_bytes.max(1) as f64 / self.target_bytes_max.max(1) as f64;
        Some(entry.keep_warm(entry.reload_ms() as f64 * idle_per_cold_start / share))
    }

    /// Returns how much idle time the site accepts per millisecond of cold start, by its weights.
    fn idle_per_cold_start(&self) -> f64 {
        let warm = self.weights.cold_start_tail.max(self.weights.wrongful_refusals);
        IDLE_MS_PER_COLD_START_MS * warm / self.weights.idle_hours.max(0.01)
    }

    fn unload_surplus(&mut self, now: TimeMs, id: u32, actions: &mut Vec<PlanAction>) {
        let Some(entry) = self.entries.get(id) else { return };
        let recently_overloaded =
            entry.last_overload.is_some_and(|at| now.since_ms(at) < SURPLUS_IDLE_MS);
        let ready = ready_targets(entry);
        let recent =
            entry.replicas.iter().any(|replica| now.since_ms(replica.since) < SURPLUS_IDLE_MS);
        if recently_overloaded || recent || ready.len() < 2 || entry.running as usize >= ready.len()
        {
            return;
        }
        let busiest = ready
            .into_iter()
            .max_by_key(|target| self.targets.get(*target).map_or(0, |target| target.running));
        if let Some(target) = busiest {
            self.unload(now, id, target, actions);
        }
    }

    /// Unloads a replica, or first an idle adapter that depends on it.
    pub(super) fn unload(
        &mut self,
        now: TimeMs,
        id: u32,
        target: u32,
        actions: &mut Vec<PlanAction>,
    ) {
        if !self.targets.get(target).is_some_and(super::target::Target::takes_orders) {
            return;
        }
        let first = self.first_to_unload(id, target);
        let Some(entry) = self.entries.get(first) else { return };
        let Some(replica) = entry.replica(target) else { return };
        if replica.phase != Phase::Ready || (first != id && !entry.is_idle()) {
            return;
        }
        let replica = Replica { phase: Phase::UnloadDecided, since: now, ..*replica };
        self.decide(first, replica);
        let names = (self.entries.name(first), self.targets.name(target));
        if let (Some(name), Some(target)) = names {
            actions.push(PlanAction::Unload { name: name.clone(), target: target.clone() });
        }
    }
}

fn ready_targets(entry: &Entry) -> Vec<u32> {
    let ready = entry.replicas.iter().filter(|replica| replica.phase == Phase::Ready);
    ready.map(|replica| replica.target).collect()
}
