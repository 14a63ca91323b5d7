use crate::TimeMs;
use crate::gateway::report_layout::PartnerRole;
use crate::gateway::short_key::ShortKey;

/// Time within which failures at several targets are one sign of a partition.
const SUSPICION_MS: u64 = 2_000;
/// Number of targets that must have failed before this host probes others.
const FAILING_TARGETS_MIN: usize = 2;
/// Minimum time between two probes.
const PROBE_PAUSE_MS: u64 = 400;
/// Time after the first failure from which an answer that another host got counts. It may be this
/// host's own last answer, reported back.
const ECHO_MARGIN_MS: u64 = 250;
/// Age up to which an answered probe shows that this host can open connections to targets.
const RECENT_PROBE_MS: u64 = 1_000;
/// Age up to which an own answer shows other hosts that targets can be reached.
const FRESH_ANSWER_MS: u64 = 500;
/// Age up to which an answer that another host got shows that targets can be reached.
const PEER_ANSWER_MS_MAX: u64 = 3_000;

/// Whether this host is cut off from all targets, while other hosts reach them.
///
/// Failures of requests do not tell a partition of this host from a crash of the targets. So failures
/// at several targets only start a probe of others over new connections, and the host is cut off if
/// no probe is answered although another host got an answer from a target since the first failure. If
/// all hosts fail, the targets are at fault and no host is cut off.
///
/// ```
/// use lycheeford_policy::{PartnerRole, ShortKey, TargetReach, TimeMs};
///
/// let at = TimeMs::from_ms;
/// let mut reach = TargetReach::default();
/// assert!(!reach.failed(at(1_000), ShortKey(1)));
/// assert!(reach.failed(at(1_100), ShortKey(2)), "a probe is due");
/// reach.heard(at(1_400), Some(PartnerRole::Equal), 30);
/// assert!(!reach.probed(at(1_500), false));
/// assert!(reach.is_cut_off(at(1_500)));
/// assert!(reach.probed(at(2_000), true), "the partition has ended");
/// assert!(!reach.is_cut_off(at(2_000)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct TargetReach {
    /// When a target last answered this host.
    answered_at: Option<TimeMs>,
    /// When a target last answered a host that reports to this one alone.
    member_answered_at: Option<TimeMs>,
    /// When a target last answered another host, according to the others.
    peer_answered_at: Option<TimeMs>,
    /// Targets at which requests failed, with the time of the last failure.
    failing: Vec<(ShortKey, TimeMs)>,
    /// When the first of these failures was recorded, unless a probe was answered since.
    failing_since: Option<TimeMs>,
    probed_at: Option<TimeMs>,
    probe_answered_at: Option<TimeMs>,
    has_failed_probe: bool,
}

impl TargetReach {
    /// Records that a target began to answer a request.
    pub fn answered(&mut self, now: TimeMs) {
        self.answered_at = Some(now);
    }

    /// Records that a request failed at a target, or that its answer is late; returns whether a
    /// probe is due.
    pub fn failed(&mut self, now: TimeMs, target: ShortKey) -> bool {
        self.failing.retain(|(_, at)| now.since_ms(*at) < SUSPICION_MS);
        if self.failing.is_empty() && !self.has_failed_probe {
            self.failing_since = Some(now);
        }
        self.failing.retain(|(other, _)| *other != target);
        self.failing.push((target, now));
        self.failing.len() >= FAILING_TARGETS_MIN && self.may_probe(now)
    }

    /// Returns whether the last probe failed, so that further ones follow.
    pub fn has_failed_probe(&self) -> bool {
        self.has_failed_probe
    }

    /// Returns whether a probe is due because another host lacks targets, and this one has had no
    /// answer from any just now.
    pub fn needs_answer(&self, now: TimeMs) -> bool {
        let is_fresh = |at: TimeMs| now.since_ms(at) < FRESH_ANSWER_MS;
        !self.answered_at.is_some_and(is_fresh) && self.may_probe(now)
    }

    /// Returns whether new connections to targets open, by the last probe; `None` if it is too old.
    pub fn opens_connections(&self, now: TimeMs) -> Option<bool> {
        if self.has_failed_probe {
            return Some(false);
        }
        let is_recent = |at: TimeMs| now.since_ms(at) < RECENT_PROBE_MS;
        self.probe_answered_at.is_some_and(is_recent).then_some(true)
    }

    /// Records that a probe starts.
    pub fn probe_started(&mut self, now: TimeMs) {
        self.probed_at = Some(now);
    }

    /// Records whether any target answered a probe; returns whether this is the first answered one
    /// after others that failed, so that earlier failures say nothing about the targets.
    pub fn probed(&mut self, now: TimeMs, is_answered: bool) -> bool {
        let had_failed_probe = std::mem::replace(&mut self.has_failed_probe, !is_answered);
        if is_answered {
            self.answered_at = Some(now);
            self.probe_answered_at = Some(now);
            self.failing.clear();
            self.failing_since = None;
        } else {
            // A probe that another host asked for may fail before any request does.
            self.failing_since = self.failing_since.or(self.probed_at);
        }
        is_answered && had_failed_probe
    }

    /// Records the report of a host that a target answered it, or a host that it reports for,
    /// `age_ms` ago.
    pub fn heard(&mut self, now: TimeMs, role: Option<PartnerRole>, age_ms: u64) {
        let known = match role {
            Some(PartnerRole::Member) => &mut self.member_answered_at,
            Some(PartnerRole::Equal | PartnerRole::Relay) | None => &mut self.peer_answered_at,
        };
        *known = (*known).max(Some(now - age_ms));
    }

    /// Returns how long ago a target last answered any host that this one reports for to a host
    /// with `role`.
    ///
    /// An answer is passed on one way only: its age would look younger each time it goes round.
    pub fn answer_age_ms(&self, now: TimeMs, role: Option<PartnerRole>) -> Option<u64> {
        let answered_at = match role {
            Some(PartnerRole::Member) => {
                self.answered_at.max(self.member_answered_at).max(self.peer_answered_at)
            }
            Some(PartnerRole::Equal) => self.answered_at.max(self.member_answered_at),
            Some(PartnerRole::Relay) | None => self.answered_at,
        };
        Some(now.since_ms(answered_at?))
    }

    /// Returns whether this host is cut off from all targets, while another host reaches them.
    pub fn is_cut_off(&self, now: TimeMs) -> bool {
        let peer_answered_at = self.peer_answered_at.max(self.member_answered_at);
        let (Some(failing_since), Some(peer_answered_at)) = (self.failing_since, peer_answered_at)
        else {
            return false;
        };
        self.has_failed_probe
            && peer_answered_at > failing_since + ECHO_MARGIN_MS
            && now.since_ms(peer_answered_at) < PEER_ANSWER_MS_MAX
    }

    fn may_probe(&self, now: TimeMs) -> bool {
        self.probed_at.is_none_or(|at| now.since_ms(at) >= PROBE_PAUSE_MS)
    }
}
