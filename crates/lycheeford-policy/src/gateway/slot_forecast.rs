use super::claim::Supply;
use super::wait_queue::RequirementKey;
use crate::{Name, TimeMs};

/// Time constant of the rate of slots. It is long enough for several slots of slow answers, and
/// short enough to follow a change of capacity within seconds.
const RATE_WINDOW_MS: f64 = 3_000.0;
/// Time constant of the rate at which work is asked for. A burst must last for about as long before
/// requests are turned away for the sake of later ones.
const DEMAND_WINDOW_MS: f64 = 1_000.0;
/// Part of the supply that is kept for claims that cost less per unit than all others, so that no
/// size and no priority starves.
const RESERVE_PART: f64 = 0.1;
/// Age of the last slot beyond which a rate is no longer used.
const AGE_MS_MAX: u64 = 5_000;
/// Slots that must have been observed before a rate is used. Fewer give a rate that is wrong by
/// more than half too often.
const SLOTS_MIN: u32 = 4;
/// Time with requests waiting that must have been observed before a rate is used.
const OBSERVED_MS_MIN: f64 = 200.0;
/// Weight of a new sample in the time that a route's requests hold a slot.
const HOLD_SAMPLE_PART: f64 = 0.05;
/// Time that a request is assumed to hold a slot while none of its service has ended.
const DEFAULT_HOLD_MS: f64 = 100.0;
/// Largest ratio between the expected time of a request and the average of its route.
const SIZE_RATIO_MAX: f64 = 20.0;

/// The rate at which slots become free for the waiting requests of this host, by requirement.
///
/// Only the time during which requests wait for a slot counts, since the rate of a service with
/// spare slots shows the demand and not the capacity. The unit of work is the expected time, in
/// milliseconds, for which a request holds its slot.
#[derive(Debug, Clone, Default)]
pub struct SlotForecast {
    /// Sorted by requirement.
    groups: Vec<GroupRate>,
}

#[derive(Debug, Clone)]
struct GroupRate {
    key: RequirementKey,
    /// Whether requests wait for a slot, as of `updated_at`.
    is_short: bool,
    updated_at: TimeMs,
    granted_at: TimeMs,
    /// When the waiting requests were last checked against the forecast.
    checked_at: TimeMs,
    /// Slots granted since the rate was last reset.
    slots: u32,
    /// Slots and their work, and the time in which they were granted, each with exponential decay.
    recent_slots: f64,
    recent_work: f64,
    recent_ms: f64,
    /// Work asked for, with exponential decay, as of `asked_at`.
    asked_work: f64,
    asked_at: TimeMs,
    /// When the reserve is next available; the claims that took it have used it up to then.
    reserve_at: TimeMs,
}

/// A forecast supply of slots with the age of the last observation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotSupply {
    /// Supply of slots, in milliseconds for which requests hold them.
    pub supply: Supply,
    /// Time since the last slot became free.
    pub age_ms: u64,
}

impl SlotSupply {
    /// Returns the average time between two slots.
    pub fn interval_ms(&self) -> u64 {
        (self.supply.grant_units / self.supply.per_ms) as u64
    }
}

impl SlotForecast {
    /// Records the work of the slots that were granted at once, and whether requests still wait for
    /// one.
    pub(super) fn observe(
        &mut self,
        now: TimeMs,
        key: &RequirementKey,
        granted: &[f64],
        is_short: bool,
    ) {
        let index = match self.groups.binary_search_by(|group| group.key.cmp(key)) {
            Ok(index) => index,
            Err(_) if !is_short => return,
            Err(_) => {
                // A requirement without recent requests may never come back.
                self.groups.retain(|group| now.since_ms(group.updated_at) <= AGE_MS_MAX);
                let index = self.groups.partition_point(|group| group.key < *key);
                self.groups.insert(index, GroupRate::new(now, key.clone()));
                index
            }
        };
        self.groups[index].observe(now, granted, is_short);
    }

    /// Records a request for a slot, if requests had to wait for one in the last seconds.
    pub(super) fn asked(&mut self, now: TimeMs, key: &RequirementKey, work: f64) {
        if let Ok(index) = self.groups.binary_search_by(|group| group.key.cmp(key)) {
            let group = &mut self.groups[index];
            group.asked_work = group.asked_work(now) + work;
            group.asked_at = now;
        }
    }

    /// Returns the part of the work asked for lately for which no slots become free.
    pub(super) fn excess_part(&self, now: TimeMs, key: &RequirementKey) -> f64 {
        let Some(SlotSupply { supply, .. }) = self.supply(now, key) else { return 0.0 };
        let index = self.groups.binary_search_by(|group| group.key.cmp(key));
        let asked_work = index.map_or(0.0, |index| self.groups[index].asked_work(now));
        let asked_per_ms = asked_work / DEMAND_WINDOW_MS;
        if asked_per_ms > supply.per_ms { 1.0 - supply.per_ms / asked_per_ms } else { 0.0 }
    }

    /// Takes `work` of the part of the supply that is kept for the cheapest claims; returns false if
    /// that is used up.
    pub(super) fn take_reserve(&mut self, now: TimeMs, key: &RequirementKey, work: f64) -> bool {
        let Some(SlotSupply { supply, .. }) = self.supply(now, key) else { return true };
        let index = self.groups.binary_search_by(|group| group.key.cmp(key));
        let Some(group) = index.ok().map(|index| &mut self.groups[index]) else { return true };
        if group.reserve_at > now {
            return false;
        }
        group.reserve_at = now + (work / (supply.per_ms * RESERVE_PART)) as u64;
        true
    }

    /// Records that no request waits any more.
    pub(super) fn ended(&mut self, key: &RequirementKey) {
        if let Ok(index) = self.groups.binary_search_by(|group| group.key.cmp(key)) {
            self.groups[index].is_short = false;
        }
    }

    /// Records that the waiting requests were checked against the forecast.
    pub(super) fn checked(&mut self, now: TimeMs, key: &RequirementKey) {
        if let Ok(index) = self.groups.binary_search_by(|group| group.key.cmp(key)) {
            self.groups[index].checked_at = now;
        }
    }

    /// Returns whether the waiting requests haven't been checked for `interval_ms`.
    pub(super) fn is_check_due(&self, now: TimeMs, key: &RequirementKey, interval_ms: u64) -> bool {
        let index = self.groups.binary_search_by(|group| group.key.cmp(key));
        index.is_ok_and(|index| now.since_ms(self.groups[index].checked_at) >= interval_ms)
    }

    /// Returns the forecast supply, or `None` without recent observations.
    pub(super) fn supply(&self, now: TimeMs, key: &RequirementKey) -> Option<SlotSupply> {
        let index = self.groups.binary_search_by(|group| group.key.cmp(key)).ok()?;
        let mut group = self.groups[index].clone();
        let age_ms = now.since_ms(group.granted_at);
        group.advance(now);
        let is_known = group.slots >= SLOTS_MIN
            && age_ms <= AGE_MS_MAX
            && group.recent_ms >= OBSERVED_MS_MIN
            && group.recent_work > 0.0;
        let supply = Supply {
            available: 0.0,
            per_ms: group.recent_work / group.recent_ms,
            grant_units: group.recent_work / group.recent_slots,
        };
        is_known.then_some(SlotSupply { supply, age_ms })
    }
}

impl GroupRate {
    fn new(now: TimeMs, key: RequirementKey) -> GroupRate {
        GroupRate {
            key,
            is_short: false,
            updated_at: now,
            granted_at: now,
            checked_at: now,
            slots: 0,
            recent_slots: 0.0,
            recent_work: 0.0,
            recent_ms: 0.0,
            asked_work: 0.0,
            asked_at: now,
            reserve_at: now,
        }
    }

    fn observe(&mut self, now: TimeMs, granted: &[f64], is_short: bool) {
        if !self.is_short && now.since_ms(self.granted_at) > AGE_MS_MAX {
            let GroupRate { asked_work, asked_at, reserve_at, .. } = *self;
            *self = GroupRate {
                asked_work,
                asked_at,
                reserve_at,
                ..GroupRate::new(now, self.key.clone())
            };
        }
        self.advance(now);
        // A slot that was free when its request came says nothing about the capacity.
        if self.is_short {
            for work in granted {
                self.slots = self.slots.saturating_add(1);
                self.recent_slots += 1.0;
                self.recent_work += work;
                self.granted_at = now;
            }
        }
        self.is_short = is_short;
    }

    /// Returns the work that was asked for and hasn't decayed.
    fn asked_work(&self, now: TimeMs) -> f64 {
        self.asked_work * (-(now.since_ms(self.asked_at) as f64) / DEMAND_WINDOW_MS).exp()
    }

    /// Counts the time up to `now`, if requests waited.
    fn advance(&mut self, now: TimeMs) {
        if self.is_short {
            let elapsed_ms = now.since_ms(self.updated_at) as f64;
            let kept = (-elapsed_ms / RATE_WINDOW_MS).exp();
            self.recent_slots *= kept;
            self.recent_work *= kept;
            self.recent_ms = self.recent_ms * kept + RATE_WINDOW_MS * (1.0 - kept);
        }
        self.updated_at = now;
    }
}

/// How long the requests of each route hold a slot, and how large they are, on average.
#[derive(Debug, Clone, Default)]
pub struct HoldTimes {
    /// Sorted by service and route.
    routes: Vec<RouteHold>,
}

#[derive(Debug, Clone)]
struct RouteHold {
    service: Name,
    route: Name,
    hold_ms: f64,
    /// Average of the stated tokens; 0 if none are stated.
    tokens: f64,
}

impl HoldTimes {
    /// Records a request that held a slot for `hold_ms`; `tokens` is 0 if it stated none.
    pub fn ended(&mut self, service: &Name, route: &Name, hold_ms: u64, tokens: u64) {
        let (hold_ms, tokens) = (hold_ms as f64, tokens as f64);
        match self.index(service, route) {
            Ok(index) => {
                let known = &mut self.routes[index];
                known.hold_ms += (hold_ms - known.hold_ms) * HOLD_SAMPLE_PART;
                known.tokens += (tokens - known.tokens) * HOLD_SAMPLE_PART;
            }
            Err(index) => {
                let (service, route) = (service.clone(), route.clone());
                self.routes.insert(index, RouteHold { service, route, hold_ms, tokens });
            }
        }
    }

    /// Returns how long the next request of a route is expected to hold a slot, if one of the route
    /// has ended here.
    pub fn known_ms(&self, service: &Name, route: &Name, tokens: u64) -> Option<f64> {
        let known = &self.routes[self.index(service, route).ok()?];
        let is_sized = tokens > 0 && known.tokens >= 1.0;
        let ratio = if is_sized { tokens as f64 / known.tokens } else { 1.0 };
        Some((known.hold_ms * ratio.clamp(1.0 / SIZE_RATIO_MAX, SIZE_RATIO_MAX)).max(1.0))
    }

    /// Returns how long the next request of a route is expected to hold a slot; a route without
    /// ended requests is assumed to be like the others of its service.
    pub fn expected_ms(&self, service: &Name, route: &Name, tokens: u64) -> f64 {
        if let Some(known_ms) = self.known_ms(service, route, tokens) {
            return known_ms;
        }
        let first = self.routes.partition_point(|known| known.service < *service);
        let of_service = self.routes[first..].iter().take_while(|known| known.service == *service);
        let (count, sum_ms) =
            of_service.fold((0.0, 0.0), |(count, sum), known| (count + 1.0, sum + known.hold_ms));
        if count > 0.0 { (sum_ms / count).max(1.0) } else { DEFAULT_HOLD_MS }
    }

    fn index(&self, service: &Name, route: &Name) -> Result<usize, usize> {
        self.routes.binary_search_by(|known| (&known.service, &known.route).cmp(&(service, route)))
    }
}
