use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use lycheeford_policy::TimeMs;

use crate::backoff::Backoff;
use crate::{Category, Listing, ObjectStore, PlatformError, WatchBatch, WatchEvent};

/// Time limits for following the objects of a kind.
#[derive(Debug, Clone)]
pub struct FollowLimits {
    /// How long a watch waits for a change; this bounds the age of a confirmation.
    pub wait_ms: u64,
    /// How much longer than `wait_ms` an answer may take before the call is given up.
    pub grace_ms: u64,
    /// The first delay after a failure; it doubles with each further failure.
    pub backoff_ms_min: u64,
    /// The longest delay after a failure.
    pub backoff_ms_max: u64,
}

impl Default for FollowLimits {
    fn default() -> FollowLimits {
        FollowLimits { wait_ms: 1_500, grace_ms: 1_000, backoff_ms_min: 50, backoff_ms_max: 1_000 }
    }
}

/// A confirmation by the platform that the known objects are current, with the changes since the
/// previous one.
#[derive(Debug, Clone, PartialEq)]
pub struct Update {
    /// When the call began; every change made before this time is included.
    pub as_of: TimeMs,
    /// The revision up to which changes are included.
    pub revision: u64,
    /// When the first of the failed or unanswered calls just before this one began; `None` if the
    /// previous call succeeded.
    pub failing_since: Option<TimeMs>,
    /// The changes to apply to the known objects.
    pub change: Change,
    /// The number of objects that are left out because not even their names can be read.
    pub unnamed: usize,
}

/// The changes of an update.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// Replaces all known objects of the kind with the list.
    Replace(Listing),
    /// Applies the changes in order; there may be none.
    Apply(Vec<WatchEvent>),
}

/// Ends the pause of a follower early, when there is a reason to query the store immediately.
#[derive(Debug)]
pub struct FollowWaker {
    wake: (Sender<()>, Receiver<()>),
}

/// The state of a pause between two calls, from which its remaining time is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseState {
    /// Whether the last answer contained a change.
    pub is_change: bool,
    /// How long the pause has lasted.
    pub paused_ms: u64,
}

impl Default for FollowWaker {
    fn default() -> FollowWaker {
        FollowWaker { wake: bounded(1) }
    }
}

impl FollowWaker {
    /// Ends the current pause, or the next one if the follower isn't pausing.
    pub fn wake(&self) {
        // A full channel already holds a wake-up.
        let _ = self.wake.0.try_send(());
    }

    async fn pause(&self, is_change: bool, rest_ms: impl Fn(PauseState) -> u64 + Send + Sync) {
        let mut paused_ms = 0;
        loop {
            let remaining_ms = rest_ms(PauseState { is_change, paused_ms });
            if remaining_ms == 0 {
                return;
            }
            if timeout(Duration::from_millis(remaining_ms), self.wake.1.recv()).await.is_ok() {
                return;
            }
            paused_ms += remaining_ms;
        }
    }
}

/// Follows the objects of a kind until the future is dropped.
///
/// Lists the objects once and then watches them. Lists again when the platform no longer keeps
/// the changes, when a watch gets no answer in time, and after any other failure, with exponential
/// backoff. Calls `on_update` for each update, including updates without a change, since these
/// confirm that the known objects are current. An answer with a lower revision than an earlier
/// one is dropped and confirms nothing.
pub async fn follow(
    store: &dyn ObjectStore,
    kind: &str,
    limits: &FollowLimits,
    clock: impl Fn() -> TimeMs + Send,
    on_update: impl FnMut(Update) + Send,
) {
    let pace = FollowWaker::default();
    follow_with_pauses(store, kind, limits, clock, on_update, |_| {}, &pace, |_| 0).await;
}

/// Follows the objects of a kind like [`follow`], with a pause after each update.
///
/// A watch ends with the first change, so without pauses each change of a frequently changing kind
/// would cost one call from each of many hosts. `rest_ms` returns the remaining time of the pause
/// in milliseconds; it is called again when that time has passed, until it returns 0 or
/// [`FollowWaker::wake`] is called. `on_failure` gets the reason of the first of several failures in
/// a row; a watch without an answer in time doesn't count as one, since a list follows at once.
#[expect(clippy::too_many_arguments, reason = "each is a concern of its own")]
pub async fn follow_with_pauses(
    store: &dyn ObjectStore,
    kind: &str,
    limits: &FollowLimits,
    clock: impl Fn() -> TimeMs + Send,
    mut on_update: impl FnMut(Update) + Send,
    mut on_failure: impl FnMut(&str) + Send,
    pace: &FollowWaker,
    rest_ms: impl Fn(PauseState) -> u64 + Send + Sync,
) {
    let mut follower = Follower { store, kind, limits, revision: 0 };
    let mut backoff = Backoff::new(limits.backoff_ms_min, limits.backoff_ms_max);
    let mut next = Step::List;
    let mut failing_since: Option<TimeMs> = None;
    let mut has_failed = false;
    loop {
        let as_of = clock();
        match follower.step(next).await {
            Outcome::Current(change, unnamed) => {
                backoff.reset();
                has_failed = false;
                next = Step::Watch;
                let is_change = !matches!(&change, Change::Apply(events) if events.is_empty());
                on_update(Update {
                    as_of,
                    revision: follower.revision,
                    failing_since: failing_since.take(),
                    change,
                    unnamed,
                });
                pace.pause(is_change, &rest_ms).await;
            }
            Outcome::ListNow => {
                failing_since.get_or_insert(as_of);
                next = Step::List;
            }
            Outcome::Failed(error) => {
                if !std::mem::replace(&mut has_failed, true) {
                    on_failure(&error);
                }
                failing_since.get_or_insert(as_of);
                next = Step::List;
                task::sleep(backoff.next_delay()).await;
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    List,
    Watch,
}

enum Outcome {
    /// Holds the changes, and how many have no readable name.
    Current(Change, usize),
    ListNow,
    /// Holds the reason.
    Failed(String),
}

struct Follower<'a> {
    store: &'a dyn ObjectStore,
    kind: &'a str,
    limits: &'a FollowLimits,
    revision: u64,
}

impl Follower<'_> {
    async fn step(&mut self, step: Step) -> Outcome {
        match step {
            Step::List => {
                let listed = timeout(self.call_timeout(), self.store.list(self.kind)).await;
                let timed_out = |_| Outcome::Failed("the answer timed out".to_owned());
                listed.map_or_else(timed_out, |listed| self.listed(listed))
            }
            Step::Watch => {
                let watch = self.store.watch(self.kind, self.revision, self.limits.wait_ms);
                let watched = timeout(self.call_timeout(), watch).await;
                watched.map_or(Outcome::ListNow, |watched| self.watched(watched))
            }
        }
    }

    fn listed(&mut self, listed: Result<Listing, PlatformError>) -> Outcome {
        match listed {
            Ok(listing) if listing.revision >= self.revision => {
                self.revision = listing.revision;
                let unnamed = listing.unnamed;
                Outcome::Current(Change::Replace(listing), unnamed)
            }
            Ok(listing) => self.outdated(listing.revision),
            Err(error) => Outcome::Failed(error.to_string()),
        }
    }

    fn watched(&mut self, watched: Result<WatchBatch, PlatformError>) -> Outcome {
        match watched {
            Ok(batch) if batch.revision >= self.revision => {
                let after = self.revision;
                self.revision = batch.revision;
                let mut events = batch.events;
                events.retain(|event| event.version() > after);
                Outcome::Current(Change::Apply(events), batch.unnamed)
            }
            Ok(batch) => self.outdated(batch.revision),
            Err(error) if error.category() == Category::WatchTooOld => Outcome::ListNow,
            Err(error) => Outcome::Failed(error.to_string()),
        }
    }

    fn outdated(&self, revision: u64) -> Outcome {
        Outcome::Failed(format!(
            "the answer has revision {revision}, older than the known revision {}",
            self.revision
        ))
    }

    fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.wait_ms.saturating_add(self.limits.grace_ms))
    }
}
