use crate::TimeMs;

/// When this host last knew that its declaration was the newest one.
///
/// A key that was withdrawn must stop working also on a host that is cut off,
/// so keyed requests are served only while the confirmation is young. The age
/// counts from the moment at which the question was asked, since the answer
/// may have lain in a buffer while the host was paused.
///
/// ```
/// use lycheeford_policy::{Confirmation, TimeMs};
///
/// let mut confirmation = Confirmation::default();
/// confirmation.confirm(7, TimeMs::from_ms(1_000));
/// assert!(confirmation.is_younger_than(500, TimeMs::from_ms(1_499)));
/// assert!(!confirmation.is_younger_than(500, TimeMs::from_ms(1_500)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmation {
    revision: u64,
    asked_at: Option<TimeMs>,
    /// The newest revision that is known to exist.
    newest: u64,
}

impl Confirmation {
    /// Takes in that `revision` was the newest at some moment after `asked_at`.
    pub fn confirm(&mut self, revision: u64, asked_at: TimeMs) {
        if revision < self.newest {
            return;
        }
        if revision > self.revision {
            *self = Confirmation { revision, asked_at: Some(asked_at), newest: revision };
        } else if revision == self.revision {
            self.asked_at = self.asked_at.max(Some(asked_at));
        }
    }

    /// Takes in that `revision` exists; an older one can't be confirmed any more.
    pub fn superseded_by(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
        if revision > self.revision {
            self.asked_at = None;
        }
    }

    /// Returns the revision that was last confirmed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the age of the confirmation, or `None` without one.
    pub fn age_ms(&self, now: TimeMs) -> Option<u64> {
        self.asked_at.map(|at| now.since_ms(at))
    }

    /// Returns whether there is a confirmation younger than `age_ms_max`.
    pub fn is_younger_than(&self, age_ms_max: u64, now: TimeMs) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms < age_ms_max)
    }
}
