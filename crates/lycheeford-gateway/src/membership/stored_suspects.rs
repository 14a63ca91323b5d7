use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::task;
use lycheeford_platform::{Category, Expect, Object, PlatformError};
use lycheeford_policy::{CrashCause, CrashSuspect, Name, SuspectedCrash};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use snafu::Snafu;

use crate::request::log_refused;
use crate::state::State;

/// The kind of the objects that name deadly prompt parts and requests.
const SUSPECT_KIND: &str = "lycheeford-crash-suspects";
/// The pause before a failed read is repeated.
const READ_PAUSE_MS: u64 = 150;
/// The interval at which the known suspects are compared with the stored ones.
const CHECK_MS: u64 = 500;

/// The stored form of a prompt part for which requests are refused, or of a refused request.
///
/// Builds that know only prompt parts pass over the objects of requests.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredSuspect {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    part: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    request: Option<u64>,
    /// The lives of targets that crashed.
    crashes: Vec<Name>,
    /// When the last of them crashed, as Unix time.
    last_crash_unix_ms: u64,
}

impl StoredSuspect {
    fn of(suspect: &CrashSuspect) -> StoredSuspect {
        let (part, request) = match suspect.cause {
            CrashCause::PromptPart(part) => (Some(part), None),
            CrashCause::Request(request) => (None, Some(request)),
        };
        let unexcused = suspect.crashes.iter().filter(|crash| !crash.is_excused);
        StoredSuspect {
            part,
            request,
            crashes: unexcused.map(|crash| crash.life.clone()).collect(),
            last_crash_unix_ms: unix_ms().saturating_sub(suspect.age_ms),
        }
    }

    fn name(&self) -> Name {
        Name::from(match (self.part, self.request) {
            (Some(part), _) => format!("{part:016x}"),
            (None, request) => format!("request-{:016x}", request.unwrap_or_default()),
        })
    }
}

impl TryFrom<StoredSuspect> for CrashSuspect {
    type Error = UnnamedSuspect;

    fn try_from(stored: StoredSuspect) -> Result<CrashSuspect, UnnamedSuspect> {
        let crash = |life| SuspectedCrash { life, is_excused: false };
        let cause = match (stored.part, stored.request) {
            (Some(part), _) => CrashCause::PromptPart(part),
            (None, Some(request)) => CrashCause::Request(request),
            (None, None) => return Err(UnnamedSuspect),
        };
        Ok(CrashSuspect {
            cause,
            crashes: stored.crashes.into_iter().map(crash).collect(),
            age_ms: unix_ms().saturating_sub(stored.last_crash_unix_ms),
        })
    }
}

/// A stored suspect that is neither a prompt part nor a request.
#[derive(Debug, Snafu)]
#[snafu(display("it names neither a part nor a request; delete the object"))]
pub(super) struct UnnamedSuspect;

/// Reads the suspects from the store, and returns the names of their objects.
///
/// A host does this before it takes requests; it learns later ones from the reports of the others.
pub(super) async fn read_stored_suspects(state: &State) -> Vec<Name> {
    loop {
        match read(state).await {
            Ok(stored) => return stored,
            Err(error) => warn!(state.log, "crash_suspects_unread"; "error" => %error),
        }
        task::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
    }
}

/// Keeps the suspects for which requests are refused in the store while this host is the lease
/// holder, so that they are known after all hosts were replaced at once.
///
/// `stored` are the names of their objects, as read in `era`.
pub(super) async fn keep_stored_suspects(state: Arc<State>, mut stored: Vec<Name>, mut era: u64) {
    loop {
        task::sleep(Duration::from_millis(CHECK_MS)).await;
        if state.store_era() > era {
            // The store was restored from a copy, which may lack some of them.
            era = state.store_era();
            stored = read_stored_suspects(&state).await;
        }
        let now = state.now();
        if state.orders().lease.token(now).is_none() {
            continue;
        }
        let refused = state.suspects().over_limit(now);
        let refused: Vec<StoredSuspect> = refused.iter().map(StoredSuspect::of).collect();
        if let Err(error) = write_changes(&state, &mut stored, &refused).await {
            warn!(state.log, "crash_suspects_unwritten"; "error" => %error);
        }
    }
}

async fn read(state: &State) -> Result<Vec<Name>, PlatformError> {
    let listing = state.protocols.store.objects().list(SUSPECT_KIND).await?;
    let suspects: Vec<CrashSuspect> =
        listing.objects.iter().filter_map(|object| decode(state, object)).collect();
    let refused = state.suspects().merge(state.now(), &suspects);
    log_refused(state, &refused, &Name::from("store"));
    Ok(listing.objects.into_iter().map(|object| object.name).collect())
}

fn decode(state: &State, object: &Object) -> Option<CrashSuspect> {
    let decoded = object.decode::<StoredSuspect>().map_err(|error| error.to_string());
    let suspect = decoded
        .and_then(|stored| CrashSuspect::try_from(stored).map_err(|error| error.to_string()));
    suspect
        .map_err(|error| {
            warn!(state.log, "crash_suspect_unreadable";
                "name" => object.name.as_str(), "error" => error);
        })
        .ok()
}

/// Writes the suspects that are not stored yet, and deletes those that are refused no longer.
async fn write_changes(
    state: &State,
    stored: &mut Vec<Name>,
    refused: &[StoredSuspect],
) -> Result<(), PlatformError> {
    for suspect in refused {
        let name = suspect.name();
        if !stored.contains(&name) {
            create(state, &name, suspect).await?;
            stored.push(name);
        }
    }
    while let Some(index) =
        stored.iter().position(|name| !refused.iter().any(|suspect| suspect.name() == *name))
    {
        delete(state, &stored[index]).await?;
        stored.swap_remove(index);
    }
    Ok(())
}

async fn create(state: &State, name: &Name, suspect: &StoredSuspect) -> Result<(), PlatformError> {
    let value = serde_json::to_value(suspect)
        .map_err(|error| PlatformError::new(Category::Malformed, error.to_string()))?;
    match state.protocols.store.objects().put(SUSPECT_KIND, name, value, Expect::Absent).await {
        Ok(_) => {
            info!(state.log, "crash_suspect_stored"; "name" => name.as_str());
            Ok(())
        }
        // An earlier lease holder has written it.
        Err(error) if error.category() == Category::Conflict => Ok(()),
        Err(error) => Err(error),
    }
}

async fn delete(state: &State, name: &Name) -> Result<(), PlatformError> {
    let objects = state.protocols.store.objects();
    if let Some(object) = objects.get(SUSPECT_KIND, name).await? {
        objects.delete(SUSPECT_KIND, name, object.version).await?;
        info!(state.log, "crash_suspect_deleted"; "name" => name.as_str());
    }
    Ok(())
}

fn unix_ms() -> u64 {
    // With a clock before 1970, stored parts count as new: they are refused for too long.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
