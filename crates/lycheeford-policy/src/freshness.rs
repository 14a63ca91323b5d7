use crate::{Name, TimeMs};

/// How long a configuration counts as current after it was confirmed.
pub const KEY_STALENESS_MS_MAX: u64 = 3_000;

/// Whether calls that need an API key may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationState {
    /// The configuration was confirmed recently, or it is known that no daemon can have changed it.
    Fresh,
    /// A withdrawn key may still be valid in this configuration; calls that need a key are refused.
    Stale,
}

/// Tracks how recently the configuration in force on this host is known to have been current.
///
/// A confirmation is an answer of the platform's service that shows the revision of the head
/// object. Its time is when the request for it was sent. Calls that need a key are served for
/// [`KEY_STALENESS_MS_MAX`] after any of these events:
///
/// 1. This daemon confirmed a revision that is in force on this host.
/// 2. A peer confirmed such a revision; the time is that of the peer's confirmation.
/// 3. A majority of the listed live entry hosts, including this host, answered, and no newer
///    revision was ever seen. The service is then down for that majority, and a daemon that cannot
///    write accepts no withdrawal of a key.
///
/// Not covered: a minority that alone reaches the service may accept a withdrawal that the majority
/// learns of only after the network partition ends. Refusing calls in that case would turn every
/// outage of the service into an outage of the product.
///
/// ```
/// use lycheeford_policy::{ConfigurationState, Freshness, KEY_STALENESS_MS_MAX, TimeMs};
///
/// let mut freshness = Freshness::new("a".into());
/// let now = TimeMs::from_ms(10_000);
/// freshness.set_revision_in_force(7);
/// freshness.confirm(now, 7);
/// assert_eq!(freshness.state(now + KEY_STALENESS_MS_MAX), ConfigurationState::Fresh);
/// assert_eq!(freshness.state(now + KEY_STALENESS_MS_MAX + 1), ConfigurationState::Stale);
/// ```
#[derive(Debug, Clone)]
pub struct Freshness {
    own_host: Name,
    revision: u64,
    newest_seen: u64,
    confirmed_at: Option<TimeMs>,
    /// When the revision in force was last current, by a confirmation of this daemon or a peer.
    current_at: Option<TimeMs>,
    /// The listed live entry hosts including this host, sorted.
    members: Vec<Name>,
    /// For each other member that answered, when the last answered request to it was sent; sorted
    /// by host.
    answered: Vec<(Name, TimeMs)>,
}

impl Freshness {
    /// Returns the state of a daemon without any confirmation.
    pub fn new(me: Name) -> Freshness {
        Freshness {
            own_host: me,
            revision: 0,
            newest_seen: 0,
            confirmed_at: None,
            current_at: None,
            members: Vec::new(),
            answered: Vec::new(),
        }
    }

    /// Sets the listed live entry hosts, of which a majority is counted.
    pub fn set_entry_hosts(&mut self, hosts: &[Name]) {
        self.members = hosts.to_vec();
        self.members.push(self.own_host.clone());
        self.members.sort_unstable();
        self.members.dedup();
        self.answered.retain(|(host, _)| self.members.binary_search(host).is_ok());
    }

    /// Records the revision in force on this host; an older revision changes nothing.
    pub fn set_revision_in_force(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.newest_seen = self.newest_seen.max(revision);
    }

    /// Records that the service, in answer to a request sent at `asked_at`, showed `revision` as
    /// the head.
    ///
    /// A revision that is not yet in force on this host confirms nothing. Neither does a revision
    /// older than the newest seen, which is a stale read.
    pub fn confirm(&mut self, asked_at: TimeMs, revision: u64) {
        self.newest_seen = self.newest_seen.max(revision);
        if self.is_newest(revision) {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
            self.current_at = self.current_at.max(Some(asked_at));
        }
    }

    /// Records the answer of a peer to a request sent at `asked_at`.
    ///
    /// `confirmed_age_ms` is how long ago the peer itself had confirmed `revision`, the revision in
    /// force at the peer; `None` if it never had.
    pub fn record_peer_confirmation(
        &mut self,
        asked_at: TimeMs,
        host: &Name,
        confirmed_age_ms: Option<u64>,
        revision: u64,
    ) {
        self.newest_seen = self.newest_seen.max(revision);
        if self.is_newest(revision) {
            let confirmed_at =
                confirmed_age_ms.and_then(|age_ms| asked_at.as_ms().checked_sub(age_ms));
            self.current_at = self.current_at.max(confirmed_at.map(TimeMs::from_ms));
        }
        if *host == self.own_host || self.members.binary_search(host).is_err() {
            return;
        }
        match self.answered.binary_search_by(|(known, _)| known.cmp(host)) {
            Ok(index) => self.answered[index].1 = self.answered[index].1.max(asked_at),
            Err(index) => self.answered.insert(index, (host.clone(), asked_at)),
        }
    }

    /// Returns whether the newest revision that this daemon has seen is in force on this host.
    pub fn has_newest_revision(&self) -> bool {
        self.newest_seen <= self.revision
    }

    /// Returns how long ago this daemon confirmed its revision, to be reported to peers.
    pub fn confirmed_age_ms(&self, now: TimeMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since_ms(at))
    }

    /// Returns whether calls that need a key may be served at `now`.
    pub fn state(&self, now: TimeMs) -> ConfigurationState {
        let is_recent = |at: TimeMs| now.since_ms(at) <= KEY_STALENESS_MS_MAX;
        let reached = self.answered.iter().filter(|(_, asked_at)| is_recent(*asked_at)).count();
        let is_majority = 2 * (reached + 1) > self.members.len() && !self.members.is_empty();
        let is_newest = self.revision > 0 && self.has_newest_revision();
        if self.current_at.is_some_and(is_recent) || (is_majority && is_newest) {
            ConfigurationState::Fresh
        } else {
            ConfigurationState::Stale
        }
    }

    fn is_newest(&self, revision: u64) -> bool {
        revision == self.revision && revision == self.newest_seen
    }
}
