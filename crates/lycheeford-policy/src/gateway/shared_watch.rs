use crate::TimeMs;

/// How long a host that lacks a change waits for the others to tell it before it asks itself.
const CATCH_UP_MS: u64 = 600;

/// The part of the time until a target that leaves must be left alone for which a host relies on
/// others; in the rest it asks the store, which may refuse it once.
const RELY_PART: f64 = 0.65;

/// What the hosts tell each other of changes in the store, so that few must ask for them.
///
/// Entries of targets change with every load and every beat; only some of those
/// changes matter to a host that doesn't give orders. The hosts that watch the
/// store closely tell the others those that do, and how long ago they asked. A host
/// that lacks a change for a while asks the store, and so does one whose news are too old: it
/// may be the only one that still hears the store.
///
/// ```
/// use lycheeford_policy::{SharedWatch, TimeMs};
///
/// let mut watch = SharedWatch::default();
/// watch.asked(TimeMs::from_ms(100), 7, 7);
/// assert!(watch.may_rest(TimeMs::from_ms(200), 1_500));
/// watch.heard(TimeMs::from_ms(300), 7, 9, Some(TimeMs::from_ms(280)));
/// assert!(!watch.may_rest(TimeMs::from_ms(1_000), 1_500), "a change is still unknown");
/// assert!(!watch.may_rest(TimeMs::from_ms(1_700), 1_500), "the news are too old");
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct SharedWatch {
    /// The newest revision that matters, as far as is known.
    changed: u64,
    /// The revision up to which this host knows all that matters.
    known: u64,
    /// The last moment of which this host knows all that matters.
    asked_at: Option<TimeMs>,
    /// Since when it lacks a change.
    behind_since: Option<TimeMs>,
}

impl SharedWatch {
    /// Returns how old news may get if a target that leaves must be left alone after
    /// `target_leave_ms`.
    pub fn news_ms_max(target_leave_ms: u64) -> u64 {
        (target_leave_ms as f64 * RELY_PART) as u64
    }

    /// Takes in that the store was asked at `as_of` and told of all up to `known`.
    pub fn asked(&mut self, as_of: TimeMs, known: u64, changed: u64) {
        self.known = self.known.max(known);
        self.changed = self.changed.max(changed);
        self.asked_at = self.asked_at.max(Some(as_of));
        if self.known >= self.changed {
            self.behind_since = None;
        }
    }

    /// Takes in what another host knows, after its changes: this one now knows all up to `known`.
    ///
    /// `as_of` is a moment before which the other one surely had asked, by this host's clock.
    pub fn heard(&mut self, now: TimeMs, known: u64, changed: u64, as_of: Option<TimeMs>) {
        self.known = self.known.max(known);
        self.changed = self.changed.max(changed);
        if self.known >= self.changed {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
        // Who lacks a change doesn't know all of that moment.
        if self.known >= changed {
            self.asked_at = self.asked_at.max(as_of);
        }
    }

    /// Returns whether this host needn't ask, since its news are younger than `news_ms_max`.
    pub fn may_rest(&self, now: TimeMs, news_ms_max: u64) -> bool {
        let is_young = self.age_ms(now).is_some_and(|age_ms| age_ms < news_ms_max);
        let is_behind = self.behind_since.is_some_and(|since| now.since_ms(since) >= CATCH_UP_MS);
        is_young && !is_behind
    }

    /// Returns the revision of the last change that matters.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Returns the last moment of which this host knows all that matters.
    pub fn asked_at(&self) -> Option<TimeMs> {
        self.asked_at
    }

    /// Returns how long ago that was.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.asked_at.map(|at| now.since_ms(at))
    }
}
