use super::permit::PermitRank;
use super::short_key::ShortKey;
use super::target_entry::TargetState;
use crate::TimeMs;

/// How long a leaving target still receives requests that no other target can serve.
const LEAVING_USE_MS: u64 = 700;
/// Minimum remaining notice of a leaving target for it to receive such requests.
const LEAVING_REMAINING_MS_MIN: u64 = 2_000;
/// How long a host announces that a target is leaving. Each host that receives the announcement
/// repeats it for the same time.
const ANNOUNCE_MS: u64 = 5_000;

/// Limit, in requests per second and slot, below which a target counts as rate-constrained. One
/// request takes up to 2 s, so a slot can serve at least this rate.
const CONSTRAINED_PER_SLOT_S: f64 = 0.5;

/// Source of the information that a target is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingSource {
    /// The target's entry in the list of targets.
    Entry,
    /// An answer from the target to this host.
    Answer,
    /// A report from another host.
    Peer,
}

/// Identifies one life (process incarnation) of a target in messages between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetLife {
    /// Key of the target's id.
    pub target: ShortKey,
    /// The life. Recorded state does not apply to a later life under the same id.
    pub life: u64,
}

/// Which requests a host may send to a target now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetUse {
    /// Any request.
    Free,
    /// Only requests that no other target can serve: the target announced only recently that it is
    /// leaving.
    LastResort,
    /// No request until `until`: the target asked this host to pause.
    Paused {
        /// When the pause ends.
        until: TimeMs,
    },
    /// No request: the target is leaving.
    Never,
}

/// Whether one life of a target accepts work, as far as this host knows, and from which sources.
///
/// Every sender consults this state, whatever the source of the information: the list of targets,
/// an answer of the target itself, or another host. A source that does not yet know that the target
/// is leaving never reverts this; only a new life starts with a fresh state. A pause applies only
/// between the target and the host that received the answer. See docs/DESIGN.md.
///
/// ```
/// use lycheeford_policy::{LeavingSource, TargetBelief, TargetUse, TimeMs};
///
/// let mut belief = TargetBelief::default();
/// belief.pause(TimeMs::from_ms(0), 400);
/// let until = TimeMs::from_ms(400);
/// assert_eq!(belief.use_at(TimeMs::from_ms(399)), TargetUse::Paused { until });
/// assert_eq!(belief.use_at(until), TargetUse::Free);
/// belief.leaves(until, LeavingSource::Answer);
/// assert_eq!(belief.use_at(until), TargetUse::LastResort);
/// assert_eq!(belief.use_at(TimeMs::from_ms(1_100)), TargetUse::Never);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TargetBelief {
    /// Sources that reported the target as leaving, with the time at which this host first learnt
    /// it. Sorted; at most one entry per source.
    leaving: Vec<(LeavingSource, TimeMs)>,
    /// Remaining time until the target is gone, according to its entry.
    remaining_ms: Option<u64>,
    /// End of the period in which a leaving target serves as the last resort.
    use_until: Option<TimeMs>,
    paused_until: TimeMs,
    limit: Option<AnnouncedLimit>,
}

/// The rate limit that a target accepts from all hosts together, as known to this host.
#[derive(Debug, Clone, PartialEq)]
struct AnnouncedLimit {
    per_s: f64,
    /// When this host first learnt of this limit.
    announced_at: TimeMs,
    /// Rank of the last denied permit, and the time until which no permit of the same or a less
    /// urgent rank is requested.
    denied: Option<(PermitRank, TimeMs)>,
}

impl TargetBelief {
    /// Records the state in the target's entry; a leaving target must not be used after `leave_by`.
    ///
    /// The deadline is passed in because this host may read an entry long after it changed.
    pub fn record_entry_state(&mut self, now: TimeMs, state: TargetState, leave_by: TimeMs) {
        match state {
            TargetState::Ready => {
                self.leaving.retain(|(source, _)| *source != LeavingSource::Entry);
                self.remaining_ms = None;
                if self.leaving.is_empty() {
                    self.use_until = None;
                }
            }
            TargetState::Leaving { remaining_ms } => {
                self.remaining_ms = remaining_ms;
                self.leaves(now, LeavingSource::Entry);
                self.use_until = self.use_until.map(|until| until.min(leave_by));
            }
        }
    }

    /// Records that the target is leaving; returns whether no source had reported this before.
    pub fn leaves(&mut self, now: TimeMs, source: LeavingSource) -> bool {
        let is_changed = self.leaving.is_empty();
        if let Err(index) = self.leaving.binary_search_by_key(&source, |(source, _)| *source) {
            self.leaving.insert(index, (source, now));
        }
        self.use_until.get_or_insert(now + LEAVING_USE_MS);
        is_changed
    }

    /// Records that the target asked this host to send nothing for `pause_ms`.
    pub fn pause(&mut self, now: TimeMs, pause_ms: u64) {
        self.paused_until = self.paused_until.max(now + pause_ms);
    }

    /// Records the limit, or its absence, that the target announced in the answer to a request sent
    /// at `sent_at`; returns whether it changed.
    ///
    /// Answers can arrive out of order. An answer whose request was sent before the current limit
    /// was received may be older than that limit, so it may lower the limit but neither raises nor
    /// ends it.
    pub fn record_limit(&mut self, now: TimeMs, per_s: Option<f64>, sent_at: TimeMs) -> bool {
        if let Some(known) = &self.limit {
            let may_be_older = sent_at < known.announced_at;
            let is_lower = per_s.is_some_and(|per_s| per_s < known.per_s);
            if per_s == Some(known.per_s) || (may_be_older && !is_lower) {
                return false;
            }
        }
        let is_changed = self.limit.is_some() || per_s.is_some();
        let denied = self.limit.take().and_then(|known| known.denied);
        self.limit = per_s.map(|per_s| AnnouncedLimit { per_s, announced_at: now, denied });
        is_changed
    }

    /// Returns the limit in requests per second over all hosts, and when this host first learnt of
    /// it, if the target announced one.
    pub fn limit(&self) -> Option<(f64, TimeMs)> {
        self.limit.as_ref().map(|limit| (limit.per_s, limit.announced_at))
    }

    /// Records that a permit was denied, which also holds until `until` for permits that are not
    /// more urgent.
    pub fn permit_denied(&mut self, now: TimeMs, rank: PermitRank, until: TimeMs) {
        let is_covered = self.denied_until(now, rank).is_some();
        if let Some(limit) = self.limit.as_mut().filter(|_| !is_covered) {
            limit.denied = Some((rank, until));
        }
    }

    /// Returns the time until which no permit of this rank is requested, if a recent denial covers
    /// it.
    pub fn denied_until(&self, now: TimeMs, rank: PermitRank) -> Option<TimeMs> {
        let (denied, until) = self.limit.as_ref()?.denied?;
        (rank >= denied && now < until).then_some(until)
    }

    /// Returns whether the limit is lower than the rate that the target's slots could serve.
    pub(super) fn is_short(&self, slots: u32) -> bool {
        let constrained_per_s = f64::from(slots) * CONSTRAINED_PER_SLOT_S;
        self.limit.as_ref().is_some_and(|limit| limit.per_s < constrained_per_s)
    }

    /// Returns whether any source reported that the target is leaving.
    pub fn is_leaving(&self) -> bool {
        !self.leaving.is_empty()
    }

    /// Returns whether the target asked this host for a pause that has not ended.
    pub fn is_paused(&self, now: TimeMs) -> bool {
        now < self.paused_until
    }

    /// Returns the sources that reported the target as leaving, and when this host first learnt it.
    pub fn leaving(&self) -> &[(LeavingSource, TimeMs)] {
        &self.leaving
    }

    /// Returns which requests this host may send to the target at `now`.
    pub fn use_at(&self, now: TimeMs) -> TargetUse {
        let is_last_resort = self.use_until.is_some_and(|until| now < until)
            && self.remaining_ms.is_none_or(|ms| ms >= LEAVING_REMAINING_MS_MIN);
        if self.is_leaving() && !is_last_resort {
            TargetUse::Never
        } else if self.is_paused(now) {
            TargetUse::Paused { until: self.paused_until }
        } else if is_last_resort {
            TargetUse::LastResort
        } else {
            TargetUse::Free
        }
    }

    /// Returns whether other hosts should be notified that the target is leaving.
    pub(super) fn is_announcement_due(&self, now: TimeMs) -> bool {
        self.leaving_since().is_some_and(|at| now.since_ms(at) < ANNOUNCE_MS)
    }

    /// Returns whether any state must be kept although the target's entry is missing.
    pub(super) fn has_state_beyond_entry(&self, now: TimeMs) -> bool {
        self.is_paused(now)
            || self.limit.is_some()
            || self.leaving.iter().any(|(source, _)| *source != LeavingSource::Entry)
    }

    /// Returns since when this host knows that the target is leaving.
    pub(super) fn leaving_since(&self) -> Option<TimeMs> {
        self.leaving.iter().map(|(_, at)| *at).min()
    }

    /// Returns whether the target is gone at a set time, whatever it runs then.
    pub(super) fn has_set_end(&self) -> bool {
        self.remaining_ms.is_some()
    }
}
