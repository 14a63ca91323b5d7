use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::future::timeout;
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

/// Keeps the suspects for which requests are refused in the store, so that they are known after all
/// hosts were replaced at once.
///
/// A host stores those of which it saw a crash, since there may be no lease holder, or one that
/// doesn't know them yet. The lease holder stores the others as well, and deletes those that are
/// refused no longer. `stored` are the names of the objects, as read in `era`.
pub(super) async fn keep_stored_suspects(state: Arc<State>, mut stored: Vec<Name>, mut era: u64) {
    loop {
        // A time-out and a wake-up are the same here.
        let _ = timeout(Duration::from_millis(CHECK_MS), state.suspects_due.1.recv()).await;
        if state.store_era() > era {
            // The store was restored from a copy, which may lack some of them.
            era = state.store_era();
            stored = read_stored_suspects(&state).await;
        }
        let now = state.now();
        let is_holder = state.orders().lease.token(now).is_some();
        let refused = {
            let suspects = state.suspects();
            if is_holder { suspects.over_limit(now) } else { suspects.over_limit_seen_here(now) }
        };
        let refused: Vec<StoredSuspect> = refused.iter().map(StoredSuspect::of).collect();
        create_missing(&state, &mut stored, &refused).await;
        if is_holder {
            delete_others(&state, &mut stored, &refused).await;
        } else {
            // The holder deletes them.
            stored.retain(|name| refused.iter().any(|suspect| suspect.name() == *name));
        }
    }
}

async fn read(state: &State) -> Result<Vec<Name>, PlatformError> {
    let listing = state.protocols.store.objects().list(SUSPECT_KIND).await?;
    let suspects: Vec<CrashSuspect> =
        listing.objects.iter().filter_map(|object| decode(state, object)).collect();
    let refused = state.suspects().merge(state.now(), &suspects);
    info!(state.log, "crash_suspects_read";
        "objects" => listing.objects.len(), "suspects" => suspects.len(),
        "refused" => refused.len(), "era" => state.store_era());
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

/// Writes the suspects that are not stored yet. One that can't be written doesn't keep others from
/// it.
async fn create_missing(state: &State, stored: &mut Vec<Name>, refused: &[StoredSuspect]) {
    for suspect in refused {
        let name = suspect.name();
        if stored.contains(&name) {
            continue;
        }
        match create(state, &name, suspect).await {
            Ok(()) => stored.push(name),
            Err(error) => warn!(state.log, "crash_suspect_unwritten";
                "name" => name.as_str(), "error" => %error),
        }
    }
}

/// Deletes the stored suspects that are refused no longer.
async fn delete_others(state: &State, stored: &mut Vec<Name>, refused: &[StoredSuspect]) {
    let is_refused = |name: &Name| refused.iter().any(|suspect| suspect.name() == *name);
    let (mut kept, others): (Vec<Name>, Vec<Name>) = stored.drain(..).partition(is_refused);
    for name in others {
        if let Err(error) = delete(state, &name).await {
            warn!(state.log, "crash_suspect_undeleted";
                "name" => name.as_str(), "error" => %error);
            kept.push(name);
        }
    }
    *stored = kept;
}

async fn create(state: &State, name: &Name, suspect: &StoredSuspect) -> Result<(), PlatformError> {
    let value = serde_json::to_value(suspect)
        .map_err(|error| PlatformError::new(Category::Malformed, error.to_string()))?;
    match state.protocols.store.objects().put(SUSPECT_KIND, name, value, Expect::Absent).await {
        Ok(_) => {
            let age_ms = unix_ms().saturating_sub(suspect.last_crash_unix_ms);
            info!(state.log, "crash_suspect_stored"; "name" => name.as_str(), "age_ms" => age_ms);
            Ok(())
        }
        // Another host has written it.
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
