use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_util::future::{join3, join4};
use lycheeford_platform::{Category, Expect, Listing, Object, PlatformError, UnreadableValue};
use lycheeford_policy::{HostRecord, Name, TimeMs, build_name};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::stored_streams::{keep_stored_streams, read_stored_streams};
use super::stored_suspects::{keep_stored_suspects, read_stored_suspects};
use super::stored_versions::{keep_stored_versions, read_stored_versions};
use crate::state::State;

/// The kind of the objects by which hosts discover each other.
const HOST_KIND: &str = "lycheeford-hosts";
/// The pause before registration is retried.
const REGISTER_PAUSE_MS: u64 = 150;
/// The interval at which the list of hosts is read after this host's start, and until it was read.
const LIST_EARLY_MS: u64 = 700;
/// How long after the start `LIST_EARLY_MS` applies at least.
const EARLY_MS: u64 = 4_000;
/// The later intervals: the first for hosts that watch the store on behalf of others, the second
/// for the rest.
///
/// Long intervals suffice, since a new host reports to all listed hosts itself.
const LIST_MS: u64 = 5_000;
const LIST_LONG_MS: u64 = 20_000;
/// The interval at which a host checks whether the store was restored.
const ERA_CHECK_MS: u64 = 250;
/// How long a host must have been silent before its object is deleted.
const DELETE_AFTER_MS: u64 = 20_000;

/// The stored form of a host. Objects in the store don't expire by themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredHost {
    incarnation: u64,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
    failure_domain: Name,
    /// The name of the host's build. Absent if the build is older than the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    build: Option<Name>,
}

impl StoredHost {
    fn of(state: &State) -> StoredHost {
        let HostRecord { peer_address, caller_address, failure_domain, .. } =
            state.settings.record();
        let incarnation = state.incarnation;
        let build = Some(build_name());
        StoredHost { incarnation, peer_address, caller_address, failure_domain, build }
    }

    fn record(self, host: &Name) -> HostRecord {
        let StoredHost { peer_address, caller_address, failure_domain, .. } = self;
        HostRecord { host: host.clone(), peer_address, caller_address, failure_domain }
    }
}

/// Registers this host, discovers the others and deletes the objects of dead hosts.
pub(crate) async fn maintain_hosts(state: Arc<State>) {
    let reads = join3(
        read_stored_suspects(&state),
        read_stored_versions(&state),
        read_stored_streams(&state),
    );
    let (suspects, versions, streams) = reads.await;
    let era = state.store_era();
    let suspects = keep_stored_suspects(Arc::clone(&state), suspects, era);
    let versions = keep_stored_versions(Arc::clone(&state), versions);
    let streams = keep_stored_streams(Arc::clone(&state), streams);
    join4(suspects, versions, streams, list_hosts(&state, era)).await;
}

/// Registers this host, and lists the others from then on.
async fn list_hosts(state: &State, mut era: u64) {
    while let Err(error) = register(state).await {
        warn!(state.log, "host_unregistered"; "error" => %error);
        task::sleep(Duration::from_millis(REGISTER_PAUSE_MS)).await;
    }
    info!(state.log, "host_registered"; "incarnation" => state.incarnation);
    let started_at = state.now();
    let mut silent = SilentHosts::default();
    let mut is_listed = false;
    loop {
        // A cached list suffices later: hosts that it lacks report to the listed hosts themselves.
        let objects = state.protocols.store.objects();
        let listed = if is_listed {
            objects.list_cached(HOST_KIND).await
        } else {
            objects.list(HOST_KIND).await
        };
        match listed {
            Ok(listing) => {
                is_listed = true;
                silent.update(state, &listing);
                // Without the list this host doesn't know the number of hosts.
                state.set_registered();
                silent.delete_dead(state, &listing).await;
            }
            Err(error) => warn!(state.log, "hosts_unlisted"; "error" => %error),
        }
        let pause_ms = list_pause_ms(state, started_at, is_listed);
        if era_rises_within(state, era, pause_ms).await {
            warn!(state.log, "store_restored"; "era" => state.store_era(), "era_before" => era);
            // The copy may lack this host, and list others that are gone.
            match register(state).await {
                Ok(()) => {
                    era = state.store_era();
                    is_listed = false;
                    info!(state.log, "host_registered"; "incarnation" => state.incarnation);
                }
                Err(error) => {
                    warn!(state.log, "host_unregistered"; "error" => %error);
                    task::sleep(Duration::from_millis(REGISTER_PAUSE_MS)).await;
                }
            }
        }
    }
}

/// Waits for `pause_ms`, or until the store was restored from an older copy.
async fn era_rises_within(state: &State, era: u64, pause_ms: u64) -> bool {
    let until = state.now() + pause_ms;
    loop {
        if state.store_era() > era {
            return true;
        }
        let left_ms = until.since_ms(state.now());
        if left_ms == 0 {
            return false;
        }
        task::sleep(Duration::from_millis(left_ms.min(ERA_CHECK_MS))).await;
    }
}

fn list_pause_ms(state: &State, started_at: TimeMs, is_listed: bool) -> u64 {
    let now = state.now();
    let holds_orders = state.orders().lease.held(now).is_some();
    if !is_listed || now.since_ms(started_at) < EARLY_MS {
        LIST_EARLY_MS
    } else if holds_orders || state.membership().watches_declaration(now, &state.settings.host) {
        LIST_MS
    } else {
        LIST_LONG_MS
    }
}

async fn register(state: &State) -> Result<(), PlatformError> {
    let objects = state.protocols.store.objects();
    let stored = StoredHost::of(state);
    let value = serde_json::to_value(&stored)
        .map_err(|error| PlatformError::new(Category::Malformed, error.to_string()))?;
    let name = &state.settings.host;
    // Most hosts have no object yet, since a host that stops deletes its own.
    match objects.put(HOST_KIND, name, value.clone(), Expect::Absent).await {
        Err(error) if error.category() == Category::Conflict => {}
        created => return created.map(|_| ()),
    }
    let expect = match objects.get(HOST_KIND, name).await? {
        Some(object) if decode(&object).is_ok_and(|known| known == stored) => return Ok(()),
        Some(object) => Expect::Version(object.version),
        None => Expect::Absent,
    };
    objects.put(HOST_KIND, name, value, expect).await.map(|_| ())
}

/// Deletes this host's object, so that the others needn't detect that it is gone.
pub(crate) async fn deregister_host(state: &State) {
    let objects = state.protocols.store.objects();
    let deleted = match objects.get(HOST_KIND, &state.settings.host).await {
        Ok(Some(object)) if is_own(state, &object) => {
            objects.delete(HOST_KIND, &object.name, object.version).await
        }
        Ok(_) => Ok(()),
        Err(error) => Err(error),
    };
    if let Err(error) = deleted {
        warn!(state.log, "host_undeleted"; "error" => %error);
    }
}

fn is_own(state: &State, object: &Object) -> bool {
    decode(object).is_ok_and(|stored| stored.incarnation == state.incarnation)
}

fn decode(object: &Object) -> Result<StoredHost, UnreadableValue> {
    object.decode()
}

/// Reads the object of a host; logs and skips an unreadable one.
fn read_host(state: &State, object: &Object) -> Option<(HostRecord, Option<Name>)> {
    match decode(object) {
        Ok(stored) => {
            let build = stored.build.clone();
            Some((stored.record(&object.name), build))
        }
        Err(error) => {
            warn!(state.log, "host_unreadable"; "peer" => object.name.as_str(), "error" => %error);
            None
        }
    }
}

/// How long each listed host has been silent, as observed by this host.
#[derive(Debug, Default)]
struct SilentHosts {
    /// The host, the version of its object, and the time of the first listing at which it was
    /// silent.
    since: Vec<(Name, u64, TimeMs)>,
}

impl SilentHosts {
    /// Updates the table of hosts from a listing.
    fn update(&mut self, state: &State, listing: &Listing) {
        let now = state.now();
        let hosts = listing.objects.iter().filter_map(|object| read_host(state, object));
        let (records, builds): (Vec<HostRecord>, Vec<Option<Name>>) = hosts.unzip();
        let builds = records
            .iter()
            .zip(builds)
            .map(|(record, build)| (record.peer_address, (record.host.clone(), build)));
        let builds = builds.collect();
        let mut membership = state.membership();
        membership.set_builds(builds);
        membership.hosts.listed(now, &records);
        membership.settling.listed();
        let is_alive = |name: &Name| {
            membership.hosts.is_alive(now, name) || membership.hosts.is_unread(now, name)
        };
        let silent: Vec<&Object> = listing
            .objects
            .iter()
            .filter(|object| object.name != state.settings.host && !is_alive(&object.name))
            .collect();
        self.since.retain(|(name, version, _)| {
            silent.iter().any(|object| object.name == *name && object.version == *version)
        });
        for object in &silent {
            let is_known = |(name, _, _): &(Name, u64, TimeMs)| *name == object.name;
            if !self.since.iter().any(is_known) {
                self.since.push((object.name.clone(), object.version, now));
            }
        }
    }

    /// Deletes the objects of hosts that have been silent for too long, if this host holds the
    /// lease.
    async fn delete_dead(&mut self, state: &State, listing: &Listing) {
        let now = state.now();
        if state.orders().lease.token(now).is_none() {
            return;
        }
        for (name, version, since) in &self.since {
            let is_listed = listing.object(name).is_some_and(|object| object.version == *version);
            if !is_listed || now.since_ms(*since) < DELETE_AFTER_MS {
                continue;
            }
            match state.protocols.store.objects().delete(HOST_KIND, name, *version).await {
                Ok(()) => {
                    info!(state.log, "host_collected"; "peer" => name.as_str());
                    state.membership().forget(name);
                }
                Err(error) => {
                    warn!(state.log, "host_undeleted"; "error" => %error);
                }
            }
        }
    }
}
