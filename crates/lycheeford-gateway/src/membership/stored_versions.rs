use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_platform::{Category, Expect, PlatformError};
use lycheeford_policy::{Name, ServiceVersions, ShortKey};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::state::State;

/// The kind and name of the object that holds the versions of all services.
const VERSIONS_KIND: &str = "lycheeford-versions";
const VERSIONS_NAME: &str = "services";
/// The pause before a failed read is repeated.
const READ_PAUSE_MS: u64 = 150;
/// The interval at which the known versions are compared with the stored ones.
const CHECK_MS: u64 = 250;

/// The stored form of the versions at which streams may have begun that can still be resumed.
///
/// The record says nothing of when a version was last listed, so it needs no comparison of clocks:
/// the lease holder removes a version once it has been unlisted for as long as a stream may last.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredVersions {
    /// The era of the store in which the record was written. A record of an earlier era comes from
    /// an older copy, which may lack versions.
    era: u64,
    services: Vec<StoredService>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct StoredService {
    service: Name,
    /// Keys of the versions.
    versions: Vec<u32>,
}

impl From<ServiceVersions> for StoredService {
    fn from(known: ServiceVersions) -> StoredService {
        let versions = known.versions.into_iter().map(|version| version.0).collect();
        StoredService { service: known.service, versions }
    }
}

impl From<StoredService> for ServiceVersions {
    fn from(stored: StoredService) -> ServiceVersions {
        let versions = stored.versions.into_iter().map(ShortKey).collect();
        ServiceVersions { service: stored.service, versions }
    }
}

/// The object in the store as this host last read or wrote it.
#[derive(Debug)]
pub(super) struct LastStored {
    expect: Expect,
    record: Option<StoredVersions>,
}

/// Reads the versions that served before this host started.
///
/// A host does this before it takes requests: a stream that began before all hosts were restarted
/// can be resumed only if its version is known.
pub(super) async fn read_stored_versions(state: &State) -> LastStored {
    let stored = read_until_answered(state).await;
    add_current(state, &stored);
    stored
}

/// Reads the versions that served once more, for a host that couldn't read them at its start.
///
/// # Errors
///
/// Fails if the store doesn't answer.
pub(super) async fn reread_stored_versions(state: &State) -> Result<(), PlatformError> {
    add_current(state, &read(state).await?);
    Ok(())
}

/// Adds the versions of a record, unless it comes from an older copy of the store.
fn add_current(state: &State, stored: &LastStored) {
    let is_current = |record: &&StoredVersions| record.era >= state.store_era();
    let Some(record) = stored.record.as_ref().filter(is_current) else { return };
    let services = record.services.iter().cloned();
    let earlier: Vec<ServiceVersions> = services.map(ServiceVersions::from).collect();
    let now = state.now();
    state.streams().versions.add_earlier(now, &earlier);
    let versions: usize = earlier.iter().map(|service| service.versions.len()).sum();
    info!(state.log, "versions_read"; "services" => earlier.len(), "versions" => versions);
}

/// Keeps the versions of all services in the store while this host is the lease holder.
pub(super) async fn keep_stored_versions(state: Arc<State>, mut stored: LastStored) {
    let mut era = state.store_era();
    loop {
        task::sleep(Duration::from_millis(CHECK_MS)).await;
        if state.store_era() > era {
            era = state.store_era();
            stored = read_until_answered(&state).await;
        }
        let Some(record) = record_to_store(&state, era) else { continue };
        if stored.record.as_ref() == Some(&record) {
            continue;
        }
        match write(&state, &record, stored.expect).await {
            Ok(version) => {
                let services = record.services.len();
                info!(state.log, "versions_stored"; "services" => services, "era" => era);
                stored = LastStored { expect: Expect::Version(version), record: Some(record) };
            }
            Err(error) => {
                if error.category() != Category::Conflict {
                    warn!(state.log, "versions_unwritten"; "error" => %error);
                }
                stored = read_until_answered(&state).await;
            }
        }
    }
}

/// Returns what the store should hold, if this host is the lease holder and knows all versions.
fn record_to_store(state: &State, era: u64) -> Option<StoredVersions> {
    let now = state.now();
    let is_first_holder = {
        let orders = state.orders();
        orders.lease.token(now)?;
        orders.lease.is_first_holder()
    };
    let history = {
        let versions = &mut state.streams().versions;
        if is_first_holder {
            versions.is_first_of_fleet();
        }
        versions.history(now)?
    };
    // Without any target, the list of targets may not have been read yet.
    if history.is_empty() {
        return None;
    }
    Some(StoredVersions { era, services: history.into_iter().map(StoredService::from).collect() })
}

async fn read_until_answered(state: &State) -> LastStored {
    loop {
        match read(state).await {
            Ok(stored) => return stored,
            Err(error) => warn!(state.log, "versions_unread"; "error" => %error),
        }
        task::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
    }
}

async fn read(state: &State) -> Result<LastStored, PlatformError> {
    let found = state.protocols.store.objects().get(VERSIONS_KIND, VERSIONS_NAME).await?;
    let Some(object) = found else {
        return Ok(LastStored { expect: Expect::Absent, record: None });
    };
    let record = object.decode().map_err(|error| {
        warn!(state.log, "versions_unreadable"; "error" => %error);
    });
    Ok(LastStored { expect: Expect::Version(object.version), record: record.ok() })
}

/// Writes the record, and returns the version of its object.
async fn write(
    state: &State,
    record: &StoredVersions,
    expect: Expect,
) -> Result<u64, PlatformError> {
    let value = serde_json::to_value(record)
        .map_err(|error| PlatformError::new(Category::Malformed, error.to_string()))?;
    state.protocols.store.objects().put(VERSIONS_KIND, VERSIONS_NAME, value, expect).await
}
