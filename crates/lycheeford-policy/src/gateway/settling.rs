use super::peer_visibility::PeerVisibility;
use crate::TimeMs;

/// Report intervals for which a host must receive the others' reports before it relies on them.
///
/// The first interval brings what the others have spent so far, the following ones bring the
/// current demand.
const SETTLE_PAUSES: u64 = 2;
/// Minimum fraction of the hosts whose reports must be received, so that neither half of a
/// partitioned fleet settles.
const SETTLE_PART: f64 = 0.5;
/// Assumed number of hosts before the list of hosts is known.
const ASSUMED_HOSTS: usize = 8;

/// Whether a host that has started knows what the other hosts spend.
///
/// A started host does not know what was spent before, and learns only some reports later what the
/// others spend now. If every host of a restarted fleet assumed that nothing was spent, each would
/// spend the whole rate until the reports have arrived everywhere. So a host uses only an equal
/// share of each rate until a settled host has reported to it, or until it has received the others'
/// reports for a while.
///
/// ```
/// use lycheeford_policy::{PeerVisibility, Settling, TimeMs};
///
/// let visibility = PeerVisibility { part: 1.0, hosts: 10, pause_ms: 250, is_new_fleet: false };
/// let mut settling = Settling::default();
/// settling.listed();
/// settling.watch(TimeMs::from_ms(0), &visibility);
/// assert_eq!(settling.limit(visibility).part, 0.1);
/// settling.watch(TimeMs::from_ms(500), &visibility);
/// assert_eq!(settling.limit(visibility).part, 1.0);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Settling {
    is_listed: bool,
    is_settled: bool,
    /// Since when the reports of enough hosts have been received.
    heard_since: Option<TimeMs>,
}

impl Settling {
    /// Records that the list of hosts is known.
    pub fn listed(&mut self) {
        self.is_listed = true;
    }

    /// Records that a host reported all its counts, and whether that host is settled.
    pub fn heard(&mut self, is_sender_settled: bool) {
        self.is_settled |= is_sender_settled;
    }

    /// Returns whether this host knows what the others spend.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Records from how many hosts reports arrive; must be called with each round of reports.
    pub fn watch(&mut self, now: TimeMs, visibility: &PeerVisibility) {
        if visibility.part < SETTLE_PART {
            self.heard_since = None;
        } else if self.is_listed {
            let since = *self.heard_since.get_or_insert(now);
            self.is_settled |= now.since_ms(since) >= SETTLE_PAUSES * visibility.pause_ms;
        }
    }

    /// Limits the visibility to an equal share per host until this host is settled.
    pub fn limit(&self, visibility: PeerVisibility) -> PeerVisibility {
        if self.is_settled {
            return visibility;
        }
        let hosts =
            if self.is_listed { visibility.hosts } else { visibility.hosts.max(ASSUMED_HOSTS) };
        PeerVisibility { part: visibility.part.min(1.0 / hosts as f64), ..visibility }
    }
}
