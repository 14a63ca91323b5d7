use crate::TimeMs;

/// How old the news of the others may be before a host asks the store itself.
///
/// A target that leaves must get no new request two seconds after the store
/// said so, also from a host that hears the store alone.
const NEWS_MS_MAX: u64 = 1_300;

/// What the hosts tell each other of changes in the store, so that few must ask for them.
///
/// Entries of targets change with every load and every beat; only some of those
/// changes matter to a host that doesn't give orders. The hosts that watch the
/// store closely tell the others the revision of the last one that does. A host
/// that hears of a newer one asks the store at once, and one that hears nothing
/// for a while asks as if it were alone.
///
/// ```
/// use lycheeford_policy::{SharedWatch, TimeMs};
///
/// let mut watch = SharedWatch::default();
/// watch.asked(TimeMs::from_ms(100), 7, 7);
/// assert!(watch.may_rest(TimeMs::from_ms(200)));
/// watch.heard(9, Some(TimeMs::from_ms(280)));
/// assert!(!watch.may_rest(TimeMs::from_ms(300)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct SharedWatch {
    /// The newest revision that matters, as far as is known.
    changed: u64,
    /// The revision up to which this host has asked.
    known: u64,
    /// When anybody last asked.
    asked_at: Option<TimeMs>,
}

impl SharedWatch {
    /// Takes in that the store was asked at `as_of` and told of all up to `known`.
    pub fn asked(&mut self, as_of: TimeMs, known: u64, changed: u64) {
        self.known = self.known.max(known);
        self.changed = self.changed.max(changed);
        self.asked_at = self.asked_at.max(Some(as_of));
    }

    /// Takes in what another host knows.
    ///
    /// `as_of` is a moment before which the other one surely had asked, by this host's clock.
    pub fn heard(&mut self, changed: u64, as_of: Option<TimeMs>) {
        self.changed = self.changed.max(changed);
        self.asked_at = self.asked_at.max(as_of);
    }

    /// Returns whether this host knows all that matters, and others ask for more.
    pub fn may_rest(&self, now: TimeMs) -> bool {
        let is_young = self.age_ms(now).is_some_and(|age_ms| age_ms < NEWS_MS_MAX);
        is_young && self.known >= self.changed
    }

    /// Returns the revision of the last change that matters.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Returns how long ago anybody asked.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.asked_at.map(|at| now.since_ms(at))
    }
}
