//! The declaration and the targets, followed in the store, and who waits for which target.

mod deployment_follow;
mod dispatcher;
mod store_loss;
mod target_follow;
mod target_news;

pub(crate) use self::deployment_follow::follow_deployment;
pub(crate) use self::dispatcher::{Dispatcher, merge};
pub(crate) use self::target_follow::follow_targets;
pub(crate) use self::target_news::{TargetNews, take_told_changes};

use lycheeford_platform::FollowLimits;

/// The part of the life of a confirmation for which a watch of the declaration waits.
///
/// The confirmation of one watch must last until the end of the next one.
const DEPLOYMENT_WAIT_PART: f64 = 0.15;
/// How long a watch of the targets waits; others rely on how young its answers are.
const TARGETS_WAIT_MS: u64 = 500;

/// How a kind in the store is followed by watches of `wait_ms`.
///
/// The grace is how long a connection that went silent is taken for one on
/// which nothing changes.
fn follow_limits(wait_ms: u64) -> FollowLimits {
    FollowLimits { wait_ms, grace_ms: 700, backoff_ms_min: 40, backoff_ms_max: 400 }
}
