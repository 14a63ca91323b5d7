use super::entry::{DemandPart, Entry, LoadSource, Phase, Replica};
use super::placement::Placement;
use super::store_gate::Forecast;
use super::{PlanAction, Planner};
use crate::TimeMs;

/// Time for an order to be recorded, sent and confirmed.
const ORDER_MS: u64 = 20;
/// Time to unload a replica that is evicted for a load.
pub(super) const UNLOAD_MS: u64 = 100;
/// Retry time given to callers if no target can take the load now.
const NO_PLACEMENT_RETRY_MS: u64 = 5_000;
/// How long a load is kept beyond the retry time that was given to refused callers.
const RETRY_GRACE_MS: u64 = 5_000;
/// How long a request must have waited despite a ready replica before another replica is loaded.
const OVERLOAD_WAIT_MS: u64 = 200;
/// A load is overdue once it has taken its expected time this many times.
const OVERDUE_FACTOR: u64 = 3;
/// The half-life of the customers' past load time in the fairness calculation.
const USAGE_HALF_LIFE_MS: f64 = 60_000.0;
/// Time to a deadline is capped at this value; later deadlines rank alike.
const SLACK_MAX_MS: u64 = 3_600_000;
/// The largest adjustment of an entry's rank by its customer's past load time.
const FAIRNESS_MAX_MS: f64 = 10_000.0;

/// An entry with waiting requests, and the key by which entries are ordered.
#[derive(Debug)]
struct RankedDemand {
    order: (bool, u8, bool, i64, u32),
    entry: u32,
    parts: Vec<DemandPart>,
}

impl Planner {
    pub(super) fn serve_demand(&mut self, now: TimeMs, actions: &mut Vec<PlanAction>) {
        let ends = self
            .in_flight(|source| source == LoadSource::Remote)
            .iter()
            .map(|replica| now + remaining_ms(now, replica))
            .collect();
        let mut forecast = self.store.forecast(now, ends);
        let mut estimates = Vec::new();
        for ranked in self.ranked_demand(now) {
            let ready_in_ms = self.serve(now, &ranked, &estimates, &mut forecast, actions);
            estimates.push((ranked.entry, ready_in_ms));
            self.report_readiness(now, &ranked, ready_in_ms, actions);
        }
    }

    /// Decays the customers' past load time by the time since the last call.
    pub(super) fn decay_usage(&mut self, now: TimeMs) {
        let elapsed_ms = now.since_ms(self.usage_decayed_at) as f64;
        self.usage_decayed_at = now;
        let factor = 0.5f64.powf(elapsed_ms / USAGE_HALF_LIFE_MS);
        self.total_load_ms *= factor;
        for customer in self.customers.values_mut() {
            customer.load_ms *= factor;
        }
    }

    /// Returns the entries with demand in the order in which they are served.
    ///
    /// Models are served before adapters, which need their base model ready. Then the lowest class
    /// comes first. An entry that can no longer be ready before its deadline comes after those that
    /// can, since otherwise one late load after another would make all of them late. Then the
    /// earliest deadline comes first, shifted by how far the customer exceeds its share of the
    /// recent load time.
    fn ranked_demand(&mut self, now: TimeMs) -> Vec<RankedDemand> {
        self.expire_demand(now);
        let mut parts: Vec<(u32, Option<DemandPart>)> = Vec::new();
        for id in &self.wanted {
            let Some(entry) = self.entries.get(*id) else { continue };
            parts.push((*id, None));
            parts.extend(entry.demand.iter().map(|part| (*id, Some(*part))));
            if let Some(base) = entry.base() {
                parts.push((base, None));
                parts.extend(entry.demand.iter().map(|part| (base, Some(*part))));
            }
        }
        parts.sort_by_key(|(id, _)| *id);
        let mut ranked: Vec<RankedDemand> = parts
            .chunk_by(|one, other| one.0 == other.0)
            .map(|group| {
                self.rank_demand(now, group[0].0, group.iter().filter_map(|(_, part)| *part))
            })
            .collect();
        ranked.sort_by_key(|ranked| ranked.order);
        ranked
    }

    fn expire_demand(&mut self, now: TimeMs) {
        let entries = &mut self.entries;
        self.wanted.retain(|id| {
            let Some(entry) = entries.get_mut(*id) else { return false };
            entry.demand.retain(|part| part.deadline > now && part.waiting > 0);
            entry.retry_expected_until = entry.retry_expected_until.filter(|until| *until > now);
            !entry.demand.is_empty() || entry.retry_expected_until.is_some()
        });
    }

    fn rank_demand(
        &self,
        now: TimeMs,
        id: u32,
        parts: impl Iterator<Item = DemandPart>,
    ) -> RankedDemand {
        let parts: Vec<DemandPart> = parts.collect();
        let is_adapter = self.entries.get(id).and_then(Entry::base).is_some();
        let load_ms = self.entries.get(id).map_or(0, Entry::reload_ms).cast_signed();
        let order = parts
            .iter()
            .map(|part| {
                let slack_ms =
                    part.deadline.since_ms(now).min(SLACK_MAX_MS).cast_signed() - load_ms;
                let score = slack_ms + self.excess_load_ms(part.customer) as i64;
                (is_adapter, part.class, slack_ms < 0, score, id)
            })
            .min()
            .unwrap_or((is_adapter, u8::MAX, true, 0, id));
        RankedDemand { order, entry: id, parts }
    }

    /// Returns by how much a customer's recent load time exceeds its share, weighted by the site's
    /// configuration.
    fn excess_load_ms(&self, customer: u32) -> f64 {
        let Some(customer) = self.customers.get(customer) else { return 0.0 };
        let share = customer.rate / self.total_rate.max(1.0);
        let over_ms = customer.load_ms - share * self.total_load_ms;
        let weight = self.weights.worst_customer / self.weights.cold_start_tail.max(0.01);
        (over_ms * weight).clamp(-FAIRNESS_MAX_MS, FAIRNESS_MAX_MS)
    }

    /// Starts a load or an eviction for an entry and returns when the entry is expected to be
    /// ready.
    fn serve(
        &mut self,
        now: TimeMs,
        ranked: &RankedDemand,
        estimates: &[(u32, Option<u64>)],
        forecast: &mut Forecast,
        actions: &mut Vec<PlanAction>,
    ) -> Option<u64> {
        let id = ranked.entry;
        let entry = self.entries.get(id)?;
        let replicas_max = entry.spec?.replicas_max as usize;
        let can_add_replica = entry.replicas.len() < replicas_max;
        let base = entry.base();
        let loading: Vec<Replica> = entry
            .replicas
            .iter()
            .filter(|replica| matches!(replica.phase, Phase::LoadDecided | Phase::Loading))
            .copied()
            .collect();
        if self.is_usable(id) {
            if can_add_replica && loading.is_empty() && self.is_overloaded(now, ranked) {
                self.load(now, ranked, forecast, actions);
            }
            return Some(0);
        }
        if let Some(first_ms) = loading.iter().map(|replica| remaining_ms(now, replica)).min() {
            let overdue = loading.iter().all(|replica| is_overdue(now, replica));
            if can_add_replica && overdue {
                self.load(now, ranked, forecast, actions);
            }
            return Some(first_ms);
        }
        if !can_add_replica {
            return None;
        }
        if let Some(base) = base
            && !self.is_usable(base)
        {
            let load_ms = entry.reload_ms() + ORDER_MS;
            return estimates.iter().find(|(other, _)| *other == base)?.1.map(|ms| ms + load_ms);
        }
        self.load(now, ranked, forecast, actions)
    }

    /// Returns whether requests have waited too long although a replica is ready.
    ///
    /// A report that predates the ready replica gives no information about it and does not count.
    fn is_overloaded(&mut self, now: TimeMs, ranked: &RankedDemand) -> bool {
        let Some(entry) = self.entries.get_mut(ranked.entry) else { return false };
        let ready = entry.replicas.iter().filter(|replica| replica.phase == Phase::Ready);
        let Some(ready_since) = ready.map(|replica| replica.since).min() else { return false };
        let is_overloaded = ranked
            .parts
            .iter()
            .any(|part| part.reported_at.since_ms(ready_since.max(part.since)) >= OVERLOAD_WAIT_MS);
        if is_overloaded {
            entry.last_overload = Some(now);
        }
        is_overloaded
    }

    /// Starts, prepares or queues a load and returns when it is expected to end.
    fn load(
        &mut self,
        now: TimeMs,
        ranked: &RankedDemand,
        forecast: &mut Forecast,
        actions: &mut Vec<PlanAction>,
    ) -> Option<u64> {
        let id = ranked.entry;
        match self.choose_placement(now, id) {
            Placement::Free { target, source } => {
                let expected_ms = self.expected_ms(id, source);
                if !self.can_start_load(source) {
                    return Some(forecast.queue(now, expected_ms).since_ms(now) + ORDER_MS);
                }
                if source == LoadSource::Remote {
                    self.store.take_token();
                    forecast.queue(now, expected_ms);
                    self.charge_load(ranked, expected_ms);
                }
                self.start(now, id, target, source, expected_ms, actions);
                Some(expected_ms + ORDER_MS)
            }
            Placement::Evict { target, victim } => {
                self.unload(now, victim, target, actions);
                let entry = self.entries.get_mut(id)?;
                entry.evicting_on = Some(target);
                let source = entry.source(target);
                Some(UNLOAD_MS + ORDER_MS + self.expected_ms(id, source))
            }
            Placement::Wait { ready_in_ms } => Some(ready_in_ms + ORDER_MS),
            Placement::Unavailable => None,
        }
    }

    pub(super) fn start(
        &mut self,
        now: TimeMs,
        id: u32,
        target: u32,
        source: LoadSource,
        expected_ms: u64,
        actions: &mut Vec<PlanAction>,
    ) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        entry.evicting_on = None;
        let Some(spec) = entry.spec else { return };
        let base = entry.base().and_then(|base| self.entries.name(base)).cloned();
        let phase = Phase::LoadDecided;
        self.decide(id, Replica { target, phase, since: now, source, expected_ms });
        let names = (self.entries.name(id), self.targets.name(target));
        if let (Some(name), Some(target)) = names {
            actions.push(PlanAction::Load {
                name: name.clone(),
                base,
                target: target.clone(),
                memory_bytes: spec.memory_bytes,
            });
        }
    }

    fn can_start_load(&self, source: LoadSource) -> bool {
        let in_flight = self.in_flight(|other| other == source).len();
        match source {
            LoadSource::Memory | LoadSource::Disk => true,
            LoadSource::Adapter => in_flight < self.limits.adapter_loads_at_once as usize,
            LoadSource::Remote => self.store.is_open(in_flight),
        }
    }

    pub(super) fn expected_ms(&self, id: u32, source: LoadSource) -> u64 {
        let Some(entry) = self.entries.get(id) else { return 0 };
        let full_speed_ms = entry.load_ms(source);
        match source {
            LoadSource::Remote => self.store.expected_ms(full_speed_ms),
            LoadSource::Memory | LoadSource::Disk | LoadSource::Adapter => full_speed_ms,
        }
    }

    /// Charges the time of a load to the customers that wait for it, in proportion to their
    /// requests.
    fn charge_load(&mut self, ranked: &RankedDemand, load_ms: u64) {
        let waiting: u32 = ranked.parts.iter().map(|part| part.waiting).sum();
        for part in &ranked.parts {
            let part_ms = load_ms as f64 * f64::from(part.waiting) / f64::from(waiting.max(1));
            self.total_load_ms += part_ms;
            if let Some(customer) = self.customers.get_mut(part.customer) {
                customer.load_ms += part_ms;
            }
        }
    }

    /// Reports when an entry is expected to be ready, and refuses a customer's requests if all
    /// their deadlines are earlier. Without an expected time, all requests are refused.
    ///
    /// A refusal contains a time to retry, so the entry stays wanted and its load continues until
    /// shortly after the expected time.
    fn report_readiness(
        &mut self,
        now: TimeMs,
        ranked: &RankedDemand,
        ready_in_ms: Option<u64>,
        actions: &mut Vec<PlanAction>,
    ) {
        let id = ranked.entry;
        let Some(name) = self.entries.name(id).cloned() else { return };
        if let Some(ready_in_ms) = ready_in_ms {
            actions.push(PlanAction::Expect { name: name.clone(), ready_in_ms });
        }
        let Some(entry) = self.entries.get_mut(id) else { return };
        let ready_at = ready_in_ms.map(|ready_in_ms| now + ready_in_ms);
        let mut parts = entry.demand.clone();
        parts.sort_by_key(|part| part.customer);
        for group in parts.chunk_by(|one, other| one.customer == other.customer) {
            if ready_at.is_some_and(|at| group.iter().any(|part| part.deadline >= at)) {
                continue;
            }
            if let Some(at) = ready_at {
                let until = at + RETRY_GRACE_MS;
                entry.retry_expected_until = entry.retry_expected_until.max(Some(until));
            }
            let Some(customer) = self.customers.name(group[0].customer) else { continue };
            actions.push(PlanAction::Refuse {
                name: name.clone(),
                customer: customer.clone(),
                retry_after_ms: ready_in_ms.unwrap_or(NO_PLACEMENT_RETRY_MS),
            });
        }
    }
}

/// Returns the time until a load ends. An overdue load is assumed to need another quarter of the
/// time that it has taken.
pub(super) fn remaining_ms(now: TimeMs, replica: &Replica) -> u64 {
    let elapsed_ms = now.since_ms(replica.since);
    (replica.expected_ms + ORDER_MS).saturating_sub(elapsed_ms).max(elapsed_ms / 4)
}

fn is_overdue(now: TimeMs, replica: &Replica) -> bool {
    now.since_ms(replica.since) > OVERDUE_FACTOR * replica.expected_ms + ORDER_MS
}
