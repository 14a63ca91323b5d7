use super::claim::Claim;
use super::short_key::ShortKey;
use super::slot_forecast::{SlotForecast, SlotSupply};
use super::target_table::{Chosen, Selection, TargetRequirements, TargetTable};
use crate::{Name, TimeMs};

/// A request that waits for a free slot at a target.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Id that its caller gave the request.
    pub request: Name,
    /// Requirements of the request on its target.
    pub need: TargetRequirements,
    /// What the request asks for, with its id in this queue. The unit of work is the expected time,
    /// in milliseconds, for which it holds its slot.
    pub claim: Claim,
}

/// The requests that wait at this host, in the order in which they are served.
///
/// A request whose caller disconnected is removed by its own task, so that no entry of the queue
/// lacks a caller.
#[derive(Debug, Default)]
pub struct WaitQueue {
    /// Sorted by `Claim::sort_key`.
    waiting: Vec<Waiting>,
    forecast: SlotForecast,
}

impl WaitQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        let sort_key = waiting.claim.sort_key();
        let index = self.waiting.partition_point(|other| other.claim.sort_key() < sort_key);
        self.waiting.insert(index, waiting);
    }

    /// Removes a request; returns false if a target was already assigned.
    pub fn remove(&mut self, id: u64) -> bool {
        let Some(index) = self.waiting.iter().position(|waiting| waiting.claim.id == id) else {
            return false;
        };
        let key = RequirementKey::of(&self.waiting.remove(index).need);
        if !self.waiting.iter().any(|waiting| key.is_of(&waiting.need)) {
            self.forecast.ended(&key);
        }
        true
    }

    /// Removes the requests that now have a target, and counts them as running there.
    ///
    /// A requirement that cannot be met holds back only requests with the same requirement, so that
    /// a model that is being loaded delays no other.
    pub fn dispatch(&mut self, now: TimeMs, targets: &mut TargetTable) -> Vec<(u64, Chosen)> {
        let mut dispatched = Vec::new();
        let mut unmet: Vec<(RequirementKey, Selection)> = Vec::new();
        let mut granted: Vec<(RequirementKey, Vec<f64>)> = Vec::new();
        self.waiting.retain(|waiting| {
            let is_general = waiting.need.excluded.is_empty();
            if is_general && unmet.iter().any(|(key, _)| key.is_of(&waiting.need)) {
                return true;
            }
            let chosen = match targets.choose(now, &waiting.need) {
                Selection::Chosen(chosen) => chosen,
                selection => {
                    // The result for a request that excludes targets does not apply to others.
                    if is_general {
                        unmet.push((RequirementKey::of(&waiting.need), selection));
                    }
                    return true;
                }
            };
            targets.started(&chosen, waiting.need.model.as_ref(), waiting.need.tokens);
            targets.waited_for(now, &chosen);
            dispatched.push((waiting.claim.id, chosen));
            match granted.iter_mut().find(|(key, _)| key.is_of(&waiting.need)) {
                Some((_, works)) => works.push(waiting.claim.work),
                None => {
                    granted.push((RequirementKey::of(&waiting.need), vec![waiting.claim.work]));
                }
            }
            false
        });
        self.observe(now, &granted, &unmet);
        dispatched
    }

    /// Records the slots that were granted, and the requirements for which none is left.
    fn observe(
        &mut self,
        now: TimeMs,
        granted: &[(RequirementKey, Vec<f64>)],
        unmet: &[(RequirementKey, Selection)],
    ) {
        for (key, works) in granted {
            let is_short = unmet
                .iter()
                .any(|(other, selection)| other == key && *selection == Selection::Full);
            self.forecast.observe(now, key, works, is_short);
        }
        for (key, selection) in unmet {
            if !granted.iter().any(|(other, _)| other == key) {
                self.forecast.observe(now, key, &[], *selection == Selection::Full);
            }
        }
    }

    /// Returns how many requests for `service` have a lower sort key.
    pub fn ahead(&self, service: &Name, sort_key: (u64, u64)) -> usize {
        let is_ahead = |waiting: &&Waiting| {
            waiting.need.service == *service && waiting.claim.sort_key() < sort_key
        };
        self.waiting.iter().filter(is_ahead).count()
    }

    /// Returns the forecast supply of slots for requests with these requirements, or `None` without
    /// recent observations.
    pub fn slot_supply(&self, now: TimeMs, need: &TargetRequirements) -> Option<SlotSupply> {
        self.forecast.supply(now, &RequirementKey::of(need))
    }

    /// Returns when a waiting request is granted a slot if nobody else comes, or `None` without a
    /// forecast.
    pub fn forecast_grant(&self, now: TimeMs, waiting: &Waiting) -> Option<SlotGrant> {
        let SlotSupply { supply, age_ms } = self.slot_supply(now, &waiting.need)?;
        let key = RequirementKey::of(&waiting.need);
        let sort_key = waiting.claim.sort_key();
        let ahead = self.waiting.iter().take_while(|other| other.claim.sort_key() < sort_key);
        let ahead = ahead.filter(|other| key.is_of(&other.need));
        let work_ahead = ahead.map(|other| other.claim.work).sum();
        let granted_at = supply.granted_at(now, work_ahead)?;
        Some(SlotGrant { granted_at, age_ms })
    }

    /// Returns the requests in the order in which they are served.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }
}

/// When a waiting request is expected to get a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotGrant {
    /// When the slot is granted.
    pub granted_at: TimeMs,
    /// Age of the last observation on which the forecast rests.
    pub age_ms: u64,
}

/// Requirement by which waiting requests are grouped.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequirementKey {
    service: Name,
    model: Option<Name>,
    adapter: Option<Name>,
    version: Option<ShortKey>,
}

impl RequirementKey {
    fn of(need: &TargetRequirements) -> RequirementKey {
        RequirementKey {
            service: need.service.clone(),
            model: need.model.clone(),
            adapter: need.adapter.clone(),
            version: need.version,
        }
    }

    fn is_of(&self, need: &TargetRequirements) -> bool {
        self.service == need.service
            && self.model == need.model
            && self.adapter == need.adapter
            && self.version == need.version
    }
}
