use crate::TimeMs;

/// How long a host that lacks a change waits to receive it from the others before it queries the
/// store itself.
const CATCH_UP_MS: u64 = 600;

/// Fraction of the time until a leaving target must not be used for which a host relies on others.
/// In the remaining time it queries the store, which may refuse one query.
const PEER_RELIANCE_PART: f64 = 0.65;

/// Freshness of the changes in the store that hosts share, so that few hosts must query for them.
///
/// Entries of targets change with every load and every heartbeat; only some of those changes matter
/// to a host that does not give orders. Hosts that watch the store closely report the relevant
/// changes to the others, and how long ago they queried. A host that lacks a change for a while
/// queries the store, and so does a host whose information is too old: it may be the only one that
/// can still reach the store.
///
/// ```
/// use lycheeford_policy::{SharedWatch, TimeMs};
///
/// let mut watch = SharedWatch::default();
/// watch.asked(TimeMs::from_ms(100), 7, 7);
/// assert!(watch.can_skip_query(TimeMs::from_ms(200), 1_500));
/// watch.heard(TimeMs::from_ms(300), 7, 9, Some(TimeMs::from_ms(280)));
/// assert!(!watch.can_skip_query(TimeMs::from_ms(1_000), 1_500), "a change is still unknown");
/// assert!(!watch.can_skip_query(TimeMs::from_ms(1_700), 1_500), "the information is too old");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct SharedWatch {
    /// The newest known revision with a relevant change.
    changed: u64,
    /// Revision up to which this host knows every relevant change.
    known: u64,
    /// The last moment up to which this host knows every relevant change.
    asked_at: Option<TimeMs>,
    /// Since when this host lacks a change.
    behind_since: Option<TimeMs>,
}

impl SharedWatch {
    /// Returns the maximum age of the information, if a target must not be used any more
    /// `target_leave_ms_max` after it began to leave.
    pub fn change_age_ms_max(target_leave_ms_max: u64) -> u64 {
        (target_leave_ms_max as f64 * PEER_RELIANCE_PART) as u64
    }

    /// Records that the store was queried at `as_of` and returned every change up to `known`.
    pub fn asked(&mut self, as_of: TimeMs, known: u64, changed: u64) {
        self.known = self.known.max(known);
        self.changed = self.changed.max(changed);
        self.asked_at = self.asked_at.max(Some(as_of));
        if self.known >= self.changed {
            self.behind_since = None;
        }
    }

    /// Records what another host knows, after its changes were applied: this host now knows every
    /// change up to `known`.
    ///
    /// `as_of` is a moment, by this host's clock, that is not later than the other host's query.
    pub fn heard(&mut self, now: TimeMs, known: u64, changed: u64, as_of: Option<TimeMs>) {
        self.known = self.known.max(known);
        self.changed = self.changed.max(changed);
        if self.known >= self.changed {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
        // A host that lacks a change does not know everything up to that moment.
        if self.known >= changed {
            self.asked_at = self.asked_at.max(as_of);
        }
    }

    /// Returns whether this host need not query the store, since its information is complete and
    /// younger than `age_ms_max`.
    pub fn can_skip_query(&self, now: TimeMs, age_ms_max: u64) -> bool {
        let is_recent = self.age_ms(now).is_some_and(|age_ms| age_ms < age_ms_max);
        let is_behind = self.behind_since.is_some_and(|since| now.since_ms(since) >= CATCH_UP_MS);
        is_recent && !is_behind
    }

    /// Returns the revision of the last relevant change.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Returns the last moment up to which this host knows every relevant change.
    pub fn asked_at(&self) -> Option<TimeMs> {
        self.asked_at
    }

    /// Returns the time since [`SharedWatch::asked_at`], or `None` if nothing is known yet.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.asked_at.map(|at| now.since_ms(at))
    }
}
