use std::net::SocketAddr;

use lycheeford_policy::{
    HostRecord, HostTable, Name, PeerState, PeerTable, ReportedLease, Settling, ShortKey, TimeMs,
    ToldLog, WantedName, rendezvous_rank,
};

use super::wire::Wants;

/// How long what a host wants stands without being told again.
const WANTS_MS: u64 = 1_500;
/// How often a host whose requests wait is told how long they will, without other news.
const TELL_MS: u64 = 200;
/// How old a lease that was told may be before nobody is taken for its holder.
const LEASE_MS_MAX: u64 = 10_000;

/// The other hosts, what they told, and what they wait for.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) hosts: HostTable,
    pub(crate) peers: PeerTable,
    /// Whether this host, which may have started just now, knows what the others spend.
    pub(crate) settling: Settling,
    /// The lease with the last moment at which it may have been renewed.
    lease: Option<(ReportedLease, TimeMs)>,
    wants: Vec<Asker>,
}

/// A host whose requests wait for orders.
#[derive(Debug)]
struct Asker {
    wants: Wants,
    asked_at: TimeMs,
    /// When it was told something last.
    told_at: Option<TimeMs>,
    placements: ToldLog,
    /// The models of which it was told last how long they take.
    waits: Vec<ShortKey>,
}

/// What a host whose requests wait is to be told.
#[derive(Debug)]
pub(super) struct Due {
    pub(super) host: Name,
    pub(super) address: SocketAddr,
    /// The token and the version after which it lacks placements.
    pub(super) placements_after: (u64, u64),
    /// The models and adapters for which its requests wait.
    pub(super) names: Vec<ShortKey>,
    /// The models of which it was told last how long they take.
    pub(super) waits: Vec<ShortKey>,
    /// Whether it was told nothing for a while.
    pub(super) was_left: bool,
}

impl Asker {
    fn due(&self, now: TimeMs) -> Due {
        let Wants { sender, names, .. } = &self.wants;
        let key = |name: &WantedName| match &name.adapter {
            Some(adapter) => {
                [ShortKey::of(&name.model), ShortKey::of_adapter(&name.model, adapter)]
            }
            None => [ShortKey::of(&name.model); 2],
        };
        Due {
            host: sender.host.clone(),
            address: sender.peer_address,
            placements_after: self.placements.after(now),
            names: names.iter().flat_map(key).collect(),
            waits: self.waits.clone(),
            was_left: self.told_at.is_none_or(|at| now.since_ms(at) >= TELL_MS),
        }
    }
}

impl Membership {
    pub(crate) fn new(me: HostRecord) -> Membership {
        Membership {
            hosts: HostTable::new(me),
            peers: PeerTable::default(),
            settling: Settling::default(),
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

    /// Takes in what a host's requests wait for; returns what it is to be told, if they wait.
    pub(super) fn take_wants(&mut self, now: TimeMs, wants: Wants) -> Option<Due> {
        self.wants.retain(|asker| now.since_ms(asker.asked_at) < WANTS_MS);
        let index =
            self.wants.iter().position(|asker| asker.wants.sender.host == wants.sender.host);
        if wants.names.is_empty() {
            if let Some(index) = index {
                self.wants.swap_remove(index);
            }
            return None;
        }
        let index = index.unwrap_or_else(|| {
            self.wants.push(Asker {
                wants: wants.clone(),
                asked_at: now,
                told_at: None,
                placements: ToldLog::default(),
                waits: Vec::new(),
            });
            self.wants.len() - 1
        });
        let asker = &mut self.wants[index];
        asker.placements.heard(wants.placements_known);
        asker.asked_at = now;
        asker.wants = wants;
        Some(asker.due(now))
    }

    /// Returns what the hosts whose requests wait are to be told.
    pub(super) fn due(&self, now: TimeMs) -> Vec<Due> {
        let asking = self.wants.iter().filter(|asker| now.since_ms(asker.asked_at) < WANTS_MS);
        asking.map(|asker| asker.due(now)).collect()
    }

    /// Notes that a host is told the placements up to a token and a version, and some waits.
    pub(super) fn told(
        &mut self,
        now: TimeMs,
        host: &Name,
        up_to: (u64, u64),
        waits: Vec<ShortKey>,
    ) {
        let asker = self.wants.iter_mut().find(|asker| asker.wants.sender.host == *host);
        if let Some(asker) = asker {
            asker.told_at = Some(now);
            asker.placements.tell(now, up_to);
            asker.waits = waits;
        }
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
        self.rank(now, "watch", me) == 0
    }

    /// Returns whether this host watches the targets closely for others, beside the holder of orders.
    pub(crate) fn watches_targets(&self, now: TimeMs, me: &Name) -> bool {
        let holder = self.lease(now).map(|lease| lease.holder);
        let ready = self.ready(now).map(|record| &record.host);
        let mut hosts: Vec<Name> =
            ready.filter(|host| Some(*host) != holder.as_ref()).cloned().collect();
        hosts.push(me.clone());
        rendezvous_rank("targets", &hosts).first() == Some(&me)
    }

    /// Forgets a host that is known to be gone.
    pub(super) fn forget(&mut self, host: &Name) {
        self.hosts.forget(host);
        self.peers.forget(host);
    }
}
