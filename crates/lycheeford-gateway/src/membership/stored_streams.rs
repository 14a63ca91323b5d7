use std::num::ParseIntError;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_platform::{Category, Expect, Object, PlatformError};
use lycheeford_policy::{Name, ShortKey, StreamKey, StreamVersion, TimeMs};
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use crate::state::State;

/// The kind of the objects with the versions of each host's streams; they have the hosts' names.
const STREAMS_KIND: &str = "lycheeford-streams";
/// The pause before a failed call is repeated.
const RETRY_PAUSE_MS: u64 = 150;
/// The interval at which a host's streams are compared with the stored ones.
const CHECK_MS: u64 = 100;
/// How long streams that need no record any more may stay in it.
const REMOVE_AFTER_MS: u64 = 2_000;
/// The part of the store's writes that the hosts use together.
const WRITES_PART: f64 = 0.2;
/// The interval at which the lease holder looks for objects of hosts that are gone.
const COLLECT_INTERVAL_MS: u64 = 30_000;

/// The stored form of the versions at which the streams of a host began.
///
/// A version never changes for a stream, so a record holds whatever its age.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredStreams {
    versions: Vec<StoredVersion>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct StoredVersion {
    version: u32,
    /// Keys of the streams as hexadecimal text, since JSON numbers of 64 bits may be rounded.
    streams: Vec<String>,
}

impl From<&[StreamVersion]> for StoredStreams {
    fn from(streams: &[StreamVersion]) -> StoredStreams {
        let mut versions: Vec<StoredVersion> = Vec::new();
        for StreamVersion { stream, version } in streams {
            let key = format!("{:016x}", stream.0);
            match versions.binary_search_by_key(&version.0, |stored| stored.version) {
                Ok(index) => versions[index].streams.push(key),
                Err(index) => {
                    let stored = StoredVersion { version: version.0, streams: vec![key] };
                    versions.insert(index, stored);
                }
            }
        }
        StoredStreams { versions }
    }
}

impl TryFrom<StoredStreams> for Vec<StreamVersion> {
    type Error = ParseIntError;

    fn try_from(stored: StoredStreams) -> Result<Vec<StreamVersion>, ParseIntError> {
        let mut streams = Vec::new();
        for StoredVersion { version, streams: keys } in stored.versions {
            for key in keys {
                let stream = StreamKey(u64::from_str_radix(&key, 16)?);
                streams.push(StreamVersion { stream, version: ShortKey(version) });
            }
        }
        streams.sort_unstable_by_key(|known| known.stream);
        Ok(streams)
    }
}

/// This host's object as it was last read or written.
#[derive(Debug)]
pub(super) struct OwnObject {
    expect: Expect,
    /// Sorted by stream.
    streams: Vec<StreamVersion>,
    era: u64,
}

/// Reads the versions of the streams that all hosts stored, and returns this host's object.
///
/// A host does this before it takes requests: if all hosts were killed, nobody else knows them.
pub(super) async fn read_stored_streams(state: &State) -> OwnObject {
    loop {
        match read_all(state).await {
            Ok(own) => return own,
            Err(error) => warn!(state.log, "streams_unread"; "error" => %error),
        }
        task::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

/// Reads the versions of the streams of all hosts once more, since other hosts may have died.
///
/// # Errors
///
/// Fails if the store doesn't answer.
pub(super) async fn reread_stored_streams(state: &State) -> Result<(), PlatformError> {
    let listing = state.protocols.store.objects().list(STREAMS_KIND).await?;
    for object in &listing.objects {
        let streams = decode(state, object);
        let now = state.now();
        state.streams().versions.add_stored(now, &streams);
    }
    Ok(())
}

/// Keeps the versions of this host's streams in the store while they can't be derived from which
/// versions serve.
///
/// As the lease holder, it also deletes the objects of hosts that are gone.
pub(super) async fn keep_stored_streams(state: Arc<State>, mut own: OwnObject) {
    let mut written_at = state.now();
    let mut collector = Collector { unchanged: Vec::new(), collected_at: state.now() };
    loop {
        task::sleep(Duration::from_millis(CHECK_MS)).await;
        collector.collect_if_due(&state).await;
        let now = state.now();
        if state.store_era() > own.era {
            own = reread(&state, own).await;
        }
        let streams = state.streams().versions.own_streams_to_store(now);
        let pause_ms = if has_all(&own.streams, &streams) && !state.is_draining() {
            REMOVE_AFTER_MS
        } else {
            write_interval_ms(&state)
        };
        if streams == own.streams || now.since_ms(written_at) < pause_ms {
            continue;
        }
        written_at = now;
        match write(&state, &streams, own.expect).await {
            Ok(expect) => own = OwnObject { expect, streams, era: own.era },
            Err(error) => {
                if error.category() != Category::Conflict {
                    warn!(state.log, "streams_unwritten"; "error" => %error);
                }
                own = reread(&state, own).await;
            }
        }
    }
}

/// Returns whether all of `streams` are among `stored`; both are sorted.
fn has_all(stored: &[StreamVersion], streams: &[StreamVersion]) -> bool {
    streams
        .iter()
        .all(|known| stored.binary_search_by_key(&known.stream, |stored| stored.stream).is_ok())
}

/// Returns the shortest interval of writes at which all hosts together keep to their part of the
/// store's rate.
fn write_interval_ms(state: &State) -> u64 {
    let hosts = state.membership().hosts.listed_records().count().max(1);
    let writes_per_s = state.settings.store_writes_per_s * WRITES_PART;
    let interval_ms = hosts as f64 / writes_per_s.max(f64::MIN_POSITIVE) * 1_000.0;
    (interval_ms as u64).max(CHECK_MS)
}

async fn read_all(state: &State) -> Result<OwnObject, PlatformError> {
    let era = state.store_era();
    let listing = state.protocols.store.objects().list(STREAMS_KIND).await?;
    let mut own = OwnObject { expect: Expect::Absent, streams: Vec::new(), era };
    let mut read = 0;
    for object in &listing.objects {
        let streams = decode(state, object);
        read += streams.len();
        if object.name == state.settings.host {
            record_own(state, &streams);
            own = OwnObject { expect: Expect::Version(object.version), streams, era };
        } else {
            let now = state.now();
            state.streams().versions.add_stored(now, &streams);
        }
    }
    if read > 0 {
        info!(state.log, "streams_read"; "objects" => listing.objects.len(), "streams" => read);
    }
    Ok(own)
}

/// Reads this host's object again; keeps the last one if that fails.
async fn reread(state: &State, last: OwnObject) -> OwnObject {
    let era = state.store_era();
    match state.protocols.store.objects().get(STREAMS_KIND, &state.settings.host).await {
        Ok(Some(object)) => {
            let streams = decode(state, &object);
            record_own(state, &streams);
            OwnObject { expect: Expect::Version(object.version), streams, era }
        }
        Ok(None) => OwnObject { expect: Expect::Absent, streams: Vec::new(), era },
        Err(error) => {
            warn!(state.log, "streams_unread"; "error" => %error);
            last
        }
    }
}

/// Records the streams of this host's earlier life, or of a write whose answer was lost.
fn record_own(state: &State, streams: &[StreamVersion]) {
    let now = state.now();
    let versions = &mut state.streams().versions;
    for StreamVersion { stream, version } in streams {
        versions.record_own_stream(now, *stream, *version);
    }
}

fn decode(state: &State, object: &Object) -> Vec<StreamVersion> {
    let decoded = object.decode::<StoredStreams>().map_err(|error| error.to_string());
    let streams = decoded
        .and_then(|stored| Vec::try_from(stored).map_err(|error: ParseIntError| error.to_string()));
    streams.unwrap_or_else(|error| {
        warn!(state.log, "streams_unreadable"; "name" => object.name.as_str(), "error" => error);
        Vec::new()
    })
}

/// Writes this host's object, or deletes it if there are no streams; returns what the next write
/// expects.
async fn write(
    state: &State,
    streams: &[StreamVersion],
    expect: Expect,
) -> Result<Expect, PlatformError> {
    let objects = state.protocols.store.objects();
    let host = &state.settings.host;
    if let (true, Expect::Version(version)) = (streams.is_empty(), expect) {
        objects.delete(STREAMS_KIND, host, version).await?;
        return Ok(Expect::Absent);
    }
    let value = serde_json::to_value(StoredStreams::from(streams))
        .map_err(|error| PlatformError::new(Category::Malformed, error.to_string()))?;
    let version = objects.put(STREAMS_KIND, host, value, expect).await?;
    info!(state.log, "streams_stored"; "streams" => streams.len());
    Ok(Expect::Version(version))
}

/// Deletes the objects of hosts that are gone.
#[derive(Debug)]
struct Collector {
    /// The objects of other hosts, with their versions and since when these are known.
    unchanged: Vec<(Name, u64, TimeMs)>,
    collected_at: TimeMs,
}

impl Collector {
    /// Deletes the objects that haven't changed for as long as a stream may last, if this host is
    /// the lease holder: their hosts would have removed all streams from them.
    async fn collect_if_due(&mut self, state: &State) {
        let now = state.now();
        if now.since_ms(self.collected_at) < COLLECT_INTERVAL_MS
            || state.orders().lease.token(now).is_none()
        {
            return;
        }
        self.collected_at = now;
        let listing = match state.protocols.store.objects().list_cached(STREAMS_KIND).await {
            Ok(listing) => listing,
            Err(error) => return warn!(state.log, "streams_unlisted"; "error" => %error),
        };
        let retention_ms = state.streams().versions.retention_ms() + REMOVE_AFTER_MS;
        let mut unchanged = Vec::new();
        for object in listing.objects {
            if object.name == state.settings.host {
                continue;
            }
            let is_same = |(name, version, _): &&(Name, u64, TimeMs)| {
                (name, *version) == (&object.name, object.version)
            };
            let since = self.unchanged.iter().find(is_same).map_or(now, |(_, _, since)| *since);
            if now.since_ms(since) < retention_ms {
                unchanged.push((object.name, object.version, since));
                continue;
            }
            let objects = state.protocols.store.objects();
            match objects.delete(STREAMS_KIND, &object.name, object.version).await {
                Ok(()) => info!(state.log, "streams_collected"; "peer" => object.name.as_str()),
                Err(error) => warn!(state.log, "streams_undeleted"; "error" => %error),
            }
        }
        self.unchanged = unchanged;
    }
}
