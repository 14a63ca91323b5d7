use super::hearing::Hearing;
use crate::TimeMs;

/// The pauses between reports for which a host must hear the others before it trusts what it knows.
///
/// In the first one they tell what they have spent, in the next ones what is asked of them now.
const SETTLE_PAUSES: u64 = 2;
/// The part of the hosts that it must hear; a fleet that is cut in two settles in neither half.
const SETTLE_PART: f64 = 0.5;
/// How many hosts there may be before the list of them is known.
const UNLISTED_HOSTS: usize = 8;

/// Whether a host that has started knows what the others spend.
///
/// It knows nothing of what was spent before its life, and what the others spend now it hears only
/// some reports later. If every host of a fleet that was restarted took that for nothing spent, each
/// would spend the whole rate until the reports have come round. So a host takes
/// its equal part until a host that knows more has told it, or until it has heard the others for a
/// while.
///
/// ```
/// use lycheeford_policy::{Hearing, Settling, TimeMs};
///
/// let hearing = Hearing { part: 1.0, hosts: 10, pause_ms: 250, is_new_fleet: false };
/// let mut settling = Settling::default();
/// settling.listed();
/// settling.watch(TimeMs::from_ms(0), &hearing);
/// assert_eq!(settling.limit(hearing).part, 0.1);
/// settling.watch(TimeMs::from_ms(500), &hearing);
/// assert_eq!(settling.limit(hearing).part, 1.0);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Settling {
    is_listed: bool,
    is_settled: bool,
    /// Since when it has heard enough of the others.
    heard_since: Option<TimeMs>,
}

impl Settling {
    /// Takes in that the list of hosts is known.
    pub fn listed(&mut self) {
        self.is_listed = true;
    }

    /// Takes in that a host told all that it counts, and whether it is settled itself.
    pub fn heard(&mut self, is_sender_settled: bool) {
        self.is_settled |= is_sender_settled;
    }

    /// Returns whether this host knows what the others spend.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Takes in how well this host hears the others; to be called with each round of reports.
    pub fn watch(&mut self, now: TimeMs, hearing: &Hearing) {
        if hearing.part < SETTLE_PART {
            self.heard_since = None;
        } else if self.is_listed {
            let since = *self.heard_since.get_or_insert(now);
            self.is_settled |= now.since_ms(since) >= SETTLE_PAUSES * hearing.pause_ms;
        }
    }

    /// Returns how much a host may rely on what it hears: no more than its equal part until it
    /// is settled.
    pub fn limit(&self, hearing: Hearing) -> Hearing {
        if self.is_settled {
            return hearing;
        }
        let hosts = if self.is_listed { hearing.hosts } else { hearing.hosts.max(UNLISTED_HOSTS) };
        Hearing { part: hearing.part.min(1.0 / hosts as f64), ..hearing }
    }
}
