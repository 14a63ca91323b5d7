use std::sync::Arc;

use lycheeford_peer::Member;
use lycheeford_platform::{Change, FollowLimits, Object, WatchEvent, follow};
use lycheeford_policy::{Host, HostState, Name};
use lycheeford_wire::stored::StoredHost;
use slog::{info, warn};

use crate::membership::fleet::Fleet;
use crate::objects;
use crate::state::State;

/// The object kind of the platform's host list.
const HOST_KIND: &str = "host";

/// Watches the platform's list of hosts and applies its changes.
pub(crate) async fn follow_hosts(state: Arc<State>) {
    let limits = FollowLimits::default();
    let clock = state.clock;
    follow(
        &state.store,
        HOST_KIND,
        &limits,
        move || clock.now(),
        |update| {
            if let Some(hosts) = changed_hosts(&state, update.change) {
                adopt(&state, Fleet { revision: update.revision, hosts });
            }
            state.discovery.set_fleet_revision(update.revision);
        },
    )
    .await;
}

fn changed_hosts(state: &State, change: Change) -> Option<Vec<Host>> {
    match change {
        Change::Replace(listing) => {
            Some(listing.objects.iter().filter_map(|object| host_of(state, object)).collect())
        }
        Change::Apply(events) if events.is_empty() => None,
        Change::Apply(events) => {
            let mut hosts = state.fleet.load().hosts.clone();
            for event in events {
                apply(state, &mut hosts, &event);
            }
            Some(hosts)
        }
    }
}

fn apply(state: &State, hosts: &mut Vec<Host>, event: &WatchEvent) {
    let name = match event {
        WatchEvent::Put(object) => &object.name,
        WatchEvent::Deleted { name, .. } => name,
    };
    let position = hosts.binary_search_by(|host| host.name.cmp(name));
    let put = match event {
        WatchEvent::Put(object) => host_of(state, object),
        WatchEvent::Deleted { .. } => None,
    };
    match (position, put) {
        (Ok(index), Some(host)) => hosts[index] = host,
        (Err(index), Some(host)) => hosts.insert(index, host),
        (Ok(index), None) => drop(hosts.remove(index)),
        (Err(_), None) => {}
    }
}

fn host_of(state: &State, object: &Object) -> Option<Host> {
    match objects::decode::<Host, StoredHost>(object) {
        Ok(host) if host.name == object.name => Some(host),
        Ok(host) => {
            warn!(state.log, "listed host has another name than its object";
                "host" => %host.name, "object" => %object.name);
            None
        }
        Err(error) => {
            warn!(state.log, "listed host not readable";
                "object" => %object.name, "error" => %error);
            None
        }
    }
}

fn adopt(state: &State, fleet: Fleet) {
    let members: Vec<Member> = fleet
        .entries()
        .map(|(host, address)| Member { host: host.name.clone(), address })
        .collect();
    let entries: Vec<Name> = members.iter().map(|member| member.host.clone()).collect();
    let listed: Vec<Name> = fleet.hosts.iter().map(|host| host.name.clone()).collect();
    let others = entries.iter().filter(|host| **host != state.me.host).cloned().collect();
    let workers: Vec<Name> = fleet.model_workers().map(|host| host.name.clone()).collect();
    let me_leaving =
        fleet.host(&state.me.host).is_some_and(|host| host.state == HostState::Leaving);
    info!(state.log, "list of hosts changed";
        "revision" => fleet.revision, "entries" => entries.len(), "workers" => workers.len());

    state.members.lock().set_hosts(others);
    state.gone.lock().set_listed_hosts(&listed);
    state.freshness.lock().set_entry_hosts(&entries);
    state.target_health.lock().set_hosts(state.now(), &workers);
    state.fleet.store(Arc::new(fleet));
    state.rates.lock().set_lenders(&entries);
    if let Some(peers) = state.peers.get() {
        peers.set_members(members);
    }
    state.plan_due.wake();
    if me_leaving && state.start_draining() {
        info!(state.log, "draining, since the platform lists this host as leaving");
    }
}
