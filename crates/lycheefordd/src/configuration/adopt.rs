use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::channel::{Receiver, unbounded};
use async_std::future::timeout;
use async_std::task;
use lycheeford_config::{CHUNK_KIND, Chunk, HEAD_KIND, HEAD_NAME, Head};
use lycheeford_platform::{
    Change, FollowLimits, FollowPace, ObjectStore, WatchEvent, follow_at_pace,
};
use lycheeford_policy::TimeMs;
use slog::{info, warn};
use snafu::ResultExt;

use super::committed::{Committed, PlatformSnafu, ReadError, head_of};
use crate::state::State;

/// The pause before the chunks of a head are read again after a failure.
const RETRY_MS: u64 = 200;

/// Follows the head object and puts each newer configuration in force.
///
/// The chunks are read outside of the follower, so that a slow read doesn't
/// delay the confirmations of what is in force.
pub(crate) async fn follow_configuration(state: Arc<State>) {
    let (sender, receiver) = unbounded();
    task::spawn(read_heads(state.clone(), receiver));
    let limits = FollowLimits::default();
    let clock = state.clock;
    let is_lost = AtomicBool::new(false);
    follow_at_pace(
        &state.store,
        HEAD_KIND,
        &limits,
        move || clock.now(),
        |update| {
            if is_lost.swap(false, Ordering::Relaxed) {
                info!(state.log, "platform answers again");
            }
            // A head that can't be read confirms nothing: it may be a newer one.
            if let Ok(head) = latest_head(&state, &update.change) {
                // The receiver lives as long as the daemon.
                let _ = sender.try_send((update.as_of, head));
            }
        },
        |error| {
            is_lost.store(true, Ordering::Relaxed);
            warn!(state.log, "platform doesn't answer"; "error" => error);
        },
        &FollowPace::default(),
        |_| 0,
    )
    .await;
}

/// Reads the configuration that `head` names; chunks in force aren't read again.
///
/// # Errors
///
/// Fails if the platform doesn't answer, or what is stored isn't whole.
pub(crate) async fn read_configuration(state: &State, head: Head) -> Result<Committed, ReadError> {
    let mut chunks = state.committed.load().chunks.clone();
    for name in head.declared.iter().chain(&head.keys) {
        if chunks.iter().any(|chunk| chunk.name == *name) {
            continue;
        }
        let object = state.store.get(CHUNK_KIND, name).await.context(PlatformSnafu)?;
        let object = object.ok_or_else(|| ReadError::MissingChunk { name: name.to_string() })?;
        let text = object.value.as_str();
        let text = text.ok_or_else(|| ReadError::BadChunk { name: name.to_string() })?;
        chunks.push(Chunk { name: name.clone(), text: text.to_owned() });
    }
    Committed::assemble(head, &chunks)
}

/// Puts a configuration in force unless a newer one is.
pub(crate) fn adopt(state: &State, committed: Committed) {
    let configuration = committed.configuration.clone();
    let revision = configuration.revision;
    // Held to the end, so that two revisions can't be taken over in the wrong order.
    let _adopting = state.adopting.lock();
    if revision <= state.configuration.load().revision {
        return;
    }
    state.configuration.store(configuration.clone());
    state.committed.store(Arc::new(committed));
    info!(state.log, "configuration in force"; "revision" => revision);
    let now = state.now();
    state.metrics.configuration_revision.set(revision);
    state.freshness.lock().in_force(revision);
    state.rates.lock().configure(now, &configuration);
    state.placement.lock().configure(&configuration);
    state.coordinator.lock().configure(&configuration);
    state.plan_due.wake();
}

/// Reads each head's configuration; one that can't be read is tried again until a newer comes.
async fn read_heads(state: Arc<State>, heads: Receiver<(TimeMs, Option<Head>)>) {
    let mut wanted: Option<Head> = None;
    let mut shown_revision = 0;
    loop {
        let news = match &wanted {
            None => heads.recv().await.ok(),
            Some(_) => match timeout(Duration::from_millis(RETRY_MS), heads.recv()).await {
                Ok(news) => news.ok(),
                Err(_) => None,
            },
        };
        let as_of = news.as_ref().map(|(as_of, _)| *as_of);
        wanted = news.and_then(|(_, head)| head).or(wanted);
        shown_revision = wanted.as_ref().map_or(shown_revision, |head| head.revision);
        if let Some(head) = &wanted
            && put_in_force(&state, head.clone()).await
        {
            wanted = None;
        }
        if let Some(as_of) = as_of {
            state.freshness.lock().confirm(as_of, shown_revision);
        }
    }
}

/// Returns whether a configuration at least as new as `head` is in force now.
async fn put_in_force(state: &State, head: Head) -> bool {
    if head.revision <= state.configuration.load().revision {
        return true;
    }
    match read_configuration(state, head).await {
        Ok(committed) => {
            adopt(state, committed);
            true
        }
        Err(error) => {
            warn!(state.log, "configuration not readable"; "error" => %error);
            false
        }
    }
}

fn latest_head(state: &State, change: &Change) -> Result<Option<Head>, ReadError> {
    let object = match change {
        Change::Replace(listing) => listing.object(HEAD_NAME),
        Change::Apply(events) => events.iter().rev().find_map(|event| match event {
            WatchEvent::Put(object) if object.name.as_str() == HEAD_NAME => Some(object),
            _ => None,
        }),
    };
    let head = object.map(head_of).transpose();
    if let Err(error) = &head {
        warn!(state.log, "head not readable"; "error" => %error);
    }
    head
}
