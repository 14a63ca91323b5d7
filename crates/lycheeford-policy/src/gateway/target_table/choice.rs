//! Which target takes a request, by latency under load, failures, the way and the prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Choice, Chosen, Need, Target, TargetTable, Tried};
use crate::TimeMs;
use crate::gateway::target_belief::TargetUse;

/// What a target in another failure domain costs, as a part of the objective.
const FAR_PART: f64 = 0.08;
/// What a target that fails all requests costs, as a multiple of the objective.
const FAILING_FACTOR: f64 = 3.0;
/// What a leaving target costs, as a multiple of the objective.
const LEAVING_FACTOR: f64 = 50.0;
/// The part of the latency by which equal targets are told apart at random, so
/// that hosts with the same view don't all choose the same one.
const SPREAD_PART: f64 = 0.15;

impl TargetTable {
    /// Chooses the target for a request.
    ///
    /// Counts what this host runs itself exactly, and what the others run as
    /// they last said. Weighs latency under load, failures, the way between
    /// failure domains and the prompt that the target has read before.
    pub fn choose(&mut self, now: TimeMs, need: &Need) -> Tried {
        self.choices = self.choices.wrapping_add(1);
        let usual_ms = self.usual_latency_ms(&need.service);
        let mut tried = Tried::NoTarget;
        let mut best: Option<(f64, usize)> = None;
        let mut runner_up: Option<(f64, usize)> = None;
        let mut usable = 0;
        let mut paused_until: Option<TimeMs> = None;
        let favourite = need.affinity.and_then(|(hash, _)| self.favourite(now, need, hash));
        for (index, target) in self.targets.iter().enumerate() {
            let target_use = target.belief.use_at(now);
            if target.entry.service != need.service
                || target_use == TargetUse::Never
                || need.excluded.contains(&target.entry.id)
            {
                continue;
            }
            if !target.holds(now, need) {
                if tried == Tried::NoTarget {
                    tried = Tried::NotResident;
                }
                continue;
            }
            if let TargetUse::Paused { until } = target_use {
                paused_until = Some(paused_until.map_or(until, |first| first.min(until)));
                continue;
            }
            tried = Tried::Full;
            if !target.health.is_usable(now) || !target.has_place(now, need) {
                continue;
            }
            let mut cost_ms = self.cost_ms(now, need, target, usual_ms);
            if favourite == Some(index) {
                cost_ms -= need.affinity.map_or(0.0, |(_, gain_ms)| gain_ms as f64);
            }
            usable += 1;
            if best.is_none_or(|(least_ms, _)| cost_ms < least_ms) {
                runner_up = best;
                best = Some((cost_ms, index));
            } else if runner_up.is_none_or(|(second_ms, _)| cost_ms < second_ms) {
                runner_up = Some((cost_ms, index));
            }
        }
        if let (Some(until), true) = (paused_until, tried != Tried::Full) {
            return Tried::Paused { until };
        }
        best.map_or(tried, |(cost_ms, index)| {
            let target = &self.targets[index];
            let named = |(cost_ms, index): (f64, usize)| {
                (self.targets[index].entry.id.clone(), cost_ms as i64)
            };
            Tried::Chosen(Chosen {
                id: target.entry.id.clone(),
                life: target.entry.life,
                address: target.entry.address,
                running: target.running(),
                choice: Choice { usable, cost_ms: cost_ms as i64, runner_up: runner_up.map(named) },
            })
        })
    }

    /// Returns when the first pause ends, if all that could take a request asked for one.
    pub fn paused_until(&mut self, now: TimeMs, need: &Need) -> Option<TimeMs> {
        if !self.targets.iter().any(|target| target.belief.is_paused(now)) {
            return None;
        }
        match self.choose(now, need) {
            Tried::Paused { until } => Some(until),
            _ => None,
        }
    }

    fn cost_ms(&self, now: TimeMs, need: &Need, target: &Target, usual_ms: f64) -> f64 {
        let objective_ms = need.objective_ms as f64;
        let mut cost_ms = target.health.latency_ms(now, usual_ms) * (1.0 + 2.0 * target.crowd());
        cost_ms += objective_ms * FAILING_FACTOR * target.health.failed_part(now);
        if target.entry.failure_domain != need.failure_domain {
            cost_ms += objective_ms * FAR_PART;
        }
        if !target.is_ready() {
            cost_ms += objective_ms * LEAVING_FACTOR;
        }
        let spread = xxh3_64_with_seed(&self.choices.to_le_bytes(), u64::from(target.key.0));
        cost_ms + usual_ms * SPREAD_PART * (spread as f64 / u64::MAX as f64)
    }

    /// Returns the target that all hosts prefer for a prompt.
    fn favourite(&self, now: TimeMs, need: &Need, hash: u64) -> Option<usize> {
        let holders = self.targets.iter().enumerate().filter(|(_, target)| {
            target.entry.service == need.service
                && target.belief.use_at(now) == TargetUse::Free
                && target.holds(now, need)
        });
        holders
            .max_by_key(|(_, target)| {
                xxh3_64_with_seed(&hash.to_le_bytes(), u64::from(target.key.0))
            })
            .map(|(index, _)| index)
    }
}
