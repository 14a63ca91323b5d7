use std::net::SocketAddr;

use super::peer_visibility::PeerVisibility;
use super::report_layout::{DIRECT_HOSTS_MAX, PartnerRole, ReportLayout};
use super::shared_bucket::LONG_PARTITION_MS;
use super::short_key::ShortKey;
use super::target_table::HostPlace;
use crate::{Name, TimeMs};

/// Minimum time for which a host counts as alive after a report.
pub const PEER_ALIVE_MS: u64 = 1_500;
/// Minimum interval between two reports to the same host.
const REPORT_MS: u64 = 250;
/// Minimum report interval per partner, so that the cost of reporting does not grow with the number
/// of partners.
const REPORT_MS_PER_PARTNER: u64 = 7;
/// Report intervals without a report after which a host may have spent units that were not
/// reported.
const LATE_PAUSES: f64 = 1.6;
/// Report intervals without a report after which a host no longer counts as alive.
const ALIVE_PAUSES: u64 = 4;
/// Report intervals without a report after which a relay is replaced; it counts as dead only later.
const RELAY_SILENT_PAUSES: u64 = 4;
/// Factor between the silence after which spending counts as unreported and the one after which the
/// host counts as dead.
const ALIVE_PER_LATE: u64 = 2;
/// Number of reports that a sign of life passes through in a fleet that reports through relays.
const RELAYED_REPORT_HOPS: u64 = 3;
/// How long a silent host still counts among those that may spend a rate.
pub const PEER_MAY_BE_ALIVE_MS: u64 = 12_000;
/// How long other hosts receive the full record of a host that has just appeared, not only its sign
/// of life.
const FULL_RECORD_MS: u64 = 3_000;

/// Addresses and failure domain of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// Name of the host.
    pub host: Name,
    /// Address at which the host receives reports.
    pub peer_address: SocketAddr,
    /// Address at which the host accepts callers.
    pub caller_address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: Name,
}

/// Whether a host accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Not yet: the host lacks required information.
    Starting,
    /// The host accepts callers.
    Ready,
    /// The host reaches no target although others do. It passes requests on to them, but callers
    /// should use other addresses.
    CutOff,
    /// The host finishes its running requests and then stops.
    Draining,
}

/// A sign of life of one host, passed on by another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSign {
    /// Key of the host's name.
    pub key: ShortKey,
    /// Whether the host accepts callers.
    pub state: PeerState,
    /// Time since the host last reported.
    pub age_ms: u64,
    /// Record of the host, if it appeared only recently.
    pub record: Option<HostRecord>,
}

/// Another host, as known to this one.
#[derive(Debug, Clone)]
pub struct KnownHost {
    /// Addresses and failure domain of the host.
    pub record: HostRecord,
    /// Whether the host accepts callers.
    pub state: PeerState,
    /// When the host last reported to any host, or `None` if it is known only from the store's
    /// list.
    pub seen_at: Option<TimeMs>,
    /// When the host last reported to this one.
    reported_at: Option<TimeMs>,
    /// When the host last sent a message that this host doesn't understand.
    unread_at: Option<TimeMs>,
    appeared_at: TimeMs,
    is_listed: bool,
}

/// The other hosts: which are alive, which accept callers, and which report to each other.
#[derive(Debug)]
pub struct HostTable {
    own_record: HostRecord,
    /// Sorted by name.
    hosts: Vec<KnownHost>,
}

impl HostTable {
    /// Returns the table of a host that knows no other host.
    pub fn new(own_record: HostRecord) -> HostTable {
        HostTable { own_record, hosts: Vec::new() }
    }

    /// Records a report of a host; returns whether the host is new, is alive again or changed its
    /// state.
    pub fn record_report(&mut self, now: TimeMs, record: &HostRecord, state: PeerState) -> bool {
        let is_changed = self.update(now, now, record, state);
        if let Ok(index) = self.position(&record.host) {
            self.hosts[index].reported_at = Some(now);
        }
        is_changed
    }

    /// Returns the listed hosts that haven't been heard, although there was no time for it yet.
    pub fn expected(&self, now: TimeMs) -> impl Iterator<Item = &KnownHost> {
        let is_expected = move |host: &&KnownHost| {
            host.is_listed
                && host.seen_at.is_none()
                && now.since_ms(host.appeared_at) < PEER_ALIVE_MS
        };
        self.hosts.iter().filter(is_expected)
    }

    /// Records that a message came from a host's peer address which this host doesn't understand.
    ///
    /// A host with another build may live without being understood. It counts as one that spends
    /// without reporting, not as gone, so that the others don't take its part of the rates.
    pub fn record_unread(&mut self, now: TimeMs, peer_address: SocketAddr) {
        let hosts = self.hosts.iter_mut();
        for host in hosts.filter(|host| host.record.peer_address == peer_address) {
            host.unread_at = Some(now);
        }
    }

    /// Returns whether a host recently sent a message that this host doesn't understand.
    pub fn is_unread(&self, now: TimeMs, name: &str) -> bool {
        self.position(name).is_ok_and(|index| is_unread(&self.hosts[index], now))
    }

    /// Applies signs of life passed on by another host; returns the hosts that are new, are alive
    /// again or changed their state.
    pub fn merge_signs(&mut self, now: TimeMs, signs: &[HostSign]) -> Vec<Name> {
        let mut changed = Vec::new();
        for sign in signs {
            let known = self.hosts.iter().find(|host| ShortKey::of(&host.record.host) == sign.key);
            let record = sign.record.clone().or_else(|| known.map(|host| host.record.clone()));
            // The record of an unknown host arrives soon, in a sign of life or from the store.
            let Some(record) = record else { continue };
            if self.update(now, now - sign.age_ms, &record, sign.state) {
                changed.push(record.host);
            }
        }
        changed
    }

    fn update(
        &mut self,
        now: TimeMs,
        seen_at: TimeMs,
        record: &HostRecord,
        state: PeerState,
    ) -> bool {
        if record.host == self.own_record.host {
            return false;
        }
        let alive_ms = self.alive_ms();
        match self.position(&record.host) {
            Err(index) => {
                let host = KnownHost {
                    record: record.clone(),
                    state,
                    seen_at: Some(seen_at),
                    reported_at: None,
                    unread_at: None,
                    appeared_at: now,
                    is_listed: false,
                };
                self.hosts.insert(index, host);
                true
            }
            Ok(index) => {
                let host = &mut self.hosts[index];
                if host.seen_at.is_some_and(|at| at >= seen_at) {
                    return false;
                }
                let was_alive = host.seen_at.is_some_and(|at| now.since_ms(at) < alive_ms);
                let is_changed = !was_alive || host.state != state;
                if !was_alive {
                    host.appeared_at = now;
                }
                host.record.clone_from(record);
                host.state = state;
                host.seen_at = Some(seen_at);
                is_changed
            }
        }
    }

    /// Records the hosts that the store lists; other hosts are removed after a long silence.
    pub fn listed(&mut self, now: TimeMs, records: &[HostRecord]) {
        for host in &mut self.hosts {
            host.is_listed = records.iter().any(|record| record.host == host.record.host);
        }
        for record in records.iter().filter(|record| record.host != self.own_record.host) {
            if let Err(index) = self.position(&record.host) {
                let host = KnownHost {
                    record: record.clone(),
                    state: PeerState::Starting,
                    seen_at: None,
                    reported_at: None,
                    unread_at: None,
                    appeared_at: now,
                    is_listed: true,
                };
                self.hosts.insert(index, host);
            }
        }
        self.hosts.retain(|host| {
            let is_seen = host.seen_at.is_some_and(|at| now.since_ms(at) < PEER_MAY_BE_ALIVE_MS);
            host.is_listed || is_seen
        });
    }

    /// Returns the records of all hosts that the store lists, and of this one.
    pub fn listed_records(&self) -> impl Iterator<Item = &HostRecord> {
        let others = self.hosts.iter().filter(|host| host.is_listed).map(|host| &host.record);
        others.chain([&self.own_record])
    }

    /// Returns the place of this host among all listed ones.
    pub fn place(&self) -> HostPlace {
        let index = self.listed_records().filter(|host| host.host < self.own_record.host).count();
        HostPlace { index, count: self.listed_records().count() }
    }

    /// Returns the signs of life of live hosts to report to another host.
    ///
    /// A relay reports to other relays only the members that report to itself. Signs that travelled
    /// in a circle would look younger each time.
    pub fn signs(
        &self,
        now: TimeMs,
        layout: &ReportLayout,
        to: Option<PartnerRole>,
    ) -> Vec<HostSign> {
        let sign = |host: &KnownHost| {
            let seen_at = match to {
                Some(PartnerRole::Member) | None => host.seen_at,
                Some(PartnerRole::Equal) => {
                    let is_member = layout.role(&host.record.host) == Some(PartnerRole::Member);
                    host.reported_at.filter(|_| is_member)
                }
                Some(PartnerRole::Relay) => None,
            };
            let age_ms = now.since_ms(seen_at?);
            let is_new = now.since_ms(host.appeared_at) < FULL_RECORD_MS;
            (age_ms < self.alive_ms()).then(|| HostSign {
                key: ShortKey::of(&host.record.host),
                state: host.state,
                age_ms,
                record: is_new.then(|| host.record.clone()),
            })
        };
        self.hosts.iter().filter_map(sign).collect()
    }

    /// Returns the host with this `name`.
    pub fn host(&self, name: &str) -> Option<&KnownHost> {
        self.position(name).ok().map(|index| &self.hosts[index])
    }

    /// Returns the number of known hosts, including this one.
    pub fn count(&self) -> usize {
        1 + self.hosts.len()
    }

    /// Returns the hosts that recently reported to any host.
    pub fn alive(&self, now: TimeMs) -> impl Iterator<Item = &KnownHost> {
        let alive_ms = self.alive_ms();
        self.hosts.iter().filter(move |host| is_seen(host, now, alive_ms))
    }

    /// Returns whether the host with this `name` recently reported to any host.
    pub fn is_alive(&self, now: TimeMs, name: &str) -> bool {
        self.host(name).is_some_and(|host| is_seen(host, now, self.alive_ms()))
    }

    /// Returns the report addresses of listed hosts that are not known to be alive.
    pub fn silent_addresses(&self, now: TimeMs) -> Vec<SocketAddr> {
        let alive_ms = self.alive_ms();
        let is_silent = |host: &&KnownHost| host.is_listed && !is_seen(host, now, alive_ms);
        self.hosts.iter().filter(is_silent).map(|host| host.record.peer_address).collect()
    }

    /// Returns the reporting layout as seen by this host.
    pub fn layout(&self, now: TimeMs) -> ReportLayout {
        let is_fresh = |host: &KnownHost| {
            is_seen(host, now, self.late_report_ms().max(self.report_ms() * RELAY_SILENT_PAUSES))
        };
        // Listed hosts count even while they are silent, so that all hosts form the same cells.
        let others: Vec<(&Name, &Name, bool)> = self
            .hosts
            .iter()
            .map(|host| (&host.record.failure_domain, &host.record.host, is_fresh(host)))
            .collect();
        ReportLayout::new(&self.own_record.host, &self.own_record.failure_domain, &others)
    }

    /// Returns how much of the spending of all possibly live hosts, including this one, is visible
    /// here.
    pub fn visibility(&self, now: TimeMs) -> PeerVisibility {
        let seen_within =
            |limit_ms: u64| self.hosts.iter().filter(|host| is_seen(host, now, limit_ms)).count();
        let visible = 1 + seen_within(self.late_report_ms());
        // A host that receives reports from only a few hosts is more likely partitioned than one of
        // a few survivors.
        let is_partitioned = visible * 2 < self.count();
        let possibly_alive = if !is_partitioned {
            let may_be_alive = |host: &&KnownHost| {
                is_seen(host, now, PEER_MAY_BE_ALIVE_MS) || is_unread(host, now)
            };
            1 + self.hosts.iter().filter(may_be_alive).count()
        } else if self.is_presumed_gone(now) {
            // All hosts that are presumed gone together use no more than the fraction of one host.
            self.count() * self.count()
        } else {
            self.count()
        };
        PeerVisibility {
            part: visible as f64 / possibly_alive as f64,
            hosts: self.count(),
            pause_ms: self.report_ms() * self.report_hops(),
            is_new_fleet: false,
        }
    }

    /// Returns whether this host has received no report for so long that the others count it as
    /// gone.
    ///
    /// They have taken over its fraction of each rate.
    fn is_presumed_gone(&self, now: TimeMs) -> bool {
        let last_seen_at = self.hosts.iter().filter_map(|host| host.seen_at).max();
        last_seen_at.is_some_and(|at| now.since_ms(at) >= PEER_MAY_BE_ALIVE_MS)
    }

    /// Returns the interval between two reports to the same host.
    pub fn report_ms(&self) -> u64 {
        let partners = (2.0 * (self.count() as f64).sqrt()).ceil() as u64;
        REPORT_MS.max(REPORT_MS_PER_PARTNER * partners)
    }

    /// Returns the length of a silence from which on the silent host's spending is not counted
    /// afterwards.
    ///
    /// A bucket treats a shorter partition as lost reports; both must use the same threshold.
    pub fn long_silence_ms(&self) -> u64 {
        self.late_report_ms() + LONG_PARTITION_MS
    }

    /// Removes a host that is known to be gone.
    pub fn forget(&mut self, name: &str) {
        if let Ok(index) = self.position(name) {
            self.hosts.remove(index);
        }
    }

    /// Returns whether hosts report through relays, since the fleet is too large for each host to
    /// report to every other one.
    pub fn reports_by_relays(&self) -> bool {
        self.count() > DIRECT_HOSTS_MAX
    }

    fn report_hops(&self) -> u64 {
        if self.reports_by_relays() { RELAYED_REPORT_HOPS } else { 1 }
    }

    /// Returns the longest silence that is attributed to a late report.
    fn late_report_ms(&self) -> u64 {
        ((self.report_ms() * self.report_hops()) as f64 * LATE_PAUSES) as u64
    }

    fn alive_ms(&self) -> u64 {
        PEER_ALIVE_MS
            .max(ALIVE_PAUSES * self.report_ms())
            .max(ALIVE_PER_LATE * self.late_report_ms())
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.hosts.binary_search_by(|host| host.record.host.as_str().cmp(name))
    }
}

fn is_seen(host: &KnownHost, now: TimeMs, limit_ms: u64) -> bool {
    host.seen_at.is_some_and(|at| now.since_ms(at) < limit_ms)
}

fn is_unread(host: &KnownHost, now: TimeMs) -> bool {
    host.unread_at.is_some_and(|at| now.since_ms(at) < PEER_MAY_BE_ALIVE_MS)
}
