//! Targets that have just started, and crash if they get many requests before they are warm.

use super::{HostPlace, TargetTable};
use crate::{Name, TimeMs};

/// Fraction of the rate that a cold target takes which all hosts together use. The rest covers hosts
/// that learn at different times that the target is cold.
const USED_PART: f64 = 0.8;
/// How long a host's turn lasts. Hosts that let turns pass must not catch up together.
const TURN_MS: u64 = 250;
/// Cost of a cold target, which is slower, as a multiple of the latency objective.
pub(super) const COLD_FACTOR: f64 = 0.5;

/// Turns in which this host may send a request to a cold target.
///
/// Messages between hosts would come too late, since a target is cold for a few seconds. So the
/// hosts take turns in an order that all of them compute from the store's list of hosts, and each
/// sends one request per turn at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ColdTurns {
    /// When the target is warm.
    until: TimeMs,
    /// Start of the current or next turn.
    turn_at: TimeMs,
    /// Time between the starts of two turns of this host.
    interval_ms: u64,
}

impl ColdTurns {
    pub(super) fn new(
        now: TimeMs,
        cold_ms: u64,
        per_s: f64,
        place: HostPlace,
        target_key: u32,
    ) -> ColdTurns {
        let count = place.count.max(1);
        let interval_ms = (count as f64 * 1_000.0 / (per_s * USED_PART)).ceil() as u64;
        // The order of the hosts differs from target to target.
        let turn = (place.index + target_key as usize) % count;
        let turn_at = now + interval_ms * turn as u64 / count as u64;
        ColdTurns { until: now + cold_ms, turn_at, interval_ms: interval_ms.max(1) }
    }

    /// Updates the time for which the target is still cold, and keeps the turns.
    pub(super) fn extend(&mut self, now: TimeMs, cold_ms: u64) {
        self.until = now + cold_ms;
    }

    /// Returns whether the target is cold.
    pub(super) fn is_cold(&self, now: TimeMs) -> bool {
        now < self.until
    }

    /// Returns whether a request may be sent now.
    pub(super) fn allows(&self, now: TimeMs) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let Some(since_ms) = now.as_ms().checked_sub(self.turn_at.as_ms()) else { return false };
        since_ms % self.interval_ms < TURN_MS
    }

    /// Records that a request was sent, which ends the turn.
    pub(super) fn sent(&mut self, now: TimeMs) {
        let turns = now.since_ms(self.turn_at) / self.interval_ms + 1;
        self.turn_at = self.turn_at + turns * self.interval_ms;
    }
}

impl TargetTable {
    /// Sets how many requests per second a cold target of each service takes from all hosts
    /// together, for the services that state it.
    pub fn set_cold_rates(&mut self, now: TimeMs, mut rates: Vec<(Name, f64)>) {
        rates.retain(|(_, per_s)| per_s.is_finite() && *per_s > 0.0);
        rates.sort_by(|(left, _), (right, _)| left.cmp(right));
        if self.cold_rates == rates {
            return;
        }
        self.cold_rates = rates;
        for index in 0..self.targets.len() {
            self.record_cold(now, index);
        }
    }

    /// Returns how many cold targets are listed.
    pub fn cold_targets(&self, now: TimeMs) -> usize {
        self.targets
            .iter()
            .filter(|target| target.cold.is_some_and(|cold| cold.is_cold(now)))
            .count()
    }

    /// Records from a target's entry for how long it is still cold.
    pub(super) fn record_cold(&mut self, now: TimeMs, index: usize) {
        let target = &self.targets[index];
        let cold_ms = target.entry.cold_remaining_ms;
        let rate = self.cold_rates.binary_search_by(|(name, _)| name.cmp(&target.entry.service));
        let cold = match (rate, target.cold) {
            _ if cold_ms == 0 => None,
            (Err(_), _) => None,
            (Ok(_), Some(mut cold)) if cold.is_cold(now) => {
                cold.extend(now, cold_ms);
                Some(cold)
            }
            (Ok(rate), _) => {
                let per_s = self.cold_rates[rate].1;
                Some(ColdTurns::new(now, cold_ms, per_s, self.host_place, target.key.0))
            }
        };
        self.targets[index].cold = cold;
    }
}
