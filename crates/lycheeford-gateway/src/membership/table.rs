use std::net::SocketAddr;

use lycheeford_policy::{
    HostRecord, HostTable, LogCursor, Name, PeerState, PeerTable, ReportedLease, Settling,
    ShortKey, TimeMs, WantedName, rendezvous_rank,
};

use super::unread::Unread;
use super::wire::{LoadForecasts, RemainingLoad, WaitingDemand};

/// How long reported demand is valid without being reported again.
const DEMAND_MS_MAX: u64 = 1_500;
/// The interval at which a waiting host gets its remaining wait if nothing else changed.
const UPDATE_INTERVAL_MS: u64 = 200;
/// The age from which a reported lease is ignored.
const LEASE_MS_MAX: u64 = 10_000;

/// The other hosts, their reports and their waiting demand.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) hosts: HostTable,
    pub(crate) peers: PeerTable,
    /// Whether this host knows the other hosts' spending; a host that has just started doesn't.
    pub(crate) settling: Settling,
    /// The lease and the latest time at which it may have been renewed.
    lease: Option<(ReportedLease, TimeMs)>,
    waiting_hosts: Vec<WaitingHost>,
    /// The name and the build of each listed host, by its peer address.
    builds: Vec<(SocketAddr, (Name, Option<Name>))>,
    pub(super) unread: Unread,
}

/// A host whose requests wait for a model or an adapter.
#[derive(Debug)]
struct WaitingHost {
    demand: WaitingDemand,
    reported_at: TimeMs,
    /// When the host last got an update.
    updated_at: Option<TimeMs>,
    placements: LogCursor,
    /// The models whose remaining wait was in the last update.
    waits: Vec<ShortKey>,
    /// The models whose forecast the host got since it last reported its demand.
    answered: Vec<ShortKey>,
}

/// A host whose requests wait, with forecasts that it hasn't got.
#[derive(Debug)]
pub(super) struct DueForecasts {
    pub(super) host: Name,
    pub(super) address: SocketAddr,
    pub(super) loads: Vec<(ShortKey, RemainingLoad)>,
}

/// What an update to a host with waiting requests depends on.
#[derive(Debug)]
pub(super) struct DueUpdate {
    pub(super) host: Name,
    pub(super) address: SocketAddr,
    /// The token and version of the last placements that the host knows.
    pub(super) placements_after: (u64, u64),
    /// The models and adapters that the host's requests wait for.
    pub(super) names: Vec<ShortKey>,
    /// The models whose remaining wait was in the last update.
    pub(super) waits: Vec<ShortKey>,
    /// Whether the last update is older than the update interval.
    pub(super) is_overdue: bool,
}

impl WaitingHost {
    fn due_update(&self, now: TimeMs) -> DueUpdate {
        let WaitingDemand { sender, names, .. } = &self.demand;
        let key = |name: &WantedName| match &name.adapter {
            Some(adapter) => {
                [ShortKey::of(&name.model), ShortKey::of_adapter(&name.model, adapter)]
            }
            None => [ShortKey::of(&name.model); 2],
        };
        DueUpdate {
            host: sender.host.clone(),
            address: sender.peer_address,
            placements_after: self.placements.after(now),
            names: names.iter().flat_map(key).collect(),
            waits: self.waits.clone(),
            is_overdue: self.updated_at.is_none_or(|at| now.since_ms(at) >= UPDATE_INTERVAL_MS),
        }
    }
}

impl Membership {
    /// Replaces what is known of the builds of other hosts.
    pub(super) fn set_builds(&mut self, mut builds: Vec<(SocketAddr, (Name, Option<Name>))>) {
        builds.sort();
        self.builds = builds;
    }

    /// Returns the name and the build of the host with a peer address.
    pub(super) fn build(&self, peer_address: SocketAddr) -> Option<&(Name, Option<Name>)> {
        let found = self.builds.binary_search_by_key(&peer_address, |(address, _)| *address);
        Some(&self.builds[found.ok()?].1)
    }

    pub(crate) fn new(me: HostRecord) -> Membership {
        Membership {
            hosts: HostTable::new(me),
            peers: PeerTable::default(),
            settling: Settling::default(),
            lease: None,
            waiting_hosts: Vec::new(),
            builds: Vec::new(),
            unread: Unread::default(),
        }
    }

    /// Records the lease as another host reports it.
    pub(super) fn record_lease(&mut self, now: TimeMs, lease: &ReportedLease) {
        let renewed_at = now - lease.renewed_age_ms;
        let known = self.lease.as_ref().map(|(known, at)| (known.revision, *at));
        let is_newer = match known {
            Some((revision, _)) if lease.revision < revision => false,
            // Network delay makes a renewal look more recent than it is, so the earliest time is
            // the most accurate.
            Some((revision, at)) if lease.revision == revision => renewed_at < at,
            _ => true,
        };
        if is_newer {
            self.lease = Some((lease.clone(), renewed_at));
        }
    }

    /// Returns the lease as reported to others.
    pub(crate) fn lease(&self, now: TimeMs) -> Option<ReportedLease> {
        let (lease, renewed_at) = self.lease.as_ref()?;
        let renewed_age_ms = now.since_ms(*renewed_at);
        (renewed_age_ms < LEASE_MS_MAX).then(|| ReportedLease { renewed_age_ms, ..lease.clone() })
    }

    /// Records a host's waiting demand; returns the update due to that host, if its requests wait.
    pub(super) fn record_demand(
        &mut self,
        now: TimeMs,
        demand: WaitingDemand,
    ) -> Option<DueUpdate> {
        self.waiting_hosts
            .retain(|waiting_host| now.since_ms(waiting_host.reported_at) < DEMAND_MS_MAX);
        let index = self
            .waiting_hosts
            .iter()
            .position(|waiting_host| waiting_host.demand.sender.host == demand.sender.host);
        if demand.names.is_empty() {
            if let Some(index) = index {
                self.waiting_hosts.swap_remove(index);
            }
            return None;
        }
        let index = index.unwrap_or_else(|| {
            self.waiting_hosts.push(WaitingHost {
                demand: demand.clone(),
                reported_at: now,
                updated_at: None,
                placements: LogCursor::default(),
                waits: Vec::new(),
                answered: Vec::new(),
            });
            self.waiting_hosts.len() - 1
        });
        let waiting_host = &mut self.waiting_hosts[index];
        waiting_host.placements.heard(demand.placements_known);
        waiting_host.reported_at = now;
        waiting_host.demand = demand;
        waiting_host.answered.clear();
        Some(waiting_host.due_update(now))
    }

    /// Returns the updates due to the hosts with waiting requests.
    pub(super) fn due_updates(&self, now: TimeMs) -> Vec<DueUpdate> {
        let waiting = self
            .waiting_hosts
            .iter()
            .filter(|waiting_host| now.since_ms(waiting_host.reported_at) < DEMAND_MS_MAX);
        waiting.map(|waiting_host| waiting_host.due_update(now)).collect()
    }

    /// Records that a host was sent the placements up to a token and version, and the waits of some
    /// models.
    pub(super) fn record_update(
        &mut self,
        now: TimeMs,
        host: &Name,
        up_to: (u64, u64),
        waits: Vec<ShortKey>,
    ) {
        let waiting_host = self
            .waiting_hosts
            .iter_mut()
            .find(|waiting_host| waiting_host.demand.sender.host == *host);
        if let Some(waiting_host) = waiting_host {
            waiting_host.updated_at = Some(now);
            waiting_host.placements.tell(now, up_to);
            waiting_host.waits = waits;
        }
    }

    /// Returns the forecasts that hosts with waiting requests haven't got since they last reported
    /// their demand.
    pub(super) fn due_forecasts(
        &self,
        now: TimeMs,
        forecasts: &LoadForecasts,
    ) -> Vec<DueForecasts> {
        let waiting = self
            .waiting_hosts
            .iter()
            .filter(|waiting_host| now.since_ms(waiting_host.reported_at) < DEMAND_MS_MAX);
        let due = waiting.map(|waiting_host| {
            let WaitingDemand { sender, names, .. } = &waiting_host.demand;
            let is_wanted = |model: ShortKey| {
                let mut models = names.iter().map(|name| ShortKey::of(&name.model));
                models.any(|wanted| wanted == model) && !waiting_host.answered.contains(&model)
            };
            let loads = forecasts.loads.iter().filter(|(model, _)| is_wanted(*model));
            DueForecasts {
                host: sender.host.clone(),
                address: sender.peer_address,
                loads: loads.copied().collect(),
            }
        });
        due.filter(|due| !due.loads.is_empty()).collect()
    }

    /// Returns whether a host with waiting requests hasn't got a forecast yet.
    pub(crate) fn has_unanswered(&self, now: TimeMs, forecasts: &LoadForecasts) -> bool {
        !self.due_forecasts(now, forecasts).is_empty()
    }

    /// Records that a host was sent the forecasts of some models.
    pub(super) fn record_forecasts(&mut self, due: &DueForecasts) {
        let mut hosts = self.waiting_hosts.iter_mut();
        if let Some(waiting_host) = hosts.find(|known| known.demand.sender.host == due.host) {
            waiting_host.answered.extend(due.loads.iter().map(|(model, _)| *model));
        }
    }

    /// Returns the models and adapters that requests at other hosts wait for.
    pub(crate) fn wanted(&self, now: TimeMs) -> Vec<WantedName> {
        let waiting = self
            .waiting_hosts
            .iter()
            .filter(|waiting_host| now.since_ms(waiting_host.reported_at) < DEMAND_MS_MAX);
        let names = waiting.flat_map(|waiting_host| {
            let age_ms = now.since_ms(waiting_host.reported_at);
            let older = move |name: &WantedName| WantedName {
                oldest_ms: name.oldest_ms + age_ms,
                ..name.clone()
            };
            waiting_host.demand.names.iter().map(older)
        });
        names.collect()
    }

    /// Returns the other hosts that accept callers.
    pub(crate) fn ready(&self, now: TimeMs) -> impl Iterator<Item = &HostRecord> {
        let ready = self.hosts.alive(now).filter(|host| host.state == PeerState::Ready);
        ready.map(|host| &host.record)
    }

    fn ready_or_expected(&self, now: TimeMs) -> impl Iterator<Item = &Name> {
        let expected = self.hosts.expected(now).map(|host| &host.record.host);
        self.ready(now).map(|record| &record.host).chain(expected)
    }

    /// Returns this host's rank for a duty among the hosts that accept callers, itself included.
    ///
    /// Hosts that start together haven't heard each other yet; each would come first.
    pub(crate) fn rank(&self, now: TimeMs, duty: &str, me: &Name) -> usize {
        let hosts = self.ready_or_expected(now).chain([me]).cloned().collect::<Vec<Name>>();
        // This host is in the list, so its rank is always found.
        let ranked = rendezvous_rank(duty, &hosts);
        ranked.iter().position(|host| *host == me).unwrap_or_default()
    }

    /// Returns whether this host polls the store for new declarations on behalf of the others.
    pub(crate) fn watches_declaration(&self, now: TimeMs, me: &Name) -> bool {
        self.rank(now, "watch", me) == 0
    }

    /// Returns whether this host, besides the lease holder, watches the targets in the store on
    /// behalf of the others.
    pub(crate) fn watches_targets(&self, now: TimeMs, me: &Name) -> bool {
        let holder = self.lease(now).map(|lease| lease.holder);
        let others = self.ready_or_expected(now).filter(|host| Some(*host) != holder.as_ref());
        let hosts: Vec<Name> = others.chain([me]).cloned().collect();
        rendezvous_rank("targets", &hosts).first() == Some(&me)
    }

    /// Removes a host that is known to be gone.
    pub(super) fn forget(&mut self, host: &Name) {
        self.hosts.forget(host);
        self.peers.forget(host);
    }
}
