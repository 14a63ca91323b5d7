use crate::TimeMs;

/// The time at which this host last knew that its declaration was the newest one.
///
/// A withdrawn key must stop working also on a host that is partitioned, so requests with a key are
/// served only while the confirmation is recent. Its age counts from the moment of the query, since
/// the answer may have been buffered while the host was paused.
///
/// ```
/// use lycheeford_policy::{Confirmation, TimeMs};
///
/// let mut confirmation = Confirmation::default();
/// confirmation.confirm(7, TimeMs::from_ms(1_000));
/// assert!(confirmation.confirms(7, 500, TimeMs::from_ms(1_499)));
/// assert!(!confirmation.confirms(7, 500, TimeMs::from_ms(1_500)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmation {
    revision: u64,
    asked_at: Option<TimeMs>,
    /// The revision confirmed before this one, which is in force until the new one is adopted.
    previous: Option<(u64, TimeMs)>,
    /// The newest revision known to exist.
    newest: u64,
    /// The least number that the operators gave to a declaration that may be confirmed.
    declared_min: u64,
}

impl Confirmation {
    /// Records that `revision` was the newest at some moment after `asked_at`.
    pub fn confirm(&mut self, revision: u64, asked_at: TimeMs) {
        if revision < self.newest {
            return;
        }
        if revision > self.revision {
            let previous = self.asked_at.map(|asked_at| (self.revision, asked_at));
            *self = Confirmation {
                revision,
                asked_at: Some(asked_at),
                previous,
                newest: revision,
                ..*self
            };
        } else if revision == self.revision {
            self.asked_at = self.asked_at.max(Some(asked_at));
        }
    }

    /// Records that the declaration of `revision` has another one since the store was restored.
    pub fn written_again(&mut self, revision: u64, new_revision: u64) {
        if self.revision == revision {
            self.previous = self.asked_at.map(|asked_at| (revision, asked_at));
            self.revision = new_revision;
            self.newest = self.newest.max(new_revision);
        }
    }

    /// Records that `revision` exists; an older revision can no longer be confirmed.
    pub fn superseded_by(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
        if revision > self.revision {
            self.asked_at = None;
            self.previous = None;
        }
    }

    /// Records that the operators have declared `number`, as another host knows; a declaration with
    /// a lower number, like this host's with `own_number`, can't be confirmed: the store may have
    /// been restored from a copy that lacks the newer one.
    pub fn require_declared(&mut self, own_number: u64, number: u64) {
        self.declared_min = self.declared_min.max(number);
        if own_number < self.declared_min {
            self.asked_at = None;
            self.previous = None;
        }
    }

    /// Returns whether a declaration to which the operators gave this number may be confirmed.
    pub fn may_confirm(&self, number: u64) -> bool {
        number >= self.declared_min
    }

    /// Returns the revision that was last confirmed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the age of the confirmation in milliseconds, or `None` without one.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.asked_at.map(|at| now.since_ms(at))
    }

    /// Returns whether `revision` was confirmed less than `age_ms_max` ago.
    ///
    /// A new revision is confirmed before it is adopted, so this holds for the one before it, too,
    /// until its own confirmation is too old.
    pub fn confirms(&self, revision: u64, age_ms_max: u64, now: TimeMs) -> bool {
        let is_recent = |asked_at: TimeMs| now.since_ms(asked_at) < age_ms_max;
        (self.revision == revision && self.asked_at.is_some_and(is_recent))
            || self
                .previous
                .is_some_and(|(previous, asked_at)| previous == revision && is_recent(asked_at))
    }
}
