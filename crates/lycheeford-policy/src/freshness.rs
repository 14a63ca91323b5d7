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

/// How recently the configuration in force here is known to have been current.
///
/// A confirmation is an answer of the platform's service that shows the head
/// object's revision. It counts from when the question was sent. Keyed calls
/// go on for [`KEY_STALENESS_MS_MAX`] after any of these:
///
/// 1. this daemon confirmed a revision that is in force here;
/// 2. a peer did, as of when it did;
/// 3. a majority of the listed live entry hosts, this one counted, answered,
///    and no newer revision was ever seen. Then the service is down for that
///    majority, and a daemon that can't write accepts no withdrawal.
///
/// Not covered: a minority that alone reaches the service may accept a
/// withdrawal that the majority learns of only after the cut. Refusing there
/// would turn every outage of the service into an outage of the product.
///
/// ```
/// use lycheeford_policy::{ConfigurationState, Freshness, KEY_STALENESS_MS_MAX, TimeMs};
///
/// let mut freshness = Freshness::new("a".into());
/// let now = TimeMs::from_ms(10_000);
/// freshness.in_force(7);
/// freshness.confirm(now, 7);
/// assert_eq!(freshness.state(now + KEY_STALENESS_MS_MAX), ConfigurationState::Fresh);
/// assert_eq!(freshness.state(now + KEY_STALENESS_MS_MAX + 1), ConfigurationState::Stale);
/// ```
#[derive(Debug, Clone)]
pub struct Freshness {
    me: Name,
    revision: u64,
    newest_seen: u64,
    confirmed_at: Option<TimeMs>,
    /// When the revision in force was current, by anyone's confirmation.
    current_at: Option<TimeMs>,
    /// The listed live entry hosts, sorted, this one included.
    members: Vec<Name>,
    /// When each other member that answered was asked last, sorted by host.
    answered: Vec<(Name, TimeMs)>,
}

impl Freshness {
    /// Returns the state of a daemon that has confirmed nothing.
    pub fn new(me: Name) -> Freshness {
        Freshness {
            me,
            revision: 0,
            newest_seen: 0,
            confirmed_at: None,
            current_at: None,
            members: Vec::new(),
            answered: Vec::new(),
        }
    }

    /// Takes over the listed live entry hosts, the majority's measure.
    pub fn set_entry_hosts(&mut self, hosts: &[Name]) {
        self.members = hosts.to_vec();
        self.members.push(self.me.clone());
        self.members.sort_unstable();
        self.members.dedup();
        self.answered.retain(|(host, _)| self.members.binary_search(host).is_ok());
    }

    /// Takes in the revision in force here; it only moves forward.
    pub fn in_force(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.newest_seen = self.newest_seen.max(revision);
    }

    /// Takes in that the service, asked at `asked_at`, showed `revision` as the head.
    ///
    /// A revision that isn't in force here yet confirms nothing, and neither
    /// does one older than the newest seen, which is a stale read.
    pub fn confirm(&mut self, asked_at: TimeMs, revision: u64) {
        self.newest_seen = self.newest_seen.max(revision);
        if self.is_newest(revision) {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
            self.current_at = self.current_at.max(Some(asked_at));
        }
    }

    /// Takes in the answer of a peer that was asked at `asked_at`.
    ///
    /// `confirmed_age_ms` is how long ago the peer itself had confirmed
    /// `revision`, its own, if it ever had.
    pub fn peer_report(
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
        if *host == self.me || self.members.binary_search(host).is_err() {
            return;
        }
        match self.answered.binary_search_by(|(known, _)| known.cmp(host)) {
            Ok(index) => self.answered[index].1 = self.answered[index].1.max(asked_at),
            Err(index) => self.answered.insert(index, (host.clone(), asked_at)),
        }
    }

    /// Tells whether the newest revision seen anywhere is in force here.
    pub fn has_newest(&self) -> bool {
        self.newest_seen <= self.revision
    }

    /// Returns how long ago this daemon confirmed its revision, to be told to peers.
    pub fn confirmed_age_ms(&self, now: TimeMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since_ms(at))
    }

    /// Tells whether keyed calls may be served at `now`.
    pub fn state(&self, now: TimeMs) -> ConfigurationState {
        let is_recent = |at: TimeMs| now.since_ms(at) <= KEY_STALENESS_MS_MAX;
        let reached = self.answered.iter().filter(|(_, asked_at)| is_recent(*asked_at)).count();
        let is_majority = 2 * (reached + 1) > self.members.len() && !self.members.is_empty();
        let is_newest = self.revision > 0 && self.has_newest();
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
