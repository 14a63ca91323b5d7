use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{Receiver, bounded};
use async_std::future::timeout;
use lycheeford_policy::{
    Chosen, Name, Refusal, RefusalCode, ShortKey, StreamKey, StreamVersion, VersionKnowledge,
    combine_knowledge,
};
use slog::info;

use super::admission::Admitted;
use crate::membership::{
    StreamEvent, StreamQuery, keeper_addresses, recall_versions, record_serving_versions,
    record_stream,
};
use crate::state::State;

/// How long other hosts are waited for that may know the version of a stream.
const REPLIES_MS_MAX: u64 = 100;

/// A query to other hosts. Dropping it discards later replies.
struct PendingQuery<'a> {
    state: &'a State,
    number: u64,
    receiver: Receiver<VersionKnowledge>,
    queried: usize,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.state.streams().remove_query(self.number);
    }
}

impl Admitted {
    /// Returns the key of the stream that the request begins or resumes.
    fn stream_key(&self) -> StreamKey {
        StreamKey::of(self.request.resumes.as_ref().unwrap_or(&self.request.id))
    }

    /// Records that the caller has all of the stream.
    pub(super) fn record_completed_stream(&self, state: &State) {
        if self.route.kind.is_stream() && self.route.kind.is_repeatable() {
            state.streams().versions.completed(self.stream_key());
        }
    }

    /// Restricts the request to the version of the target that sends the first event of its stream.
    pub(super) fn pin_to_version_of(&mut self, state: &State, chosen: &Chosen) {
        if self.need.version.is_some() || !self.route.kind.is_repeatable() {
            return;
        }
        let version = ShortKey::of(&chosen.version);
        self.need.version = Some(version);
        let known = StreamVersion { stream: self.stream_key(), version };
        record_stream(state, &self.need.service, known);
    }
}

/// Restricts a request that resumes a stream to the version that began it.
///
/// # Errors
///
/// Refuses the request if no host knows that version.
pub(super) async fn pin_resumed_version(
    state: &Arc<State>,
    admitted: &mut Admitted,
) -> Result<(), Refusal> {
    if admitted.request.resume_after.is_none() || !admitted.route.kind.is_stream() {
        return Ok(());
    }
    record_serving_versions(state);
    let stream = admitted.stream_key();
    let knowledge = || {
        let versions = &state.streams().versions;
        versions.knowledge(state.now(), &admitted.need.service, stream)
    };
    let mut own = knowledge();
    let is_named = admitted.request.resumes.is_some();
    let replies = if is_named && !matches!(own, VersionKnowledge::Began(_)) {
        query_keepers(state, admitted, stream).await
    } else {
        Vec::new()
    };
    let combined = |own| combine_knowledge(replies.iter().copied().chain([own]));
    let mut version = combined(own);
    if version.is_none() && is_named {
        recall_versions(state).await;
        own = knowledge();
        version = combined(own);
    }
    if !is_named {
        // A caller that doesn't name the attempt that began the stream expects no other version.
        let versions = &state.streams().versions;
        version = version.or(versions.only_version(state.now(), &admitted.need.service));
    }
    let source = version_source(own, &replies, version.is_some());
    state.metrics.resume(source);
    info!(state.log, "resume_requested";
        "id" => admitted.request.id.as_str(),
        "resumes" => admitted.request.resumes.as_ref().map(Name::as_str),
        "model" => admitted.need.model.as_ref().map(Name::as_str),
        "version_key" => version.map(|version| version.0), "known_here" => ?own,
        "replies" => replies.len(), "version_source" => source);
    let Some(version) = version else {
        let message = "the software version that began the stream isn't known; request the whole \
                       stream again";
        return Err(Refusal::not_run(RefusalCode::NoTarget, message, None));
    };
    admitted.need.version = Some(version);
    record_stream(state, &admitted.need.service, StreamVersion { stream, version });
    Ok(())
}

/// Returns who knew the version that began a stream, as a label.
fn version_source(
    own: VersionKnowledge,
    replies: &[VersionKnowledge],
    is_known: bool,
) -> &'static str {
    let has_begun = |knowledge: &VersionKnowledge| matches!(knowledge, VersionKnowledge::Began(_));
    if !is_known {
        "unknown"
    } else if has_begun(&own) {
        "here"
    } else if replies.iter().any(has_begun) {
        "other_host"
    } else {
        "only_version"
    }
}

/// Asks the hosts that keep the version of a stream; returns what they know.
async fn query_keepers(
    state: &Arc<State>,
    admitted: &Admitted,
    stream: StreamKey,
) -> Vec<VersionKnowledge> {
    let addresses = keeper_addresses(state, stream);
    let mut replies = Vec::new();
    if addresses.is_empty() {
        return replies;
    }
    let (sender, receiver) = bounded(addresses.len());
    let number = state.next_number();
    state.streams().add_query(number, sender);
    let pending = PendingQuery { state, number, receiver, queried: addresses.len() };
    for address in addresses {
        let query = StreamQuery {
            service: admitted.need.service.clone(),
            stream,
            sender: state.settings.peer_address,
            number,
        };
        state.queue_stream_event(StreamEvent::Query { query, address });
    }
    let give_up_at = state.now() + REPLIES_MS_MAX;
    while replies.len() < pending.queried {
        let wait = Duration::from_millis(give_up_at.since_ms(state.now()));
        let Ok(Ok(knowledge)) = timeout(wait, pending.receiver.recv()).await else { break };
        replies.push(knowledge);
        if matches!(knowledge, VersionKnowledge::Began(_)) {
            break;
        }
    }
    replies
}
