use crate::{Name, TimeMs};

/// How long a configuration counts as current after it was confirmed.
pub const KEY_STALENESS_MS_MAX: u64 = 3_000;

/// Whether keyed calls may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationState {
    /// The configuration was confirmed lately, or nobody can have changed it.
    Fresh,
    /// A withdrawn key may still look valid here; keyed calls are refused.
    Stale,
}

/// How recently this daemon, or a peer that it reaches, confirmed its configuration.
///
/// A confirmation is an answer of the platform's service that shows the head
/// object's revision. It counts from when the question was sent. Three cases
/// keep keyed calls going for [`KEY_STALENESS_MS_MAX`] at a time:
///
/// 1. this daemon confirmed its own revision;
/// 2. a peer confirmed a revision that is no newer than the one in force here;
/// 3. a majority of the listed live entry hosts, this one counted, answered,
///    and none of them has a newer revision. Then the service is down for
///    that majority, and a daemon that can't write accepts no withdrawal.
///
/// Not covered: a minority that alone reaches the service may accept a
/// withdrawal that the majority learns of only after the cut. Refusing there
/// would turn every outage of the service into an outage of the product.
#[derive(Debug, Clone)]
pub struct Freshness {
    me: Name,
    revision: u64,
    confirmed_at: Option<TimeMs>,
    entry_hosts: Vec<Name>,
    /// Sorted by host.
    peers: Vec<PeerReport>,
}

#[derive(Debug, Clone)]
struct PeerReport {
    host: Name,
    asked_at: TimeMs,
    confirmed_at: Option<TimeMs>,
    revision: u64,
}

impl Freshness {
    /// Returns the state of a daemon that has confirmed nothing.
    pub fn new(me: Name) -> Freshness {
        Freshness {
            me,
            revision: 0,
            confirmed_at: None,
            entry_hosts: Vec::new(),
            peers: Vec::new(),
        }
    }

    /// Takes over the listed live entry hosts, the majority's measure.
    pub fn set_entry_hosts(&mut self, hosts: &[Name]) {
        self.entry_hosts = hosts.to_vec();
        self.entry_hosts.sort_unstable();
        self.entry_hosts.dedup();
        self.peers.retain(|peer| self.entry_hosts.binary_search(&peer.host).is_ok());
    }

    /// Takes in the revision in force here; it only moves forward.
    pub fn in_force(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes in that the service, asked at `asked_at`, showed `revision` as the head.
    ///
    /// A revision that isn't in force here yet confirms nothing.
    pub fn confirm(&mut self, asked_at: TimeMs, revision: u64) {
        if revision <= self.revision {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// Takes in the answer of a peer that was asked at `asked_at`.
    ///
    /// `confirmed_age_ms` is how long ago the peer had confirmed `revision` by
    /// its own clock, if it ever had.
    pub fn peer_report(
        &mut self,
        asked_at: TimeMs,
        host: &Name,
        confirmed_age_ms: Option<u64>,
        revision: u64,
    ) {
        if *host == self.me || self.entry_hosts.binary_search(host).is_err() {
            return;
        }
        let confirmed_at = confirmed_age_ms
            .and_then(|age_ms| asked_at.as_ms().checked_sub(age_ms))
            .map(TimeMs::from_ms);
        let report = PeerReport { host: host.clone(), asked_at, confirmed_at, revision };
        match self.peers.binary_search_by(|peer| peer.host.cmp(host)) {
            Ok(index) if self.peers[index].asked_at <= asked_at => self.peers[index] = report,
            Ok(_) => {}
            Err(index) => self.peers.insert(index, report),
        }
    }

    /// Returns how long ago the own revision was confirmed, to be told to peers.
    pub fn confirmed_age_ms(&self, now: TimeMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since_ms(at))
    }

    /// Tells whether keyed calls may be served at `now`.
    pub fn state(&self, now: TimeMs) -> ConfigurationState {
        let is_recent = |at: TimeMs| now.since_ms(at) <= KEY_STALENESS_MS_MAX;
        let reachable: Vec<&PeerReport> =
            self.peers.iter().filter(|peer| is_recent(peer.asked_at)).collect();
        if reachable.iter().any(|peer| peer.revision > self.revision) {
            return ConfigurationState::Stale;
        }
        let is_confirmed = self.confirmed_at.is_some_and(is_recent)
            || reachable.iter().any(|peer| peer.confirmed_at.is_some_and(is_recent));
        let is_majority = self.revision > 0 && 2 * (reachable.len() + 1) > self.entry_hosts.len();
        if is_confirmed || is_majority {
            ConfigurationState::Fresh
        } else {
            ConfigurationState::Stale
        }
    }
}
