use std::net::SocketAddr;

use super::hearing::Hearing;
use super::report_layout::{DIRECT_HOSTS_MAX, PartnerRole, ReportLayout};
use super::shared_bucket::LONG_CUT_MS;
use super::short_key::ShortKey;
use crate::{Name, TimeMs};

/// How long a host that was seen counts as alive at least.
pub const PEER_ALIVE_MS: u64 = 1_500;
/// The pause between two reports to the same host.
const REPORT_MS: u64 = 250;
/// The time between reports for each host that one reports to, so that it doesn't cost more.
const REPORT_MS_PER_PARTNER: u64 = 7;
/// The pauses after which a host may have spent what wasn't heard.
const HEARD_PAUSES: f64 = 1.6;
/// The pauses after which a silent host isn't alive.
const ALIVE_PAUSES: u64 = 4;
/// The pauses after which a silent relay is replaced; it counts as dead only later.
const RELAY_PAUSES: u64 = 4;
/// How much later than unheard a host counts as dead.
const ALIVE_HEARD: u64 = 2;
/// The reports that a sign passes through in a fleet that reports by relays.
const RELAYED_HOPS: u64 = 3;
/// How long a silent host still counts among those that may spend a rate.
pub const PEER_MAY_LIVE_MS: u64 = 12_000;
/// For how long others are told all of a host that has just appeared, not only that it lives.
const INTRODUCE_MS: u64 = 3_000;

/// How a host can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// The host.
    pub host: Name,
    /// Where it takes reports.
    pub peer_address: SocketAddr,
    /// Where it takes callers.
    pub caller_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Name,
}

/// Whether a host takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// It doesn't know enough yet.
    Starting,
    /// It does.
    Ready,
    /// It finishes what it has and goes.
    Draining,
}

/// A sign of life of one host, passed on by another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSign {
    /// The host.
    pub key: ShortKey,
    /// Whether it takes callers.
    pub state: PeerState,
    /// How long ago it reported.
    pub age_ms: u64,
    /// How to reach it, if it appeared only lately.
    pub record: Option<HostRecord>,
}

/// Another host, as far as this one knows.
#[derive(Debug, Clone)]
pub struct KnownHost {
    /// How to reach it.
    pub record: HostRecord,
    /// Whether it takes callers.
    pub state: PeerState,
    /// When it last reported to any host, or `None` if the store alone lists it.
    pub seen_at: Option<TimeMs>,
    /// When it last reported to this one.
    reported_at: Option<TimeMs>,
    appeared_at: TimeMs,
    is_listed: bool,
}

/// The other hosts: who lives, who takes callers, and who reports to whom.
#[derive(Debug)]
pub struct HostTable {
    me: HostRecord,
    /// Sorted by name.
    hosts: Vec<KnownHost>,
}

impl HostTable {
    /// Returns the table of a host that knows no other.
    pub fn new(me: HostRecord) -> HostTable {
        HostTable { me, hosts: Vec::new() }
    }

    /// Takes in that a host reported; returns whether it is new, or in a new state.
    pub fn saw(&mut self, now: TimeMs, record: &HostRecord, state: PeerState) -> bool {
        let is_news = self.take(now, now, record, state);
        if let Ok(index) = self.position(&record.host) {
            self.hosts[index].reported_at = Some(now);
        }
        is_news
    }

    /// Takes in signs of life that another host passes on; returns the hosts with news.
    pub fn take_signs(&mut self, now: TimeMs, signs: &[HostSign]) -> Vec<Name> {
        let mut news = Vec::new();
        for sign in signs {
            let known = self.hosts.iter().find(|host| ShortKey::of(&host.record.host) == sign.key);
            let record = sign.record.clone().or_else(|| known.map(|host| host.record.clone()));
            // One that isn't known yet is introduced soon, or found in the store.
            let Some(record) = record else { continue };
            if self.take(now, now - sign.age_ms, &record, sign.state) {
                news.push(record.host);
            }
        }
        news
    }

    fn take(
        &mut self,
        now: TimeMs,
        seen_at: TimeMs,
        record: &HostRecord,
        state: PeerState,
    ) -> bool {
        if record.host == self.me.host {
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
                let is_news = !was_alive || host.state != state;
                if !was_alive {
                    host.appeared_at = now;
                }
                host.record.clone_from(record);
                host.state = state;
                host.seen_at = Some(seen_at);
                is_news
            }
        }
    }

    /// Takes in which hosts the store lists; others are forgotten once they are silent for long.
    pub fn listed(&mut self, now: TimeMs, records: &[HostRecord]) {
        for host in &mut self.hosts {
            host.is_listed = records.iter().any(|record| record.host == host.record.host);
        }
        for record in records.iter().filter(|record| record.host != self.me.host) {
            if let Err(index) = self.position(&record.host) {
                let host = KnownHost {
                    record: record.clone(),
                    state: PeerState::Starting,
                    seen_at: None,
                    reported_at: None,
                    appeared_at: now,
                    is_listed: true,
                };
                self.hosts.insert(index, host);
            }
        }
        self.hosts.retain(|host| {
            let is_seen = host.seen_at.is_some_and(|at| now.since_ms(at) < PEER_MAY_LIVE_MS);
            host.is_listed || is_seen
        });
    }

    /// Returns what to tell another host of those that are alive.
    ///
    /// A relay tells other relays only of members that report to itself. Signs
    /// that went round would look younger each time.
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
            let is_new = now.since_ms(host.appeared_at) < INTRODUCE_MS;
            (age_ms < self.alive_ms()).then(|| HostSign {
                key: ShortKey::of(&host.record.host),
                state: host.state,
                age_ms,
                record: is_new.then(|| host.record.clone()),
            })
        };
        self.hosts.iter().filter_map(sign).collect()
    }

    /// Returns the host called `name`.
    pub fn host(&self, name: &str) -> Option<&KnownHost> {
        self.position(name).ok().map(|index| &self.hosts[index])
    }

    /// Returns how many hosts there are as far as this one knows, itself included.
    pub fn count(&self) -> usize {
        1 + self.hosts.len()
    }

    /// Returns the hosts that reported lately to any host.
    pub fn alive(&self, now: TimeMs) -> impl Iterator<Item = &KnownHost> {
        let alive_ms = self.alive_ms();
        self.hosts.iter().filter(move |host| is_seen(host, now, alive_ms))
    }

    /// Returns whether the host called `name` reported lately to any host.
    pub fn is_alive(&self, now: TimeMs, name: &str) -> bool {
        self.host(name).is_some_and(|host| is_seen(host, now, self.alive_ms()))
    }

    /// Returns where the listed hosts take reports that aren't known to live.
    pub fn strangers(&self, now: TimeMs) -> Vec<SocketAddr> {
        let alive_ms = self.alive_ms();
        let is_silent = |host: &&KnownHost| host.is_listed && !is_seen(host, now, alive_ms);
        self.hosts.iter().filter(is_silent).map(|host| host.record.peer_address).collect()
    }

    /// Returns who reports to whom, as this host sees it.
    pub fn layout(&self, now: TimeMs) -> ReportLayout {
        let is_fresh = |host: &KnownHost| {
            is_seen(host, now, self.heard_ms().max(self.report_ms() * RELAY_PAUSES))
        };
        // Hosts that are listed count also while they are silent, so that all form the same cells.
        let others: Vec<(&Name, &Name, bool)> = self
            .hosts
            .iter()
            .map(|host| (&host.record.failure_domain, &host.record.host, is_fresh(host)))
            .collect();
        ReportLayout::new(&self.me.host, &self.me.failure_domain, &others)
    }

    /// Returns how well this host hears the spending of all that may live, itself included.
    pub fn hearing(&self, now: TimeMs) -> Hearing {
        let seen_within =
            |limit_ms: u64| self.hosts.iter().filter(|host| is_seen(host, now, limit_ms)).count();
        let heard = 1 + seen_within(self.heard_ms());
        // Who hears only a few is rather cut off than one of the few that are left.
        let is_cut_off = heard * 2 < self.count();
        let may_live = if !is_cut_off {
            1 + seen_within(PEER_MAY_LIVE_MS)
        } else if self.is_given_up(now) {
            // All that are given up together take no more than one host's part.
            self.count() * self.count()
        } else {
            self.count()
        };
        Hearing {
            part: heard as f64 / may_live as f64,
            hosts: self.count(),
            pause_ms: self.report_ms() * self.hops(),
            is_new_fleet: false,
        }
    }

    /// Returns whether this host has heard nobody for so long that the others count it as gone.
    ///
    /// They have taken over its part of each rate.
    fn is_given_up(&self, now: TimeMs) -> bool {
        let last_seen_at = self.hosts.iter().filter_map(|host| host.seen_at).max();
        last_seen_at.is_some_and(|at| now.since_ms(at) >= PEER_MAY_LIVE_MS)
    }

    /// Returns the pause between two reports to the same host.
    pub fn report_ms(&self) -> u64 {
        let partners = (2.0 * (self.count() as f64).sqrt()).ceil() as u64;
        REPORT_MS.max(REPORT_MS_PER_PARTNER * partners)
    }

    /// Returns from which silence on what a host spent isn't counted afterwards.
    ///
    /// A bucket counts a shorter cut as lost reports; both draw the same line.
    pub fn long_silence_ms(&self) -> u64 {
        self.heard_ms() + LONG_CUT_MS
    }

    /// Forgets a host that is known to be gone.
    pub fn forget(&mut self, name: &str) {
        if let Ok(index) = self.position(name) {
            self.hosts.remove(index);
        }
    }

    /// Returns whether hosts report through relays, since not each can report to every other one.
    pub fn reports_by_relays(&self) -> bool {
        self.count() > DIRECT_HOSTS_MAX
    }

    fn hops(&self) -> u64 {
        if self.reports_by_relays() { RELAYED_HOPS } else { 1 }
    }

    /// Returns how long a silence stands for no more than a late report.
    fn heard_ms(&self) -> u64 {
        ((self.report_ms() * self.hops()) as f64 * HEARD_PAUSES) as u64
    }

    fn alive_ms(&self) -> u64 {
        PEER_ALIVE_MS.max(ALIVE_PAUSES * self.report_ms()).max(ALIVE_HEARD * self.heard_ms())
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.hosts.binary_search_by(|host| host.record.host.as_str().cmp(name))
    }
}

fn is_seen(host: &KnownHost, now: TimeMs, limit_ms: u64) -> bool {
    host.seen_at.is_some_and(|at| now.since_ms(at) < limit_ms)
}
