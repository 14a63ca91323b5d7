use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::host_table::HostRecord;
use crate::gateway::short_key::ShortKey;
use crate::{Name, TimeMs};

/// Number of hosts that keep the version of a stream, besides the host that began it.
const KEEPERS: usize = 3;
/// Maximum number of streams of which a host knows the version.
const STREAMS_MAX: usize = 20_000;
/// Maximum number of streams that a host stores; the ones recorded last go first.
const STORED_STREAMS_MAX: usize = 4_000;

/// Identifies a stream in messages between hosts, by the id of the attempt that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that the attempt with this id began.
    pub fn of(attempt_id: &str) -> StreamKey {
        StreamKey(xxh3_64(attempt_id.as_bytes()))
    }
}

/// A stream, and the software version of the target that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamVersion {
    /// Key of the stream.
    pub stream: StreamKey,
    /// Key of the version.
    pub version: ShortKey,
}

/// The versions of a service at which a stream may have begun that can still be resumed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceVersions {
    /// Name of the service.
    pub service: Name,
    /// Keys of the versions, sorted.
    pub versions: Vec<ShortKey>,
}

/// What one host knows about the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionKnowledge {
    /// The stream began at this version.
    Began(ShortKey),
    /// The stream is unknown, but the service has had this version alone for as long as a stream
    /// may last.
    Sole(ShortKey),
    /// The stream is unknown, and the service has had several versions.
    Several,
    /// The host started too recently to exclude other versions, and has no stored history.
    Recent,
}

/// The versions that began the streams that may still be resumed.
///
/// Targets of several software versions may serve one service, and a stream may go on only at the
/// version that began it. A caller can resume a stream at any host, also after the host that began
/// it has died. Therefore each host tells the version of each stream to the few hosts that every
/// host computes with [`stream_keepers`], unless it has itself seen the service with one version
/// alone for as long as a stream may last.
///
/// A host that has just started can't know which versions served before. The versions of the whole
/// fleet are therefore stored ([`StreamVersions::history`]), so that a restart of all hosts doesn't
/// lose them. While a service has several versions, each host also stores the versions of its own
/// streams ([`StreamVersions::own_streams_to_store`]). See docs/DESIGN.md.
///
/// ```
/// use lycheeford_policy::{ShortKey, StreamKey, StreamVersions, TimeMs, VersionKnowledge};
///
/// let (now, service) = (TimeMs::from_ms(50_000), "models".into());
/// let mut streams = StreamVersions::new(TimeMs::from_ms(0));
/// let (old, new) = (ShortKey::of("v1"), ShortKey::of("v1.1"));
/// streams.record_serving(now, &service, old);
/// let stream = StreamKey::of("9c41d07be2a35f68");
/// assert_eq!(streams.knowledge(now, &service, stream), VersionKnowledge::Sole(old));
/// streams.record_serving(now, &service, new);
/// assert_eq!(streams.knowledge(now, &service, stream), VersionKnowledge::Several);
/// streams.record_stream(now, stream, new);
/// assert_eq!(streams.knowledge(now, &service, stream), VersionKnowledge::Began(new));
/// ```
#[derive(Debug)]
pub struct StreamVersions {
    started_at: TimeMs,
    retention_ms: u64,
    /// Whether `serving` covers the time before this host started.
    has_earlier_history: bool,
    /// Sorted by stream.
    streams: Vec<Record>,
    /// Sorted by service and version.
    serving: Vec<(Name, ShortKey, TimeMs)>,
}

#[derive(Debug)]
struct Record {
    known: StreamVersion,
    at: TimeMs,
    /// Whether this host relays the stream, or did and hasn't completed it.
    is_own: bool,
}

impl StreamVersions {
    /// Time for which streams and versions are retained at least.
    pub const RETENTION_MS_MIN: u64 = 30_000;
    /// Time for which streams and versions are retained at most.
    pub const RETENTION_MS_MAX: u64 = 300_000;

    /// Returns the table of a host that started at `now`.
    pub fn new(now: TimeMs) -> StreamVersions {
        StreamVersions {
            started_at: now,
            retention_ms: StreamVersions::RETENTION_MS_MIN,
            has_earlier_history: false,
            streams: Vec::new(),
            serving: Vec::new(),
        }
    }

    /// Sets how long a stream may last, including its caller's resumptions.
    pub fn set_stream_ms_max(&mut self, stream_ms_max: u64) {
        let range = StreamVersions::RETENTION_MS_MIN..=StreamVersions::RETENTION_MS_MAX;
        self.retention_ms = stream_ms_max.clamp(*range.start(), *range.end());
    }

    /// Records that targets of a version serve a service; returns whether the service now has
    /// several versions and had only one before.
    pub fn record_serving(&mut self, now: TimeMs, service: &Name, version: ShortKey) -> bool {
        let found = self
            .serving
            .binary_search_by(|(other, known, _)| (other, *known).cmp(&(service, version)));
        match found {
            Ok(index) => {
                self.serving[index].2 = now;
                false
            }
            Err(index) => {
                self.serving.insert(index, (service.clone(), version, now));
                self.versions(now, service).count() == 2
            }
        }
    }

    /// Adds the versions at which streams may have begun that can still be resumed, as stored by a
    /// lease holder.
    ///
    /// Each one counts as serving until `now`, since it isn't known how long ago it was last listed.
    pub fn add_earlier(&mut self, now: TimeMs, earlier: &[ServiceVersions]) {
        for ServiceVersions { service, versions } in earlier {
            for version in versions {
                self.record_serving(now, service, *version);
            }
        }
        self.has_earlier_history = true;
    }

    /// Records that no host of the fleet ran before this one, so that no stream can have begun at a
    /// version that this host doesn't know.
    pub fn is_first_of_fleet(&mut self) {
        self.has_earlier_history = true;
    }

    /// Returns the versions of each service at which a stream may have begun that can still be
    /// resumed, sorted by service; `None` if this host can't know all of them.
    pub fn history(&self, now: TimeMs) -> Option<Vec<ServiceVersions>> {
        if !self.knows_history(now) {
            return None;
        }
        let mut history: Vec<ServiceVersions> = Vec::new();
        let is_retained = |at: TimeMs| now.since_ms(at) < self.retention_ms;
        for (service, version, _) in self.serving.iter().filter(|(_, _, at)| is_retained(*at)) {
            match history.last_mut().filter(|last| last.service == *service) {
                Some(last) => last.versions.push(*version),
                None => history
                    .push(ServiceVersions { service: service.clone(), versions: vec![*version] }),
            }
        }
        Some(history)
    }

    fn knows_history(&self, now: TimeMs) -> bool {
        self.has_earlier_history || self.has_seen_history(now)
    }

    /// Returns whether this host has run for as long as a stream may last.
    fn has_seen_history(&self, now: TimeMs) -> bool {
        now.since_ms(self.started_at) >= self.retention_ms
    }

    /// Records the version that began a stream, as another host knows it.
    pub fn record_stream(&mut self, now: TimeMs, stream: StreamKey, version: ShortKey) {
        self.record(now, StreamVersion { stream, version }, false);
    }

    /// Records the version that began a stream that this host relays.
    pub fn record_own_stream(&mut self, now: TimeMs, stream: StreamKey, version: ShortKey) {
        self.record(now, StreamVersion { stream, version }, true);
    }

    /// Adds streams that hosts have stored; what is known of a stream stays as it is.
    pub fn add_stored(&mut self, now: TimeMs, stored: &[StreamVersion]) {
        for known in stored {
            if self.position(known.stream).is_err() {
                self.record(now, *known, false);
            }
        }
    }

    /// Records that the caller of a stream that this host relays has all of it.
    pub fn completed(&mut self, stream: StreamKey) {
        if let Ok(index) = self.position(stream) {
            self.streams[index].is_own = false;
        }
    }

    /// Returns the streams of this host whose versions must outlive all hosts, sorted: those of
    /// services with several versions.
    pub fn own_streams_to_store(&self, now: TimeMs) -> Vec<StreamVersion> {
        let mixed = self.mixed_versions(now);
        if mixed.is_empty() {
            return Vec::new();
        }
        let is_needed =
            |record: &&Record| record.is_own && mixed.binary_search(&record.known.version).is_ok();
        let mut needed: Vec<&Record> = self.streams.iter().filter(is_needed).collect();
        if needed.len() > STORED_STREAMS_MAX {
            needed.sort_by_key(|record| std::cmp::Reverse(record.at));
            needed.truncate(STORED_STREAMS_MAX);
            needed.sort_by_key(|record| record.known.stream);
        }
        needed.into_iter().map(|record| record.known).collect()
    }

    /// Returns for how long streams and versions are retained.
    pub fn retention_ms(&self) -> u64 {
        self.retention_ms
    }

    fn record(&mut self, now: TimeMs, known: StreamVersion, is_own: bool) {
        match self.position(known.stream) {
            // Versions don't change: the first record is that of the attempt that began the stream.
            Ok(index) => {
                let record = &mut self.streams[index];
                record.at = now;
                record.is_own |= is_own;
            }
            Err(index) if self.streams.len() < STREAMS_MAX => {
                self.streams.insert(index, Record { known, at: now, is_own });
            }
            Err(_) => {}
        }
    }

    /// Returns the versions of all services that have several, sorted.
    fn mixed_versions(&self, now: TimeMs) -> Vec<ShortKey> {
        let retained: Vec<(&Name, ShortKey)> = self
            .serving
            .iter()
            .filter(|(_, _, at)| now.since_ms(*at) < self.retention_ms)
            .map(|(service, version, _)| (service, *version))
            .collect();
        let of_services = retained.chunk_by(|(one, _), (other, _)| one == other);
        let mixed = of_services.filter(|versions| versions.len() > 1).flatten();
        let mut mixed: Vec<ShortKey> = mixed.map(|(_, version)| *version).collect();
        mixed.sort_unstable();
        mixed.dedup();
        mixed
    }

    /// Returns what this host knows about the version that began a stream.
    pub fn knowledge(&self, now: TimeMs, service: &Name, stream: StreamKey) -> VersionKnowledge {
        if let Ok(index) = self.position(stream) {
            return VersionKnowledge::Began(self.streams[index].known.version);
        }
        let mut versions = self.versions(now, service);
        match (versions.next(), versions.next()) {
            (Some(_), Some(_)) => VersionKnowledge::Several,
            (Some(version), None) if self.knows_history(now) => VersionKnowledge::Sole(version),
            _ => VersionKnowledge::Recent,
        }
    }

    /// Returns the version of a service of which this host knows no other one, since it started.
    pub fn only_version(&self, now: TimeMs, service: &Name) -> Option<ShortKey> {
        let mut versions = self.versions(now, service);
        versions.next().filter(|_| versions.next().is_none())
    }

    /// Returns whether other hosts must be told the versions of the streams of a service.
    ///
    /// What this host read of the time before its start says nothing of what the others know: they
    /// may have started before it was stored.
    pub fn must_tell(&self, now: TimeMs, service: &Name, version: ShortKey) -> bool {
        !self.has_seen_history(now) || self.versions(now, service).any(|other| other != version)
    }

    /// Returns all streams whose version is known.
    pub fn streams(&self) -> impl Iterator<Item = StreamVersion> {
        self.streams.iter().map(|record| record.known)
    }

    /// Removes the streams and versions that are older than the retention.
    pub fn expire(&mut self, now: TimeMs) {
        let retention_ms = self.retention_ms;
        self.streams.retain(|record| now.since_ms(record.at) < retention_ms);
        self.serving.retain(|(_, _, at)| now.since_ms(*at) < retention_ms);
    }

    fn versions(&self, now: TimeMs, service: &Name) -> impl Iterator<Item = ShortKey> {
        let retention_ms = self.retention_ms;
        let of_service = self
            .serving
            .iter()
            .filter(move |(other, _, at)| other == service && now.since_ms(*at) < retention_ms);
        of_service.map(|(_, version, _)| *version)
    }

    fn position(&self, stream: StreamKey) -> Result<usize, usize> {
        self.streams.binary_search_by_key(&stream, |record| record.known.stream)
    }
}

/// Combines what this host and others know about the version that began a stream; returns `None`
/// if no host knows it for certain.
pub fn combine_knowledge(known: impl IntoIterator<Item = VersionKnowledge>) -> Option<ShortKey> {
    let mut sole = None;
    let mut is_ambiguous = false;
    for knowledge in known {
        match knowledge {
            VersionKnowledge::Began(version) => return Some(version),
            VersionKnowledge::Sole(version) => {
                is_ambiguous |= sole.is_some_and(|other| other != version);
                sole = Some(version);
            }
            VersionKnowledge::Several => is_ambiguous = true,
            VersionKnowledge::Recent => {}
        }
    }
    sole.filter(|_| !is_ambiguous)
}

/// Returns the hosts that keep the version of a stream, in different failure domains as far as
/// possible.
///
/// `hosts` are all listed hosts, whether alive or not, since the host that tells and the one that
/// asks must compute the same ones.
pub fn stream_keepers<'a>(
    stream: StreamKey,
    hosts: impl IntoIterator<Item = &'a HostRecord>,
) -> Vec<&'a HostRecord> {
    let weight = |host: &HostRecord| xxh3_64_with_seed(host.host.as_bytes(), stream.0);
    let mut ranked: Vec<&HostRecord> = hosts.into_iter().collect();
    ranked.sort_by_cached_key(|host| std::cmp::Reverse((weight(host), host.host.clone())));
    let mut keepers: Vec<&HostRecord> = Vec::new();
    for host in &ranked {
        let is_new_domain =
            keepers.iter().all(|keeper| keeper.failure_domain != host.failure_domain);
        if is_new_domain && keepers.len() < KEEPERS {
            keepers.push(host);
        }
    }
    for host in &ranked {
        let is_known = keepers.iter().any(|keeper| keeper.host == host.host);
        if !is_known && keepers.len() < KEEPERS {
            keepers.push(host);
        }
    }
    keepers
}
