use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Sender;
use async_std::future::timeout;
use async_std::net::UdpSocket;
use async_std::task;
use lycheeford_policy::{
    Name, ShortKey, StreamKey, StreamVersion, StreamVersions, TimeMs, VersionKnowledge,
    stream_keepers,
};
use slog::info;

use super::send::send;
use super::wire::{Message, StreamQuery, StreamReply, StreamUpdate};
use crate::state::State;

/// How long the versions of new streams are collected before they are sent.
const COLLECT_MS: u64 = 10;
/// The most streams in one message.
const STREAMS_PER_MESSAGE_MAX: usize = 500;
/// The interval at which the versions that serve are recorded.
const SERVING_INTERVAL: Duration = Duration::from_millis(250);
/// A caller may resume a stream repeatedly, so that all its attempts together last longer than the
/// route's time-out.
const ATTEMPTS_FACTOR: u64 = 2;

/// The versions that began streams, and this host's queries about others.
#[derive(Debug)]
pub(crate) struct Streams {
    pub(crate) versions: StreamVersions,
    /// The queries without all their replies.
    waiting: Vec<(u64, Sender<VersionKnowledge>)>,
}

/// An event for the task that sends messages about streams.
#[derive(Debug, Clone)]
pub(crate) enum StreamEvent {
    /// Other hosts must know the version of a stream.
    Began(StreamVersion),
    /// This host asks another one.
    Query { query: StreamQuery, address: SocketAddr },
}

impl Streams {
    pub(crate) fn new(now: TimeMs) -> Streams {
        Streams { versions: StreamVersions::new(now), waiting: Vec::new() }
    }

    /// Delivers the replies to a query until [`Streams::remove_query`].
    pub(crate) fn add_query(&mut self, number: u64, sender: Sender<VersionKnowledge>) {
        self.waiting.push((number, sender));
    }

    pub(crate) fn remove_query(&mut self, number: u64) {
        self.waiting.retain(|(waiting, _)| *waiting != number);
    }
}

/// Records the version that began a stream of this host, and tells it to the hosts that keep it.
pub(crate) fn record_stream(state: &State, service: &Name, known: StreamVersion) {
    let now = state.now();
    let must_tell = {
        let versions = &mut state.streams().versions;
        versions.record_own_stream(now, known.stream, known.version);
        versions.must_tell(now, service, known.version)
    };
    if must_tell {
        state.queue_stream_event(StreamEvent::Began(known));
    }
}

/// Returns the addresses of the hosts, other than this one, that keep the version of a stream.
pub(crate) fn keeper_addresses(state: &State, stream: StreamKey) -> Vec<SocketAddr> {
    let own_address = state.settings.peer_address;
    let membership = state.membership();
    let keepers = stream_keepers(stream, membership.hosts.listed_records());
    let addresses = keepers.into_iter().map(|host| host.peer_address);
    addresses.filter(|address| *address != own_address).collect()
}

/// Sends what other hosts must know of streams, and this host's queries, until the future is
/// dropped.
pub(crate) async fn send_stream_events(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut began: Vec<StreamVersion> = Vec::new();
    let mut send_at: Option<TimeMs> = None;
    loop {
        let events = &state.stream_events.1;
        let event = match send_at {
            Some(at) => {
                let wait = Duration::from_millis(at.since_ms(state.now()));
                timeout(wait, events.recv()).await.ok()
            }
            None => Some(events.recv().await),
        };
        match event {
            Some(Ok(StreamEvent::Began(known))) => {
                began.push(known);
                send_at.get_or_insert(state.now() + COLLECT_MS);
            }
            Some(Ok(StreamEvent::Query { query, address })) => {
                send(&state, &socket, Message::StreamQuery(query), address).await;
            }
            Some(Err(_)) => return,
            None => {
                send_at = None;
                send_to_keepers(&state, &socket, std::mem::take(&mut began)).await;
            }
        }
    }
}

async fn send_to_keepers(state: &State, socket: &UdpSocket, began: Vec<StreamVersion>) {
    let mut by_keeper: Vec<(SocketAddr, Vec<StreamVersion>)> = Vec::new();
    for known in began {
        for address in keeper_addresses(state, known.stream) {
            match by_keeper.binary_search_by_key(&address, |(keeper, _)| *keeper) {
                Ok(index) => by_keeper[index].1.push(known),
                Err(index) => by_keeper.insert(index, (address, vec![known])),
            }
        }
    }
    for (address, streams) in by_keeper {
        for streams in streams.chunks(STREAMS_PER_MESSAGE_MAX) {
            let update = StreamUpdate { streams: streams.to_vec() };
            send(state, socket, Message::StreamUpdate(update), address).await;
        }
    }
}

/// Records which versions serve, until the future is dropped.
pub(crate) async fn track_versions(state: Arc<State>) {
    loop {
        record_serving_versions(&state);
        task::sleep(SERVING_INTERVAL).await;
    }
}

/// Records which versions serve. When a service gets a second version, the streams that began
/// before are told to the hosts that keep them.
pub(crate) fn record_serving_versions(state: &State) {
    let now = state.now();
    let serving = serving_versions(state);
    let stream_ms_max = stream_ms_max(state);
    let untold: Vec<StreamVersion> = {
        let versions = &mut state.streams().versions;
        versions.set_stream_ms_max(stream_ms_max);
        versions.expire(now);
        let mut has_second_version = false;
        for (service, version) in &serving {
            has_second_version |= versions.record_serving(now, service, ShortKey::of(version));
        }
        if has_second_version { versions.streams().collect() } else { Vec::new() }
    };
    if !untold.is_empty() {
        info!(state.log, "versions_mixed"; "streams" => untold.len());
    }
    for known in untold {
        state.queue_stream_event(StreamEvent::Began(known));
    }
}

/// Returns the services and the versions of their targets, without duplicates.
fn serving_versions(state: &State) -> Vec<(Name, Name)> {
    let dispatcher = state.dispatcher();
    let mut serving: Vec<(&Name, &Name)> = dispatcher
        .targets
        .targets()
        .iter()
        .map(|target| (&target.entry.service, &target.entry.version))
        .collect();
    serving.sort();
    serving.dedup();
    serving.into_iter().map(|(service, version)| (service.clone(), version.clone())).collect()
}

/// Returns how long a stream may last, with its caller's resumptions.
fn stream_ms_max(state: &State) -> u64 {
    let deployment = state.deployment.load();
    let routes = deployment.iter().flat_map(|known| &known.routes);
    let streams = routes.filter(|route| route.kind.is_stream());
    let timeout_ms = streams.map(|route| route.timeout_ms).max();
    timeout_ms.map_or(0, |timeout_ms| timeout_ms * ATTEMPTS_FACTOR)
}

pub(super) fn apply_stream_update(state: &State, update: &StreamUpdate) {
    let now = state.now();
    let versions = &mut state.streams().versions;
    for known in &update.streams {
        versions.record_stream(now, known.stream, known.version);
    }
}

pub(super) fn reply_to_query(state: &State, query: &StreamQuery) -> StreamReply {
    let knowledge = state.streams().versions.knowledge(state.now(), &query.service, query.stream);
    StreamReply { number: query.number, knowledge }
}

pub(super) fn handle_stream_reply(state: &State, reply: &StreamReply) {
    let streams = state.streams();
    let waiting = streams.waiting.iter().find(|(number, _)| *number == reply.number);
    if let Some((_, sender)) = waiting {
        // Fails only if the query is over.
        let _ = sender.try_send(reply.knowledge);
    }
}
