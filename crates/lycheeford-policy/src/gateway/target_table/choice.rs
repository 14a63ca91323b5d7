//! Choice of the target for a request, by latency under load, failures, network distance and cached
//! prompts.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cold::COLD_FACTOR;
use super::{Choice, Chosen, Selection, Target, TargetRequirements, TargetTable};
use crate::TimeMs;
use crate::gateway::permit::PermitRank;
use crate::gateway::target_belief::TargetUse;

/// Cost of a target in another failure domain, as a fraction of the latency objective.
const REMOTE_DOMAIN_PART: f64 = 0.08;
/// Cost of a target at which all requests fail, as a multiple of the latency objective.
const FAILING_FACTOR: f64 = 3.0;
/// Cost of a leaving target, as a multiple of the latency objective.
const LEAVING_FACTOR: f64 = 50.0;
/// Largest random addition to a target's cost, as a fraction of the service's usual latency. It
/// breaks ties, so that hosts with the same view do not all choose the same target.
const TIE_BREAK_PART: f64 = 0.15;

impl TargetTable {
    /// Chooses the target for a request.
    ///
    /// Uses exact counts for the requests of this host and the last reported counts for those of
    /// other hosts. Weighs latency under load, failures, network delay between failure domains and
    /// the prompt prefix that the target has read before.
    pub fn choose(&mut self, now: TimeMs, need: &TargetRequirements) -> Selection {
        self.choices = self.choices.wrapping_add(1);
        let usual_ms = self.usual_latency_ms(&need.service);
        let mut selection = Selection::NoTarget;
        let mut free = CheapestTargets::default();
        let mut limited = CheapestTargets::default();
        let mut paused_until: Option<TimeMs> = None;
        let mut limited_until: Option<TimeMs> = None;
        let affinity_target =
            need.affinity.and_then(|(hash, _)| self.affinity_target(now, need, hash));
        let is_brittle = self.is_brittle(now, &need.service);
        for (index, target) in self.targets.iter().enumerate() {
            let target_use = target.belief.use_at(now);
            if !target.serves(need)
                || target_use == TargetUse::Never
                || target.is_evacuated
                || need.excluded.contains(&target.entry.id)
            {
                continue;
            }
            if !target.holds(now, need) {
                if selection == Selection::NoTarget {
                    selection = Selection::NotResident;
                }
                continue;
            }
            if let TargetUse::Paused { until } = target_use {
                paused_until = Some(earliest(paused_until, until));
                continue;
            }
            let is_limited = target.belief.limit().is_some();
            let needed = PermitRank::Needed { priority: need.priority };
            if let Some(until) = target.belief.denied_until(now, needed) {
                limited_until = Some(earliest(limited_until, until));
                continue;
            }
            selection = Selection::Full;
            let has_room = !is_brittle || self.host_place.has_room(target, need);
            if !target.health.is_usable(now) || !target.has_capacity(now, need) || !has_room {
                continue;
            }
            let mut cost_ms = self.cost_ms(now, need, target, usual_ms);
            if affinity_target == Some(index) {
                cost_ms -= need.affinity.map_or(0.0, |(_, gain_ms)| gain_ms as f64);
            }
            if is_limited {
                limited.consider(cost_ms, index);
            } else {
                free.consider(cost_ms, index);
            }
        }
        if selection != Selection::Full {
            // If only paused or limited targets hold a model, the request waits like one whose
            // model must be loaded elsewhere.
            return match (paused_until, limited_until) {
                (Some(until), _) => Selection::Paused { until },
                (None, Some(_)) if need.model.is_some() => Selection::NotResident,
                (None, Some(until)) => Selection::Limited { until },
                (None, None) => selection,
            };
        }
        let (best, permit) = match (free.first, limited.first) {
            (Some((free_ms, _)), Some((cost_ms, index)))
                if cost_ms < free_ms && self.can_request_spare_permit(now, index) =>
            {
                ((cost_ms, index), Some(PermitRank::Spare))
            }
            (Some(best), _) => (best, None),
            (None, Some(best)) => (best, Some(PermitRank::Needed { priority: need.priority })),
            (None, None) => return selection,
        };
        let usable = free.usable + limited.usable;
        let runner_up = if permit.is_some() { free.first.or(limited.second) } else { free.second };
        let runner_up = runner_up
            .map(|(cost_ms, index)| (self.targets[index].entry.id.clone(), cost_ms as i64));
        let (cost_ms, index) = best;
        let target = &self.targets[index];
        Selection::Chosen(Chosen {
            id: target.entry.id.clone(),
            life: target.entry.life,
            version: target.entry.version.clone(),
            address: target.entry.address,
            running: target.running(),
            permit,
            choice: Choice { usable, cost_ms: cost_ms as i64, runner_up },
        })
    }

    /// Returns whether a request that other targets can serve may ask for a permit of a limited
    /// target.
    fn can_request_spare_permit(&self, now: TimeMs, index: usize) -> bool {
        self.targets[index].belief.denied_until(now, PermitRank::Spare).is_none()
    }

    /// Returns why no target takes the request now, if every suitable target is paused or limited.
    pub fn limited_or_paused(
        &mut self,
        now: TimeMs,
        need: &TargetRequirements,
    ) -> Option<Selection> {
        let is_paused_or_limited =
            |target: &Target| target.belief.is_paused(now) || target.belief.limit().is_some();
        if !self.targets.iter().any(is_paused_or_limited) {
            return None;
        }
        let selection = self.choose(now, need);
        matches!(selection, Selection::Paused { .. } | Selection::Limited { .. })
            .then_some(selection)
    }

    fn cost_ms(
        &self,
        now: TimeMs,
        need: &TargetRequirements,
        target: &Target,
        usual_ms: f64,
    ) -> f64 {
        let objective_ms = need.objective_ms as f64;
        let mut cost_ms =
            target.health.latency_ms(now, usual_ms) * (1.0 + 2.0 * target.utilization());
        cost_ms += objective_ms * FAILING_FACTOR * target.health.failed_part(now);
        if target.entry.failure_domain != need.failure_domain {
            cost_ms += objective_ms * REMOTE_DOMAIN_PART;
        }
        if !target.is_ready() {
            cost_ms += objective_ms * LEAVING_FACTOR;
        }
        if target.cold.is_some_and(|cold| cold.is_cold(now)) {
            cost_ms += objective_ms * COLD_FACTOR;
        }
        let tie_break = xxh3_64_with_seed(&self.choices.to_le_bytes(), u64::from(target.key.0));
        cost_ms + usual_ms * TIE_BREAK_PART * (tie_break as f64 / u64::MAX as f64)
    }

    /// Returns the target that all hosts prefer for a prompt.
    fn affinity_target(&self, now: TimeMs, need: &TargetRequirements, hash: u64) -> Option<usize> {
        let holders = self.targets.iter().enumerate().filter(|(_, target)| {
            target.serves(need)
                && target.belief.use_at(now) == TargetUse::Free
                && !target.is_evacuated
                && target.belief.limit().is_none()
                && target.holds(now, need)
        });
        holders
            .max_by_key(|(_, target)| {
                xxh3_64_with_seed(&hash.to_le_bytes(), u64::from(target.key.0))
            })
            .map(|(index, _)| index)
    }
}

/// The two cheapest of the examined targets.
#[derive(Debug, Default)]
struct CheapestTargets {
    usable: u32,
    /// Cost and index in the table.
    first: Option<(f64, usize)>,
    second: Option<(f64, usize)>,
}

impl CheapestTargets {
    fn consider(&mut self, cost_ms: f64, index: usize) {
        self.usable += 1;
        if self.first.is_none_or(|(least_ms, _)| cost_ms < least_ms) {
            self.second = self.first;
            self.first = Some((cost_ms, index));
        } else if self.second.is_none_or(|(second_ms, _)| cost_ms < second_ms) {
            self.second = Some((cost_ms, index));
        }
    }
}

fn earliest(known: Option<TimeMs>, until: TimeMs) -> TimeMs {
    known.map_or(until, |known| known.min(until))
}
