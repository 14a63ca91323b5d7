use super::claim::{CHEAP_PART, Claim, Overload, forecast_grants, select};
use super::short_key::ShortKey;
use super::slot_forecast::{SlotForecast, SlotSupply};
use super::target_table::{Chosen, Selection, TargetRequirements, TargetTable};
use crate::{Name, TimeMs};

/// Most claims among which those to turn away are selected. The time of a selection grows with its
/// square, and the smallest hosts have a tenth of a core.
const SELECTED_CLAIMS_MAX: usize = 128;
/// Most claims among these that are too late.
const SELECTED_LATE_MAX: usize = 32;
/// Part of its time within which a newcomer must be expected to get its slot, so that a forecast
/// that is somewhat too good doesn't turn it away after it has waited.
const NEWCOMER_TIME_PART: f64 = 0.8;
/// Part of its time that the forecast of a waiting request must exceed before it is turned away
/// without a newcomer. The rate over a few slots is off by as much between two of them.
const CHECK_TIME_PART: f64 = 1.25;
/// Shortest interval between two checks of the requests that wait for the same requirement, if none
/// comes.
const CHECK_INTERVAL_MS: u64 = 100;

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
    pub fn push(&mut self, now: TimeMs, waiting: Waiting) {
        let (claim, key) = (&waiting.claim, RequirementKey::of(&waiting.need));
        self.forecast.asked(now, &key, claim.work);
        let sort_key = claim.sort_key();
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
            targets.started(now, &chosen, waiting.need.model.as_ref(), waiting.need.tokens);
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

    /// Returns the waiting requests to turn away since a newcomer can't get a slot at once, or `None`
    /// without a forecast.
    ///
    /// The newcomer is in the queue already, and may be one of those to turn away.
    pub fn shed_for(&mut self, now: TimeMs, newcomer: &Waiting) -> Option<Shedding> {
        let id = newcomer.claim.id;
        self.shed(now, &newcomer.need, Some(id))
    }

    /// Returns the waiting requests with the same requirement that can't be served in time any more,
    /// if they haven't been checked for a while.
    pub fn shed_late(&mut self, now: TimeMs, need: &TargetRequirements) -> Option<Shedding> {
        if !self.forecast.is_check_due(now, &RequirementKey::of(need), CHECK_INTERVAL_MS) {
            return None;
        }
        self.shed(now, need, None)
    }

    fn shed(
        &mut self,
        now: TimeMs,
        need: &TargetRequirements,
        newcomer: Option<u64>,
    ) -> Option<Shedding> {
        let key = RequirementKey::of(need);
        let supply = self.forecast.supply(now, &key)?;
        self.forecast.checked(now, &key);
        let of_group = self.waiting.iter().filter(|waiting| key.is_of(&waiting.need));
        let mut claims: Vec<Claim> = of_group.map(|waiting| waiting.claim.clone()).collect();
        let excess_part = self.forecast.excess_part(now, &key);
        if let Some(claim) = claims.iter().find(|claim| Some(claim.id) == newcomer)
            && is_cheap(&supply, now, &claims, claim, excess_part)
            && !self.forecast.take_reserve(now, &key, claim.work)
        {
            return Some(Shedding { supply, rejected: vec![claim.id] });
        }
        if excess_part > 0.0 {
            // While more is asked for than slots become free, each late answer makes another one
            // late. A claim that is late already has no objective left to miss.
            let timely = claims.iter_mut().filter(|claim| claim.due_at > now);
            timely.for_each(|claim| claim.latest_at = claim.latest_at.min(claim.due_at));
        }
        if newcomer.is_none() {
            for claim in &mut claims {
                let left_ms = claim.latest_at.since_ms(now) as f64 * CHECK_TIME_PART;
                claim.latest_at = now + left_ms as u64;
            }
        }
        if let Some(claim) = claims.iter_mut().find(|claim| Some(claim.id) == newcomer) {
            let left_ms = claim.latest_at.since_ms(now) as f64 * NEWCOMER_TIME_PART;
            claim.latest_at = now + left_ms as u64;
        }
        let granted = forecast_grants(now, &supply.supply, &claims);
        let is_late = |(claim, granted_at): (&Claim, &Option<TimeMs>)| {
            granted_at.is_none_or(|granted_at| granted_at > claim.latest_at)
        };
        let overload = if excess_part > 0.0 { Overload::Lasting } else { Overload::Passing };
        let rejected = if claims.iter().zip(&granted).any(is_late) {
            select(
                now,
                &supply.supply,
                &bounded(now, &supply, claims, &granted, newcomer),
                overload,
            )
        } else {
            Vec::new()
        };
        Some(Shedding { supply, rejected })
    }

    /// Returns the request with this id in the queue, if it still waits.
    pub fn find(&self, id: u64) -> Option<&Waiting> {
        self.waiting.iter().find(|waiting| waiting.claim.id == id)
    }

    /// Returns the last request with the same requirement that is served before this one.
    pub fn last_ahead(&self, waiting: &Waiting) -> Option<&Waiting> {
        let (key, sort_key) = (RequirementKey::of(&waiting.need), waiting.claim.sort_key());
        let end = self.waiting.partition_point(|other| other.claim.sort_key() < sort_key);
        self.waiting[..end].iter().rev().find(|other| key.is_of(&other.need))
    }

    /// Returns the requests in the order in which they are served.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }
}

/// Returns the newcomer, the first claims that are too late and those that cost callers least per
/// unit, in order, at most as many as a selection may have.
///
/// The supply that the others use is subtracted from the time of each claim after them.
fn bounded(
    now: TimeMs,
    supply: &SlotSupply,
    claims: Vec<Claim>,
    granted: &[Option<TimeMs>],
    newcomer: Option<u64>,
) -> Vec<Claim> {
    if claims.len() <= SELECTED_CLAIMS_MAX {
        return claims;
    }
    let mean_work = claims.iter().map(|claim| claim.work).sum::<f64>() / claims.len() as f64;
    let mut late_left = SELECTED_LATE_MAX;
    let mut by_density: Vec<(f64, usize)> = Vec::with_capacity(claims.len());
    for (index, (claim, granted_at)) in claims.iter().zip(granted).enumerate() {
        let granted_at = granted_at.unwrap_or(claim.latest_at);
        let is_late = granted_at > claim.latest_at && late_left > 0;
        let density = if is_late || Some(claim.id) == newcomer {
            late_left -= usize::from(is_late);
            f64::NEG_INFINITY
        } else {
            claim.cost(now, granted_at, mean_work) / claim.work.max(f64::MIN_POSITIVE)
        };
        by_density.push((density, index));
    }
    by_density.select_nth_unstable_by(SELECTED_CLAIMS_MAX, |left, right| {
        left.0.total_cmp(&right.0).then(right.1.cmp(&left.1))
    });
    let mut is_selected = vec![false; claims.len()];
    by_density[..SELECTED_CLAIMS_MAX].iter().for_each(|(_, index)| is_selected[*index] = true);
    let mut work_before = 0.0;
    let mut selected = Vec::with_capacity(SELECTED_CLAIMS_MAX);
    for (claim, is_selected) in claims.into_iter().zip(is_selected) {
        if !is_selected {
            work_before += claim.work;
            continue;
        }
        let shift_ms = (work_before / supply.supply.per_ms) as u64;
        let (due_at, latest_at) = (claim.due_at - shift_ms, claim.latest_at - shift_ms);
        selected.push(Claim { due_at, latest_at, ..claim });
    }
    selected
}

/// Returns whether a newcomer costs callers clearly less per unit than the claims that can be served
/// if `excess_part` of the work must be turned away.
///
/// A large one would take the place of several that cost callers more together, which come one by
/// one.
fn is_cheap(
    supply: &SlotSupply,
    now: TimeMs,
    claims: &[Claim],
    newcomer: &Claim,
    excess_part: f64,
) -> bool {
    if excess_part <= 0.0 {
        return false;
    }
    let mean_work = claims.iter().map(|claim| claim.work).sum::<f64>() / claims.len() as f64;
    // The time for which the others have waited doesn't count.
    let density = |(claim, granted_at): (&Claim, Option<TimeMs>)| {
        let granted_at = granted_at.unwrap_or(claim.latest_at);
        claim.cost(claim.arrived_at, granted_at, mean_work) / claim.work.max(f64::MIN_POSITIVE)
    };
    let granted = forecast_grants(now, &supply.supply, claims);
    let with_grants = || claims.iter().zip(granted.iter().copied());
    // A sample of a long queue shows the margin well enough.
    let step = claims.len().div_ceil(SELECTED_CLAIMS_MAX).max(1);
    let sample = with_grants().step_by(step).map(|entry| (density(entry), entry.0.work));
    let mut sample: Vec<(f64, f64)> = sample.collect();
    sample.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut excess = sample.iter().map(|(_, work)| work).sum::<f64>() * excess_part;
    let at_margin = sample.iter().find(|(_, work)| {
        excess -= work;
        excess < 0.0
    });
    let own = with_grants().find(|(claim, _)| claim.id == newcomer.id).map(density);
    own.zip(at_margin).is_some_and(|(own, (margin, _))| own < margin * CHEAP_PART)
}

/// Which waiting requests are turned away.
#[derive(Debug, Clone, PartialEq)]
pub struct Shedding {
    /// The supply on which this rests.
    pub supply: SlotSupply,
    /// Ids of the claims to turn away.
    pub rejected: Vec<u64>,
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
