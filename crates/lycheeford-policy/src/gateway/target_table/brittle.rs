//! Targets that fall over if they have to reject many requests for want of room.

use super::{Target, TargetRequirements, TargetTable};
use crate::gateway::target_table::CACHE_PART;
use crate::{Name, TimeMs};

/// How long a service counts as brittle after the last answer that said so.
const BRITTLE_MS: u64 = 5_000;
/// Fraction of the slots of a brittle target that all hosts together use.
const USED_PART: f64 = 0.75;
/// How long a brittle target that rejected a request as full receives no further requests.
pub(super) const BRITTLE_FULL_PAUSE_MS: u64 = 1_000;

/// The place of this host among the hosts that send requests to the same targets.
///
/// Hosts learn too late what the others run to keep brittle targets from being full: in a burst each
/// of them would fill all slots. So each host uses a fixed part of the slots, which all of them
/// compute from the store's list of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostPlace {
    /// Index of this host in the sorted list.
    pub index: usize,
    /// Number of hosts.
    pub count: usize,
}

impl Default for HostPlace {
    fn default() -> HostPlace {
        HostPlace { index: 0, count: 1 }
    }
}

impl TargetTable {
    /// Sets the place of this host among all hosts.
    pub fn set_host_place(&mut self, place: HostPlace) {
        self.host_place = place;
    }

    /// Records that a target's answer said that the targets of its service are brittle; returns
    /// whether this is new.
    pub fn record_brittle(&mut self, now: TimeMs, service: &Name) -> bool {
        let was_brittle = self.is_brittle(now, service);
        match self.brittle_until.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(index) => self.brittle_until[index].1 = now + BRITTLE_MS,
            Err(index) => self.brittle_until.insert(index, (service.clone(), now + BRITTLE_MS)),
        }
        !was_brittle
    }

    /// Returns whether the targets of a service are brittle.
    pub fn is_brittle(&self, now: TimeMs, service: &Name) -> bool {
        let found = self.brittle_until.binary_search_by(|(known, _)| known.cmp(service));
        found.is_ok_and(|index| now < self.brittle_until[index].1)
    }
}

impl HostPlace {
    /// Returns the number of a target's slots that this host may use, so that all hosts together
    /// use no more than the target has.
    fn slots_at(self, target: &Target) -> u32 {
        let usable = (f64::from(target.entry.slots) * USED_PART) as usize;
        let count = self.count.max(1);
        // Which hosts get the slots that are left over differs from target to target.
        let turn = (self.index + target.key.0 as usize) % count;
        (usable / count + usize::from(turn < usable % count)) as u32
    }

    /// Returns whether this host's part of a brittle target has room for a request.
    pub(super) fn has_room(self, target: &Target, need: &TargetRequirements) -> bool {
        let running: u32 = target.running_here.iter().map(|running| running.requests).sum();
        if running >= self.slots_at(target) {
            return false;
        }
        let Some(cache_tokens_max) = need.cache_tokens_max else { return true };
        let usable_tokens = cache_tokens_max as f64 * CACHE_PART / self.count.max(1) as f64;
        let tokens: u64 = target.running_here.iter().map(|running| running.tokens).sum();
        running == 0 || (tokens + need.tokens) as f64 <= usable_tokens
    }
}
