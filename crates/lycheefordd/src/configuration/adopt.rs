use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{Receiver, unbounded};
use async_std::future::timeout;
use async_std::task;
use lycheeford_config::{CHUNK_KIND, Chunk, HEAD_KIND, HEAD_NAME, Head, assemble};
use lycheeford_platform::{Change, FollowLimits, Object, ObjectStore, WatchEvent, follow};
use lycheeford_policy::{Configuration, TimeMs};
use slog::{info, warn};
use snafu::{ResultExt, Snafu};

use crate::state::State;

/// The pause before the chunks of a head are read again after a failure.
const RETRY_MS: u64 = 200;

/// Why the configuration that a head names can't be read.
#[derive(Debug, Snafu)]
pub(crate) enum ReadError {
    #[snafu(display("platform didn't give the configuration: {source}"))]
    Platform { source: lycheeford_platform::PlatformError },
    #[snafu(display("stored configuration lacks chunk {name}; apply the configuration again"))]
    MissingChunk { name: String },
    #[snafu(display("stored chunk {name} isn't text; apply the configuration again"))]
    BadChunk { name: String },
    #[snafu(display("stored head isn't readable: {source}; apply the configuration again"))]
    BadHead { source: serde_json::Error },
    #[snafu(display("stored configuration is wrong: {source}"))]
    Assemble { source: lycheeford_config::AssembleError },
}

/// A committed configuration with the objects that it was read from.
#[derive(Debug, Clone, Default)]
pub(crate) struct Committed {
    pub(crate) head: Head,
    pub(crate) chunks: Vec<Chunk>,
    pub(crate) configuration: Arc<Configuration>,
}

impl Committed {
    /// Assembles what `head` names out of `chunks`, which may hold more.
    pub(crate) fn assemble(head: Head, chunks: &[Chunk]) -> Result<Committed, ReadError> {
        let named = head.declared.iter().chain(&head.keys);
        let chunks = named
            .filter_map(|name| chunks.iter().find(|chunk| chunk.name == *name).cloned())
            .collect::<Vec<Chunk>>();
        let configuration = Arc::new(assemble(&head, &chunks).context(AssembleSnafu)?);
        Ok(Committed { head, chunks, configuration })
    }
}

/// Follows the head object and puts each newer configuration in force.
///
/// The chunks are read outside of the follower, so that a slow read doesn't
/// delay the confirmations of what is in force.
pub(crate) async fn follow_configuration(state: Arc<State>) {
    let (sender, receiver) = unbounded();
    task::spawn(read_heads(state.clone(), receiver));
    let limits = FollowLimits::default();
    let clock = state.clock;
    follow(
        &state.store,
        HEAD_KIND,
        &limits,
        move || clock.now(),
        |update| {
            // A head that can't be read confirms nothing: it may be a newer one.
            if let Ok(head) = latest_head(&state, &update.change) {
                // The receiver lives as long as the daemon.
                let _ = sender.try_send((update.as_of, head));
            }
        },
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

/// Reads a head from its object.
pub(crate) fn head_of(object: &Object) -> Result<Head, ReadError> {
    serde_json::from_value(object.value.clone()).context(BadHeadSnafu)
}

/// Puts a configuration in force unless a newer one is.
pub(crate) fn adopt(state: &State, committed: Committed) {
    let configuration = committed.configuration.clone();
    let revision = configuration.revision;
    // Held to the end, so that two revisions can't be taken over in the wrong order.
    let _adopting = state.adopting();
    if revision <= state.configuration.load().revision {
        return;
    }
    state.configuration.store(configuration.clone());
    state.committed.store(Arc::new(committed));
    info!(state.log, "configuration in force"; "revision" => revision);
    let now = state.now();
    state.metrics.configuration_revision.set(revision);
    state.freshness().in_force(revision);
    state.rates().configure(now, &configuration);
    state.placement().configure(&configuration);
    state.coordinator().configure(&configuration);
    state.wake_planner();
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
            state.freshness().confirm(as_of, shown_revision);
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
