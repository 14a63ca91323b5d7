//! The declaration, the targets and the evacuated failure domains, kept up to date from the store,
//! and the queue of requests.

mod deployment_follow;
mod dispatcher;
mod evacuation_follow;
mod reach;
mod store_loss;
mod target_follow;
mod target_sync;
mod unreadable_entries;

pub(crate) use self::deployment_follow::follow_deployment;
pub(crate) use self::dispatcher::{Dispatcher, Granted, TurnedAway, merge};
pub(crate) use self::evacuation_follow::{apply_evacuations, follow_evacuations};
pub(crate) use self::reach::{
    opens_connections, record_unanswered, request_probe, until_cut_off, watch_reach,
};
pub(crate) use self::target_follow::follow_targets;
pub(crate) use self::target_sync::{TargetSync, apply_reported_changes};

use lycheeford_platform::FollowLimits;

/// The duration of a watch on the declaration, as a part of the time for which a confirmation is
/// valid.
///
/// The confirmation by one watch must be valid until the next watch ends.
const DEPLOYMENT_WAIT_PART: f64 = 0.15;
/// The duration of a watch on the targets. It bounds the age of what this host reports to others.
const TARGETS_WAIT_MS: u64 = 500;

/// Returns the parameters for following a kind of objects by watches of `wait_ms`.
///
/// The grace is how long a silent connection still counts as one without changes.
fn follow_limits(wait_ms: u64) -> FollowLimits {
    FollowLimits { wait_ms, grace_ms: 700, backoff_ms_min: 40, backoff_ms_max: 400 }
}
