use crate::TimeMs;

/// Time by which a request of the next less urgent priority is due later.
///
/// It bounds how long later requests of a more urgent priority can overtake a waiting one, so that
/// no priority starves.
pub const PRIORITY_STEP_MS: u64 = 1_500;
/// Ratio between the costs of turning away requests of two successive priorities.
const PRIORITY_WEIGHT: f64 = 2.0;
/// Fraction of its value that a response keeps once its objective has passed.
const LATE_PART: f64 = 0.5;

/// What a waiting request asks of a resource that is short: a slot, units of a rate, or a load.
///
/// See docs/design/load-shedding.md for the order and for the choice of whom to turn away.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// Id of the request in its queue.
    pub id: u64,
    /// When the request arrived.
    pub arrived_at: TimeMs,
    /// Arrival plus what the request's objective adds to it in the order, before the priority.
    pub order_at: TimeMs,
    /// Until when the resource must be granted for a response within the objective.
    pub due_at: TimeMs,
    /// Until when the resource must be granted for a response before the deadline.
    pub latest_at: TimeMs,
    /// Priority of the request; 0 is served first.
    pub priority: u8,
    /// Units of the resource that the request needs.
    pub work: f64,
}

impl Claim {
    /// Returns the key by which claims are served: by `order_at`, with a bounded preference for
    /// the more urgent priority.
    ///
    /// The key of a claim never changes, so that every claim comes first in the end.
    pub fn sort_key(&self) -> (u64, u64) {
        (self.order_at.as_ms() + u64::from(self.priority) * PRIORITY_STEP_MS, self.id)
    }

    /// Returns what it costs callers to turn this claim away, if it were granted at `granted_at`.
    ///
    /// A caller's loss grows with the size of its request, but not in proportion, so that neither
    /// small nor large requests starve. It grows with the time that the request has waited, so that
    /// a stream of more urgent requests doesn't displace it time and again.
    pub(super) fn cost(&self, now: TimeMs, granted_at: TimeMs, mean_work: f64) -> f64 {
        let weight = PRIORITY_WEIGHT.powi(-i32::from(self.priority));
        let timeliness = if granted_at <= self.due_at { 1.0 } else { LATE_PART };
        let size = f64::midpoint(1.0, self.work / mean_work.max(f64::MIN_POSITIVE));
        let patience_ms = self.latest_at.since_ms(self.arrived_at).max(1) as f64;
        let waited = (now.since_ms(self.arrived_at) as f64 / patience_ms).min(1.0);
        weight * timeliness * size * (1.0 + waited)
    }
}

/// The forecast supply of a resource.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Supply {
    /// Units that are available now; negative while a debt is paid off.
    pub available: f64,
    /// Units that become available per millisecond.
    pub per_ms: f64,
    /// Units that must be available before a claim is granted. A claim on a rate may take the level
    /// below zero, whereas one on slots needs a whole slot.
    pub grant_units: f64,
}

impl Supply {
    /// Returns when a claim is granted that has claims of `work_ahead` units before it, or `None`
    /// if nothing becomes available.
    pub fn granted_at(&self, now: TimeMs, work_ahead: f64) -> Option<TimeMs> {
        let missing = work_ahead + self.grant_units - self.available;
        if missing <= 0.0 {
            return Some(now);
        }
        let wait_ms = missing / self.per_ms;
        wait_ms.is_finite().then(|| now + wait_ms.ceil() as u64)
    }
}

/// Returns when each claim is granted, if all of them are served in this order.
pub fn forecast_grants(now: TimeMs, supply: &Supply, claims: &[Claim]) -> Vec<Option<TimeMs>> {
    let mut work_ahead = 0.0;
    let grant = |claim: &Claim| {
        let granted_at = supply.granted_at(now, work_ahead);
        work_ahead += claim.work;
        granted_at
    };
    claims.iter().map(grant).collect()
}

/// Returns the ids of the claims to turn away so that all others are granted in time.
///
/// `claims` are in the order of [`Claim::sort_key`]. This is the algorithm of Moore and Hodgson with
/// costs: in the order of service, claims that would be granted too late either give way, or
/// displace earlier claims that cost callers less per unit and less in all.
pub fn select_rejected(now: TimeMs, supply: &Supply, claims: &[Claim]) -> Vec<u64> {
    select(now, supply, claims, Overload::Passing)
}

/// Whether more is asked for than becomes available, beyond the claims that wait now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Overload {
    /// The waiting claims are all there is to serve.
    Passing,
    /// Whatever a claim leaves unused is used by later ones, so that the cost per unit decides.
    Lasting,
}

/// Part of a claim's cost per unit below which another gives way to it while an overload lasts, so
/// that claims of one kind don't replace each other.
pub(super) const CHEAP_PART: f64 = 0.75;

/// Returns the ids of the claims to turn away, like [`select_rejected`].
pub(super) fn select(
    now: TimeMs,
    supply: &Supply,
    claims: &[Claim],
    overload: Overload,
) -> Vec<u64> {
    let work_total: f64 = claims.iter().map(|claim| claim.work).sum();
    let mean_work = work_total / claims.len().max(1) as f64;
    let mut selection = Selection { now, supply, mean_work, overload, kept: Vec::new() };
    let mut rejected = Vec::new();
    // Successive claims that are too late: one of them may cost less than what it would displace,
    // while all of them cost more.
    let mut late: Vec<&Claim> = Vec::new();
    for claim in claims {
        if selection.is_in_time(&[claim], 0.0) {
            selection.keep(claim);
            rejected.extend(late.drain(..).map(|claim| claim.id));
            continue;
        }
        late.push(claim);
        if let Some(victims) = selection.victims(&late) {
            selection.kept.retain(|kept| !victims.contains(&kept.id));
            rejected.extend(victims);
            late.drain(..).for_each(|claim| selection.keep(claim));
        }
    }
    rejected.extend(late.into_iter().map(|claim| claim.id));
    rejected
}

/// A claim that is to be served, as far as is known.
struct Kept {
    id: u64,
    work: f64,
    cost: f64,
}

/// The claims that are to be served.
struct Selection<'a> {
    now: TimeMs,
    supply: &'a Supply,
    mean_work: f64,
    overload: Overload,
    kept: Vec<Kept>,
}

impl Selection<'_> {
    fn work_ahead(&self) -> f64 {
        self.kept.iter().map(|kept| kept.work).sum()
    }

    fn keep(&mut self, claim: &Claim) {
        let granted_at = self.supply.granted_at(self.now, self.work_ahead());
        let cost = claim.cost(self.now, granted_at.unwrap_or(claim.latest_at), self.mean_work);
        self.kept.push(Kept { id: claim.id, work: claim.work, cost });
    }

    /// Returns whether `claims` are granted in time after the others, of which some give up
    /// `freed` units.
    fn is_in_time(&self, claims: &[&Claim], freed: f64) -> bool {
        let mut work_ahead = self.work_ahead() - freed;
        claims.iter().all(|claim| {
            let granted_at = self.supply.granted_at(self.now, work_ahead);
            work_ahead += claim.work;
            granted_at.is_some_and(|granted_at| granted_at <= claim.latest_at)
        })
    }

    /// Returns the claims that cost least per unit and free enough units for `late`, if they cost
    /// less than these together.
    fn victims(&self, late: &[&Claim]) -> Option<Vec<u64>> {
        let soonest = self.supply.granted_at(self.now, 0.0)?;
        let cost_max: f64 =
            late.iter().map(|claim| claim.cost(self.now, soonest, self.mean_work)).sum();
        let work: f64 = late.iter().map(|claim| claim.work).sum();
        let density_max = CHEAP_PART * cost_max / work.max(f64::MIN_POSITIVE);
        let density = |kept: &Kept| kept.cost / kept.work.max(f64::MIN_POSITIVE);
        let mut by_density: Vec<&Kept> = self.kept.iter().collect();
        by_density.sort_by(|a, b| density(a).total_cmp(&density(b)));
        let (mut freed, mut cost, mut victims) = (0.0, 0.0, Vec::new());
        for kept in by_density {
            cost += kept.cost;
            let is_too_dear = match self.overload {
                Overload::Passing => cost >= cost_max,
                Overload::Lasting => density(kept) >= density_max,
            };
            if is_too_dear {
                return None;
            }
            freed += kept.work;
            victims.push(kept.id);
            if self.is_in_time(late, freed) {
                return Some(victims);
            }
        }
        None
    }
}
