use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use lycheeford_policy::TimeMs;

use crate::backoff::Backoff;
use crate::{Category, Listing, ObjectStore, PlatformError, WatchBatch, WatchEvent};

/// How a kind is followed.
#[derive(Debug, Clone)]
pub struct FollowLimits {
    /// How long a watch waits for a change; bounds how old a confirmation gets.
    pub wait_ms: u64,
    /// How much longer an answer may take before the watch counts as dead.
    pub grace_ms: u64,
    /// The first delay after a failure; doubles with each one that follows.
    pub backoff_ms_min: u64,
    /// The longest delay after a failure.
    pub backoff_ms_max: u64,
}

impl Default for FollowLimits {
    fn default() -> FollowLimits {
        FollowLimits { wait_ms: 1_500, grace_ms: 1_000, backoff_ms_min: 50, backoff_ms_max: 1_000 }
    }
}

/// A confirmation by the platform, with what changed.
#[derive(Debug, Clone, PartialEq)]
pub struct Update {
    /// The moment the call began: the follower has seen every change before it.
    pub as_of: TimeMs,
    /// The revision that the follower has reached.
    pub revision: u64,
    /// Since when calls had failed or gone unanswered before this one, if the last one had.
    pub failing_since: Option<TimeMs>,
    /// What changed.
    pub change: Change,
}

/// What an update changes.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The list replaces everything known of the kind.
    Replace(Listing),
    /// The changes apply in order; there may be none.
    Apply(Vec<WatchEvent>),
}

/// Ends the rests of a follower, when there is a reason to ask the store at once.
#[derive(Debug)]
pub struct FollowPace {
    wake: (Sender<()>, Receiver<()>),
}

/// What a follower knows when it asks how much longer to rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rest {
    /// Whether the last answer brought a change.
    pub is_change: bool,
    /// How long it has rested.
    pub rested_ms: u64,
}

impl Default for FollowPace {
    fn default() -> FollowPace {
        FollowPace { wake: bounded(1) }
    }
}

impl FollowPace {
    /// Ends the rest that goes on, or the next one.
    pub fn wake(&self) {
        // A full channel has a wake-up in it already.
        let _ = self.wake.0.try_send(());
    }

    async fn rest(&self, is_change: bool, rest_ms: impl Fn(Rest) -> u64 + Send + Sync) {
        let mut rested_ms = 0;
        loop {
            let more_ms = rest_ms(Rest { is_change, rested_ms });
            if more_ms == 0 {
                return;
            }
            if timeout(Duration::from_millis(more_ms), self.wake.1.recv()).await.is_ok() {
                return;
            }
            rested_ms += more_ms;
        }
    }
}

/// Follows the objects of a kind until the future is dropped.
///
/// Lists, then watches. Lists again when the platform no longer keeps the
/// changes, when a watch stays quiet for too long, and after any failure, with
/// delays that grow. Hands each update to `on_update`, also one without a
/// change, since it confirms that what is known is current. An answer older
/// than what was seen is dropped and confirms nothing.
pub async fn follow(
    store: &dyn ObjectStore,
    kind: &str,
    limits: &FollowLimits,
    clock: impl Fn() -> TimeMs + Send,
    on_update: impl FnMut(Update) + Send,
) {
    let pace = FollowPace::default();
    follow_at_pace(store, kind, limits, clock, on_update, |_| {}, &pace, |_| 0).await;
}

/// Follows like [`follow`], and rests between two questions.
///
/// A watch ends with the first change, so that a busy kind would cost a call
/// for each, and one for each of many hosts. `rest_ms` says how much longer to
/// rest; it is asked again when that time is over, until it says 0 or the
/// pace is woken. `on_failure` is told why the first of several calls in a row failed.
#[expect(clippy::too_many_arguments, reason = "each is a concern of its own")]
pub async fn follow_at_pace(
    store: &dyn ObjectStore,
    kind: &str,
    limits: &FollowLimits,
    clock: impl Fn() -> TimeMs + Send,
    mut on_update: impl FnMut(Update) + Send,
    mut on_failure: impl FnMut(&str) + Send,
    pace: &FollowPace,
    rest_ms: impl Fn(Rest) -> u64 + Send + Sync,
) {
    let mut follower = Follower { store, kind, limits, revision: 0 };
    let mut backoff = Backoff::new(limits.backoff_ms_min, limits.backoff_ms_max);
    let mut next = Step::List;
    let mut failing_since: Option<TimeMs> = None;
    let mut has_failed = false;
    loop {
        let as_of = clock();
        match follower.step(next).await {
            Outcome::Current(change) => {
                backoff.reset();
                has_failed = false;
                next = Step::Watch;
                let is_change = !matches!(&change, Change::Apply(events) if events.is_empty());
                on_update(Update {
                    as_of,
                    revision: follower.revision,
                    failing_since: failing_since.take(),
                    change,
                });
                pace.rest(is_change, &rest_ms).await;
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
    Current(Change),
    ListNow,
    /// With the reason.
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
                let listed = timeout(self.patience(), self.store.list(self.kind)).await;
                let silent = |_| Outcome::Failed("no answer in time".to_owned());
                listed.map_or_else(silent, |listed| self.listed(listed))
            }
            Step::Watch => {
                let watch = self.store.watch(self.kind, self.revision, self.limits.wait_ms);
                let watched = timeout(self.patience(), watch).await;
                watched.map_or(Outcome::ListNow, |watched| self.watched(watched))
            }
        }
    }

    fn listed(&mut self, listed: Result<Listing, PlatformError>) -> Outcome {
        match listed {
            Ok(listing) if listing.revision >= self.revision => {
                self.revision = listing.revision;
                Outcome::Current(Change::Replace(listing))
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
                Outcome::Current(Change::Apply(events))
            }
            Ok(batch) => self.outdated(batch.revision),
            Err(error) if error.category() == Category::WatchTooOld => Outcome::ListNow,
            Err(error) => Outcome::Failed(error.to_string()),
        }
    }

    fn outdated(&self, revision: u64) -> Outcome {
        Outcome::Failed(format!("the answer is of revision {revision}, after {}", self.revision))
    }

    fn patience(&self) -> Duration {
        Duration::from_millis(self.limits.wait_ms.saturating_add(self.limits.grace_ms))
    }
}
