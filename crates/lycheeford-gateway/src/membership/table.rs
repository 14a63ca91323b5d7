use std::net::SocketAddr;

use lycheeford_policy::{
    HostRecord, HostTable, Name, PartnerRole, PeerState, PeerTable, ReportedLease, TimeMs,
    WantedName, rendezvous_rank,
};

use super::wire::Wants;

/// How long what a host wants stands without being told again.
const WANTS_MS: u64 = 1_500;
/// How often a host whose requests wait is told how long they will, without other news.
const TELL_MS: u64 = 200;
/// How old a lease that was told may be before nobody is taken for its holder.
const LEASE_MS_MAX: u64 = 10_000;
/// How many hosts watch the store for the others, where each hears every other one.
const WATCHERS: usize = 3;

/// The other hosts, what they told, and what they wait for.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) hosts: HostTable,
    pub(crate) peers: PeerTable,
    /// The lease with the last moment at which it may have been renewed.
    lease: Option<(ReportedLease, TimeMs)>,
    wants: Vec<Asker>,
}

/// A host whose requests wait for orders.
#[derive(Debug)]
pub(super) struct Asker {
    wants: Wants,
    asked_at: TimeMs,
    told_at: TimeMs,
}

impl Asker {
    /// Notes that the host is told now; returns where, and what placements it knows.
    pub(super) fn told(&mut self, now: TimeMs) -> (SocketAddr, (u64, u64)) {
        self.told_at = now;
        (self.wants.sender.peer_address, self.wants.placements_known)
    }
}

impl Membership {
    pub(crate) fn new(me: HostRecord) -> Membership {
        Membership {
            hosts: HostTable::new(me),
            peers: PeerTable::default(),
            lease: None,
            wants: Vec::new(),
        }
    }

    /// Takes in the lease as another host knows it.
    pub(super) fn heard_lease(&mut self, now: TimeMs, lease: &ReportedLease) {
        let renewed_at = now - lease.renewed_age_ms;
        let known = self.lease.as_ref().map(|(known, at)| (known.revision, *at));
        let is_news = match known {
            Some((revision, _)) if lease.revision < revision => false,
            // The way of a message makes it look younger; the oldest word is the true one.
            Some((revision, at)) if lease.revision == revision => renewed_at < at,
            _ => true,
        };
        if is_news {
            self.lease = Some((lease.clone(), renewed_at));
        }
    }

    /// Returns the lease as it is told to others.
    pub(crate) fn lease(&self, now: TimeMs) -> Option<ReportedLease> {
        let (lease, renewed_at) = self.lease.as_ref()?;
        let renewed_age_ms = now.since_ms(*renewed_at);
        (renewed_age_ms < LEASE_MS_MAX).then(|| ReportedLease { renewed_age_ms, ..lease.clone() })
    }

    /// Takes in what a host's requests wait for; returns whether it is due to be told something.
    pub(super) fn take_wants(&mut self, now: TimeMs, wants: Wants) -> bool {
        self.wants.retain(|asker| now.since_ms(asker.asked_at) < WANTS_MS);
        let known =
            self.wants.iter().position(|asker| asker.wants.sender.host == wants.sender.host);
        let told_at = known.map(|index| self.wants.swap_remove(index).told_at);
        if wants.names.is_empty() {
            return false;
        }
        let is_due = told_at.is_none_or(|at| now.since_ms(at) >= TELL_MS);
        let told_at = if is_due { now } else { told_at.unwrap_or(now) };
        self.wants.push(Asker { wants, asked_at: now, told_at });
        is_due
    }

    /// Returns the hosts whose requests wait.
    pub(super) fn askers(&mut self, now: TimeMs) -> impl Iterator<Item = &mut Asker> {
        self.wants.iter_mut().filter(move |asker| now.since_ms(asker.asked_at) < WANTS_MS)
    }

    /// Returns what requests at other hosts wait for.
    pub(crate) fn wanted(&self, now: TimeMs) -> Vec<WantedName> {
        let asking = self.wants.iter().filter(|asker| now.since_ms(asker.asked_at) < WANTS_MS);
        let names = asking.flat_map(|asker| {
            let age_ms = now.since_ms(asker.asked_at);
            let older = move |name: &WantedName| WantedName {
                oldest_ms: name.oldest_ms + age_ms,
                ..name.clone()
            };
            asker.wants.names.iter().map(older)
        });
        names.collect()
    }

    /// Returns the other hosts that take callers.
    pub(crate) fn ready(&self, now: TimeMs) -> impl Iterator<Item = &HostRecord> {
        let ready = self.hosts.alive(now).filter(|host| host.state == PeerState::Ready);
        ready.map(|host| &host.record)
    }

    /// Returns this host's place among those that take callers, itself included, for a duty.
    pub(crate) fn rank(&self, now: TimeMs, duty: &str, me: &Name) -> usize {
        let mut hosts: Vec<Name> = self.ready(now).map(|record| record.host.clone()).collect();
        hosts.push(me.clone());
        // This host is in the list, so that its place is always found.
        let ranked = rendezvous_rank(duty, &hosts);
        ranked.iter().position(|host| *host == me).unwrap_or_default()
    }

    /// Returns whether this host asks the store for others whether a newer declaration exists.
    pub(crate) fn watches_declaration(&self, now: TimeMs, me: &Name) -> bool {
        self.rank(now, "watch", me) < WATCHERS
    }

    /// Returns whether this host watches the targets closely for others.
    ///
    /// News of targets must come sooner than through several hosts, so that each relay asks.
    pub(crate) fn watches_targets(&self, now: TimeMs, me: &Name) -> bool {
        let layout = self.peers.layout();
        let passes_on = layout.partners().iter().any(|(_, role)| *role == PartnerRole::Member);
        passes_on || (layout.is_relay() && self.watches_declaration(now, me))
    }

    /// Forgets a host that is known to be gone.
    pub(super) fn forget(&mut self, host: &Name) {
        self.hosts.forget(host);
        self.peers.forget(host);
    }
}
