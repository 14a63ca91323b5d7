use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::channel::{Receiver, unbounded};
use async_std::future::timeout;
use async_std::task;
use lycheeford_config::{CHUNK_KIND, Chunk, HEAD_KIND, HEAD_NAME, Head};
use lycheeford_platform::{
    Change, FollowLimits, FollowWaker, ObjectStore, WatchEvent, follow_with_pauses,
};
use lycheeford_policy::TimeMs;
use slog::{info, warn};
use snafu::ResultExt;

use super::committed::{Committed, PlatformSnafu, ReadError, head_of};
use crate::state::State;

/// The pause before the configuration of a head is read again after a failure.
const RETRY_MS: u64 = 200;

/// Watches the head object and puts each newer configuration in force.
///
/// A separate task reads the chunks, so that a slow read doesn't stop this watch from receiving
/// confirmations of the configuration in force.
pub(crate) async fn follow_configuration(state: Arc<State>) {
    let (sender, receiver) = unbounded();
    task::spawn(read_heads(state.clone(), receiver));
    let limits = FollowLimits::default();
    let clock = state.clock;
    let is_disconnected = AtomicBool::new(false);
    follow_with_pauses(
        &state.store,
        HEAD_KIND,
        &limits,
        move || clock.now(),
        |update| {
            if is_disconnected.swap(false, Ordering::Relaxed) {
                info!(state.log, "platform answers again");
            }
            // An unreadable head confirms nothing, since it may be newer than the configuration in
            // force.
            if let Ok(head) = latest_head(&state, &update.change) {
                // Can't fail: the receiver exists as long as the daemon.
                let _ = sender.try_send((update.as_of, head));
            }
        },
        |error| {
            is_disconnected.store(true, Ordering::Relaxed);
            warn!(state.log, "platform doesn't answer"; "error" => error);
        },
        &FollowWaker::default(),
        |_| 0,
    )
    .await;
}

/// Reads the configuration that `head` names, reusing the chunks of the one in force.
///
/// # Errors
///
/// Fails if the platform doesn't answer, or the stored configuration is incomplete or invalid.
pub(crate) async fn read_configuration(state: &State, head: Head) -> Result<Committed, ReadError> {
    let mut chunks = state.committed.load().chunks.clone();
    for name in head.declared.iter().chain(&head.keys) {
        if chunks.iter().any(|chunk| chunk.name == *name) {
            continue;
        }
        let object = state.store.get(CHUNK_KIND, name).await.context(PlatformSnafu)?;
        let object = object.ok_or_else(|| ReadError::MissingChunk { name: name.to_string() })?;
        let text = object.decode::<String>().ok();
        let text = text.ok_or_else(|| ReadError::BadChunk { name: name.to_string() })?;
        chunks.push(Chunk { name: name.clone(), text });
    }
    Committed::assemble(head, &chunks)
}

/// Puts a configuration in force, unless the same or a newer revision already is.
pub(crate) fn adopt(state: &State, committed: Committed) {
    let configuration = committed.configuration.clone();
    let revision = configuration.revision;
    // Held until the end of the function, so that two revisions can't be applied in the wrong
    // order.
    let _adopting = state.adopting.lock();
    if revision <= state.configuration.load().revision {
        return;
    }
    state.configuration.store(configuration.clone());
    state.committed.store(Arc::new(committed));
    info!(state.log, "configuration in force"; "revision" => revision);
    let now = state.now();
    state.metrics.configuration_revision.set(revision);
    state.freshness.lock().set_revision_in_force(revision);
    state.rates.lock().configure(now, &configuration);
    state.placement.lock().configure(&configuration);
    state.coordinator.lock().configure(&configuration);
    state.plan_due.wake();
}

/// Reads the configuration of each received head and puts it in force.
///
/// A configuration that can't be read is tried again every `RETRY_MS` until a newer head arrives.
async fn read_heads(state: Arc<State>, heads: Receiver<(TimeMs, Option<Head>)>) {
    let mut pending_head: Option<Head> = None;
    let mut latest_revision = 0;
    loop {
        let received = match &pending_head {
            None => heads.recv().await.ok(),
            Some(_) => match timeout(Duration::from_millis(RETRY_MS), heads.recv()).await {
                Ok(received) => received.ok(),
                Err(_) => None,
            },
        };
        let as_of = received.as_ref().map(|(as_of, _)| *as_of);
        pending_head = received.and_then(|(_, head)| head).or(pending_head);
        latest_revision = pending_head.as_ref().map_or(latest_revision, |head| head.revision);
        if let Some(head) = &pending_head
            && put_in_force(&state, head.clone()).await
        {
            pending_head = None;
        }
        if let Some(as_of) = as_of {
            state.freshness.lock().confirm(as_of, latest_revision);
        }
    }
}

/// Reads the configuration of `head` and puts it in force; returns whether a configuration at
/// least as new is in force now.
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
