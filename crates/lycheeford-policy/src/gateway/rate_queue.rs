use super::claim::{Claim, Supply, forecast_grants, select_rejected};
use crate::TimeMs;

/// Most requests of a customer that wait for its rate at a host.
///
/// Each of them holds its body, and a decision looks at all of them.
pub const RATE_WAITING_MAX: usize = 256;
/// Most requests that wait for the rates of all customers at a host.
pub const RATE_HOST_WAITING_MAX: usize = 1_024;

/// Fraction of the forecast refill on which a newcomer may rely, since other hosts may spend more
/// than forecast.
///
/// With 0.7, twice as many requests were held for more than 250 ms and then refused, in a replay of
/// 24 hosts under six times the rate.
const RELIABLE_PART: f64 = 0.5;
/// Wait after which a claim is no longer displaced by a newcomer, so that requests aren't held for
/// long only to be refused.
const DISPLACED_MS_MAX: u64 = 200;
/// Time constant of the demand of each priority.
const DEMAND_WINDOW_MS: f64 = 1_000.0;
/// How long the demand of a customer matters after its last request.
const DEMAND_MS_MAX: u64 = 2_000;
/// Longest time between two looks at the queue, since reports of other hosts change the supply.
const CHECK_INTERVAL_MS: u64 = 50;

/// When the rate pays for a claim, as far as is known, and what it pays for before.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateForecast {
    /// When the claim is granted, or `None` if nothing is refilled.
    pub granted_at: Option<TimeMs>,
    /// Number of waiting claims that are served before.
    pub claims_ahead: usize,
    /// Their units.
    pub units_ahead: f64,
    /// Id of the last claim that is served before.
    pub after: Option<u64>,
}

/// A claim that was refused after it had waited.
#[derive(Debug, Clone, PartialEq)]
pub struct RateRefusal {
    /// The claim, which no longer waits.
    pub claim: Claim,
    /// When the rate could have paid for it.
    pub forecast: RateForecast,
}

/// Decision on a claim that arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum RateDecision {
    /// The rate pays for the claim now, and for no waiting claim before it.
    Granted,
    /// The claim waits until the forecast time.
    Waits {
        /// When the claim is granted.
        forecast: RateForecast,
        /// Waiting claims that are refused in favour of this one.
        displaced: Vec<RateRefusal>,
    },
    /// The rate doesn't pay for the claim in time.
    Refused(RateForecast),
}

/// The claims on a customer's rate that wait at this host, in the order of [`Claim::sort_key`].
///
/// The work of a claim is its units. Its `due_at` and `latest_at` are the same: the time at which
/// half of the request's objective is over, or half of its time if the caller's deadline is
/// earlier, so that no request is held for longer and each has the other half left to run.
///
/// A claim is granted as soon as the supply is above zero and no claim sorts before it. A newcomer
/// therefore can't overtake a large claim that waits for units which a small one doesn't need.
///
/// A claim that is less urgent than others of the customer waits only if the rate is expected to pay
/// for it beside these.
///
/// A forecast is a promise: a newcomer is accepted only if a part of the forecast refill suffices
/// for it, and for the claims behind it that have waited for some time.
#[derive(Debug, Clone, Default)]
pub struct RateQueue {
    /// Sorted by `sort_key`.
    waiting: Vec<Claim>,
    /// Units asked for by priority, with exponential decay since the time beside them; sorted.
    asked: Vec<(u8, f64, TimeMs)>,
}

impl RateQueue {
    /// Decides on a claim that arrives at `now`, while `host_waiting` claims wait at this host for
    /// the rates of all customers.
    pub fn arrive(
        &mut self,
        now: TimeMs,
        supply: &Supply,
        claim: Claim,
        host_waiting: usize,
    ) -> RateDecision {
        self.record_demand(now, &claim);
        let sort_key = claim.sort_key();
        let index = self.waiting.partition_point(|other| other.sort_key() < sort_key);
        let forecast = self.forecast(now, supply, index);
        if index == 0 && forecast.granted_at == Some(now) {
            return RateDecision::Granted;
        }
        let is_full =
            self.waiting.len() >= RATE_WAITING_MAX || host_waiting >= RATE_HOST_WAITING_MAX;
        if is_full {
            return RateDecision::Refused(forecast);
        }
        let id = claim.id;
        self.waiting.insert(index, claim);
        let rejected = select_rejected(now, supply, &self.waiting);
        if rejected.contains(&id) || self.breaks_promise(now, supply, id, &rejected) {
            self.waiting.remove(index);
            return RateDecision::Refused(forecast);
        }
        let displaced = self.refuse(now, supply, &rejected);
        let forecast = self.forecast_for(now, supply, sort_key);
        RateDecision::Waits { forecast, displaced }
    }

    /// Returns whether the newcomer `id` isn't sure to be granted in time, or a claim that has
    /// waited for some time would be displaced, or no longer be sure, because of it.
    fn breaks_promise(&self, now: TimeMs, supply: &Supply, id: u64, rejected: &[u64]) -> bool {
        let is_rejected = |claim: &&Claim| rejected.contains(&claim.id);
        let is_held = |claim: &Claim| now.since_ms(claim.arrived_at) > DISPLACED_MS_MAX;
        if self.waiting.iter().filter(is_rejected).any(is_held) {
            return true;
        }
        let kept: Vec<Claim> =
            self.waiting.iter().filter(|claim| !is_rejected(claim)).cloned().collect();
        if !self.is_left_by_urgent(now, supply, id, &kept) {
            return true;
        }
        let granted = forecast_grants(now, &scaled(supply, RELIABLE_PART), &kept);
        let from_newcomer = kept.iter().zip(granted).skip_while(|(claim, _)| claim.id != id);
        from_newcomer.filter(|(claim, _)| claim.id == id || is_held(claim)).any(
            |(claim, granted_at)| {
                // Each newcomer takes at most half of the slack that a claim behind it has left.
                let left_ms = claim.latest_at.since_ms(now);
                let most_ms = if claim.id == id { left_ms } else { left_ms / 2 };
                granted_at.is_none_or(|granted_at| granted_at > now + most_ms)
            },
        )
    }

    /// Returns whether the supply pays for the newcomer `id` in time although more urgent requests
    /// go on to come as of late.
    ///
    /// Those can't wait for long. If patient ones waited beside them, they would take all units as
    /// soon as these come back, and the urgent ones would be refused.
    fn is_left_by_urgent(&self, now: TimeMs, supply: &Supply, id: u64, kept: &[Claim]) -> bool {
        let Some(index) = kept.iter().position(|claim| claim.id == id) else { return false };
        let newcomer = &kept[index];
        let more_urgent = self.asked.iter().filter(|(priority, ..)| *priority < newcomer.priority);
        let asked: f64 = more_urgent.map(|(_, units, at)| decayed(now, *units, *at)).sum();
        let left_per_ms = (supply.per_ms - asked / DEMAND_WINDOW_MS).max(0.0);
        let left = scaled(&Supply { per_ms: left_per_ms, ..*supply }, RELIABLE_PART);
        let work_ahead = kept[..index].iter().map(|claim| claim.work).sum();
        left.granted_at(now, work_ahead).is_some_and(|granted_at| granted_at <= newcomer.latest_at)
    }

    fn record_demand(&mut self, now: TimeMs, claim: &Claim) {
        match self.asked.binary_search_by_key(&claim.priority, |(priority, ..)| *priority) {
            Ok(index) => {
                let (_, units, at) = &mut self.asked[index];
                *units = decayed(now, *units, *at) + claim.work;
                *at = now;
            }
            Err(index) => self.asked.insert(index, (claim.priority, claim.work, now)),
        }
    }

    /// Removes and returns the first claim if the rate pays for it now.
    ///
    /// The supply has to be computed again after each claim.
    pub fn grant_first(&mut self, now: TimeMs, supply: &Supply) -> Option<Claim> {
        let is_granted = !self.waiting.is_empty() && supply.granted_at(now, 0.0) == Some(now);
        is_granted.then(|| self.waiting.remove(0))
    }

    /// Removes and returns the claims that the rate no longer pays for in time, after the supply
    /// turned out smaller than forecast.
    ///
    /// A claim is kept as long as a refill faster than forecast would pay for it, so that a supply
    /// that varies with each report doesn't end waits.
    pub fn refuse_late(&mut self, now: TimeMs, supply: &Supply) -> Vec<RateRefusal> {
        let rejected = select_rejected(now, &scaled(supply, 1.0 / RELIABLE_PART), &self.waiting);
        self.refuse(now, supply, &rejected)
    }

    /// Removes and returns all claims, for example since the host stops.
    pub fn refuse_all(&mut self, now: TimeMs, supply: &Supply) -> Vec<RateRefusal> {
        let ids: Vec<u64> = self.waiting.iter().map(|claim| claim.id).collect();
        self.refuse(now, supply, &ids)
    }

    /// Returns when to look at the queue again, given the `supply` of the first claim, or `None` if
    /// nothing waits.
    ///
    /// That is when the first claim is granted or the first one becomes late, and after 50 ms at the
    /// latest.
    pub fn next_check_at(&self, now: TimeMs, supply: &Supply) -> Option<TimeMs> {
        let latest_at = self.waiting.iter().map(|claim| claim.latest_at).min()?;
        let granted_at = supply.granted_at(now, 0.0).unwrap_or(latest_at);
        let check_at = granted_at.min(latest_at).min(now + CHECK_INTERVAL_MS);
        Some(check_at.max(now + 1))
    }

    /// Returns whether nothing waits, and the customer hasn't asked for anything lately.
    pub fn is_idle(&self, now: TimeMs) -> bool {
        let is_recent = |(_, _, at): &(u8, f64, TimeMs)| now.since_ms(*at) < DEMAND_MS_MAX;
        self.waiting.is_empty() && !self.asked.iter().any(is_recent)
    }

    /// Removes the claim of a caller that left; returns whether it was still waiting.
    pub fn remove(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|claim| claim.id != id);
        self.waiting.len() < before
    }

    /// Returns when the rate pays for a claim of the order `sort_key`, after those that wait before
    /// it.
    pub fn forecast_for(&self, now: TimeMs, supply: &Supply, sort_key: (u64, u64)) -> RateForecast {
        let index = self.waiting.partition_point(|other| other.sort_key() < sort_key);
        self.forecast(now, supply, index)
    }

    /// Returns the units of all waiting claims.
    pub fn units(&self) -> f64 {
        self.waiting.iter().map(|claim| claim.work).sum()
    }

    /// Returns the waiting claims in the order in which they are served.
    pub fn waiting(&self) -> &[Claim] {
        &self.waiting
    }

    /// Returns the forecast for a claim that is served after the first `ahead` ones.
    fn forecast(&self, now: TimeMs, supply: &Supply, ahead: usize) -> RateForecast {
        let claims_ahead = &self.waiting[..ahead];
        let units_ahead = claims_ahead.iter().map(|claim| claim.work).sum();
        RateForecast {
            granted_at: supply.granted_at(now, units_ahead),
            claims_ahead: ahead,
            units_ahead,
            after: claims_ahead.last().map(|claim| claim.id),
        }
    }

    fn refuse(&mut self, now: TimeMs, supply: &Supply, rejected: &[u64]) -> Vec<RateRefusal> {
        if rejected.is_empty() {
            return Vec::new();
        }
        let refused: Vec<Claim> =
            self.waiting.extract_if(.., |claim| rejected.contains(&claim.id)).collect();
        let refusal = |claim: Claim| {
            let forecast = self.forecast_for(now, supply, claim.sort_key());
            RateRefusal { claim, forecast }
        };
        refused.into_iter().map(refusal).collect()
    }
}

fn scaled(supply: &Supply, part: f64) -> Supply {
    Supply { per_ms: supply.per_ms * part, ..*supply }
}

fn decayed(now: TimeMs, units: f64, at: TimeMs) -> f64 {
    units * (-(now.since_ms(at) as f64) / DEMAND_WINDOW_MS).exp()
}
