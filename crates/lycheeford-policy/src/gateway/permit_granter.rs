use super::host_table::PeerState;
use super::peer_visibility::PeerVisibility;
use super::permit::{PermitAnswer, PermitAsk, PermitRank};
use super::target_belief::TargetLife;
use crate::{Name, TimeMs, rendezvous_owner};

const MS_PER_S: f64 = 1_000.0;
/// Minimum permit rate. A target that receives no requests cannot report that its limit has ended.
const PROBE_PER_S: f64 = 0.2;
/// Capacity of the permit bucket, in seconds of the limit, and its minimum in permits.
const BURST_S: f64 = 0.25;
const BURST_MIN: f64 = 2.0;
/// Permits that must be available before a request that another target can serve gets one. The
/// remainder is reserved for requests that only this target can serve.
const SPARE_PERMITS_MIN: f64 = 2.0;
/// Combined rate, in requests per second, at which hosts with only spare requests should ask for
/// permits.
const SPARE_REQUESTS_PER_S: f64 = 50.0;
/// Longest wait that is returned to a host.
const WAIT_MS_MAX: f64 = 60_000.0;
/// How long a limit that no host has mentioned is retained, and how many limits are tracked at
/// most.
const RETENTION_MS: u64 = 600_000;
const TRACKED_LIMITS_MAX: usize = 1_024;

/// Returns which of the live `hosts` grants the permits of a limited target. Draining hosts are
/// candidates only if all hosts are draining.
///
/// Whether a host accepts callers is irrelevant: while the store is unavailable, it can happen that
/// no host does.
pub fn permit_granter(target: TargetLife, hosts: &[(Name, PeerState)]) -> Option<&Name> {
    let key = format!("limit/{:08x}/{}", target.target.0, target.life);
    let is_not_draining = |state: PeerState| state != PeerState::Draining;
    let has_not_draining = hosts.iter().any(|(_, state)| is_not_draining(*state));
    let candidates = hosts.iter().filter(|(_, state)| is_not_draining(*state) || !has_not_draining);
    rendezvous_owner(&key, candidates.map(|(host, _)| host))
}

/// Grants permits for requests to rate-limited targets, on behalf of all hosts.
///
/// An overloaded target announces how many requests per second it accepts from all hosts together.
/// Dividing one request per second among hundreds of hosts would serve nobody; if every host used
/// the whole limit, all of them would send before they received each other's reports. Therefore one
/// host, which every host computes with [`permit_granter`], grants permits, each for one request and
/// in order of rank. The bucket starts empty, so that a host that takes over grants nothing twice.
/// The host grants only the fraction of the rate that matches the fraction of hosts whose reports
/// it receives, so that the two halves of a partitioned fleet together stay within one rate. See
/// docs/DESIGN.md.
///
/// ```
/// use std::net::SocketAddr;
///
/// use lycheeford_policy::{
///     PeerVisibility, PermitGranter, PermitAnswer, PermitAsk, PermitRank, ShortKey, TargetLife, TimeMs,
/// };
///
/// let target = TargetLife { target: ShortKey::of("t1"), life: 1 };
/// let visibility = PeerVisibility { part: 1.0, hosts: 8, pause_ms: 250, is_new_fleet: false };
/// let mut granter = PermitGranter::default();
/// granter.record_limit(TimeMs::from_ms(0), target, Some(2.0), TimeMs::from_ms(0));
/// let ask = PermitAsk {
///     asker: SocketAddr::from(([127, 0, 0, 1], 7_600)),
///     number: 1,
///     rank: PermitRank::Needed { priority: 0 },
///     patience_ms: 800,
/// };
/// granter.ask(TimeMs::from_ms(0), target, 2.0, TimeMs::from_ms(0), ask);
/// assert_eq!(granter.answers(TimeMs::from_ms(0), &visibility), []);
/// assert_eq!(granter.next_at(&visibility), Some(TimeMs::from_ms(500)));
/// let granted = PermitAnswer::Granted { per_s: 2.0 };
/// assert_eq!(granter.answers(TimeMs::from_ms(500), &visibility), [(ask, granted)]);
/// ```
#[derive(Debug, Default)]
pub struct PermitGranter {
    /// Sorted by target.
    limits: Vec<TrackedLimit>,
}

/// A rate limit with the requests that wait for its permits.
#[derive(Debug)]
struct TrackedLimit {
    target: TargetLife,
    /// Limit in requests per second, or `None` once the target no longer announces one.
    per_s: Option<f64>,
    announced_at: TimeMs,
    /// Permits that are available now.
    available_permits: f64,
    refilled_at: TimeMs,
    /// When a host last mentioned the limit.
    mentioned_at: TimeMs,
    /// Sorted by rank, then by arrival.
    waiting: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    ask: PermitAsk,
    give_up_at: TimeMs,
}

impl PermitGranter {
    /// Records the limit, or its absence, that a target announced in the answer to a request sent
    /// at `sent_at`.
    ///
    /// Returns whether all hosts should be notified that the target is now limited, or no longer
    /// limited. Follows the same rule as
    /// [`TargetBelief::record_limit`](crate::TargetBelief::record_limit).
    pub fn record_limit(
        &mut self,
        now: TimeMs,
        target: TargetLife,
        per_s: Option<f64>,
        sent_at: TimeMs,
    ) -> bool {
        let index = match self.position(target) {
            Ok(index) => index,
            // No host was notified of a limit that is unknown here.
            Err(_) if per_s.is_none() => return false,
            Err(index) => {
                self.insert(index, TrackedLimit::new(now, target, per_s));
                return true;
            }
        };
        let limit = &mut self.limits[index];
        limit.mentioned_at = now;
        let may_be_older = sent_at < limit.announced_at;
        let is_lower = per_s.is_some_and(|new| limit.per_s.is_none_or(|known| new < known));
        if per_s == limit.per_s || (may_be_older && !is_lower) {
            return false;
        }
        let is_changed = per_s.is_some() != limit.per_s.is_some();
        if is_changed {
            // Permits that accumulated, or were missing, before the change do not apply to the new
            // state.
            limit.available_permits = 0.0;
            limit.refilled_at = now;
        }
        limit.per_s = per_s;
        limit.announced_at = now;
        is_changed
    }

    /// Queues a permit request of a host that has believed since `known_since` that the target
    /// accepts `per_s` requests per second.
    pub fn ask(
        &mut self,
        now: TimeMs,
        target: TargetLife,
        per_s: f64,
        known_since: TimeMs,
        ask: PermitAsk,
    ) {
        let index = match self.position(target) {
            Ok(index) => index,
            Err(index) => self.insert(index, TrackedLimit::new(now, target, Some(per_s))),
        };
        let limit = &mut self.limits[index];
        limit.mentioned_at = now;
        if limit.per_s.is_none() && known_since > limit.announced_at {
            // The notification from the host that saw the target announce a new limit was lost.
            let waiting = std::mem::take(&mut limit.waiting);
            *limit = TrackedLimit { waiting, ..TrackedLimit::new(now, target, Some(per_s)) };
        }
        // A host repeats its request if no answer arrives; the first copy already holds its
        // position in the queue.
        let is_same =
            |other: &Waiting| (other.ask.asker, other.ask.number) == (ask.asker, ask.number);
        if limit.waiting.iter().any(is_same) {
            return;
        }
        let index = limit.waiting.partition_point(|other| other.ask.rank <= ask.rank);
        limit.waiting.insert(index, Waiting { ask, give_up_at: now + ask.patience_ms });
    }

    /// Returns the answers that are due, each with its request.
    pub fn answers(
        &mut self,
        now: TimeMs,
        visibility: &PeerVisibility,
    ) -> Vec<(PermitAsk, PermitAnswer)> {
        self.limits.retain(|limit| now.since_ms(limit.mentioned_at) < RETENTION_MS);
        self.limits.iter_mut().flat_map(|limit| limit.answers(now, visibility)).collect()
    }

    /// Returns when the next permit becomes available to a waiting request.
    pub fn next_at(&self, visibility: &PeerVisibility) -> Option<TimeMs> {
        let limits_with_waiters = self.limits.iter().filter(|limit| !limit.waiting.is_empty());
        limits_with_waiters.filter_map(|limit| limit.next_at(visibility)).min()
    }

    fn insert(&mut self, index: usize, limit: TrackedLimit) -> usize {
        if self.limits.len() < TRACKED_LIMITS_MAX {
            self.limits.insert(index, limit);
            return index;
        }
        // Evict the limit that has not been mentioned for the longest time; its hosts will report
        // it again.
        let oldest = (0..self.limits.len()).min_by_key(|index| self.limits[*index].mentioned_at);
        let oldest = oldest.unwrap_or_default();
        self.limits.remove(oldest);
        let index = index - usize::from(oldest < index);
        self.limits.insert(index, limit);
        index
    }

    fn position(&self, target: TargetLife) -> Result<usize, usize> {
        self.limits.binary_search_by_key(&target, |limit| limit.target)
    }
}

impl TrackedLimit {
    fn new(now: TimeMs, target: TargetLife, per_s: Option<f64>) -> TrackedLimit {
        TrackedLimit {
            target,
            per_s,
            announced_at: now,
            available_permits: 0.0,
            refilled_at: now,
            mentioned_at: now,
            waiting: Vec::new(),
        }
    }

    fn answers(
        &mut self,
        now: TimeMs,
        visibility: &PeerVisibility,
    ) -> Vec<(PermitAsk, PermitAnswer)> {
        let Some(per_s) = self.per_s else {
            let waiting = std::mem::take(&mut self.waiting).into_iter();
            return waiting.map(|waiting| (waiting.ask, PermitAnswer::Unlimited)).collect();
        };
        let refill_per_ms = rate_per_ms(per_s, visibility);
        let burst = (per_s * BURST_S).max(BURST_MIN);
        let refilled = refill_per_ms * now.since_ms(self.refilled_at) as f64;
        self.available_permits = (self.available_permits + refilled).min(burst);
        self.refilled_at = now;

        let mut answers = Vec::new();
        let mut ahead = 0_u32;
        for waiting in std::mem::take(&mut self.waiting) {
            let Waiting { ask, give_up_at } = waiting;
            let is_first = ahead == 0;
            let permits_needed =
                if ask.rank == PermitRank::Spare { SPARE_PERMITS_MIN } else { 1.0 };
            // Clocks have millisecond resolution, so a permit that becomes available within the
            // next millisecond counts as available.
            if is_first && self.available_permits + refill_per_ms >= permits_needed {
                self.available_permits -= 1.0;
                answers.push((ask, PermitAnswer::Granted { per_s }));
                continue;
            }
            let missing = f64::from(ahead) + permits_needed - self.available_permits;
            let wait_ms = (missing / refill_per_ms).clamp(1.0, WAIT_MS_MAX).ceil() as u64;
            if ask.rank != PermitRank::Spare && now + wait_ms <= give_up_at {
                ahead += 1;
                self.waiting.push(Waiting { ask, give_up_at });
                continue;
            }
            let wait_ms = match ask.rank {
                PermitRank::Needed { .. } => wait_ms,
                PermitRank::Spare => wait_ms.max(spare_retry_pause_ms(visibility)),
            };
            answers.push((ask, PermitAnswer::Denied { per_s, wait_ms }));
        }
        answers
    }

    fn next_at(&self, visibility: &PeerVisibility) -> Option<TimeMs> {
        let per_ms = rate_per_ms(self.per_s?, visibility);
        let wait_ms =
            ((1.0 - self.available_permits) / per_ms).clamp(0.0, WAIT_MS_MAX).ceil() as u64;
        Some(self.refilled_at + wait_ms)
    }
}

/// Returns the rate, in permits per millisecond, that a host with this visibility of its peers may
/// grant.
fn rate_per_ms(per_s: f64, visibility: &PeerVisibility) -> f64 {
    let part = visibility.part.clamp(1.0 / visibility.hosts.max(1) as f64, 1.0);
    per_s.max(PROBE_PER_S) * part / MS_PER_S
}

/// Returns how long a host pauses before its next spare request after one was denied.
fn spare_retry_pause_ms(visibility: &PeerVisibility) -> u64 {
    (visibility.hosts as f64 / SPARE_REQUESTS_PER_S * MS_PER_S) as u64
}
