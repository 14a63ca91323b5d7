//! The declaration and the targets, followed in the store, and who waits for which target.

mod deployment_follow;
mod dispatcher;
mod target_follow;

pub(crate) use self::deployment_follow::follow_deployment;
pub(crate) use self::dispatcher::Dispatcher;
pub(crate) use self::target_follow::follow_targets;

use lycheeford_platform::FollowLimits;

/// How the kinds in the store are followed.
///
/// The wait bounds how old a confirmation gets, the grace how long a connection
/// that went silent is taken for one on which nothing changes.
fn follow_limits() -> FollowLimits {
    FollowLimits {
        wait_ms: 1_500,
        grace_ms: 700,
        backoff_ms_min: 40,
        backoff_ms_max: 400,
        ..FollowLimits::default()
    }
}
