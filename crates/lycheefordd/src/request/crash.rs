use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_policy::{CrashCause, Name};
use lycheeford_wire::Message;
use slog::warn;

use crate::membership::outbox::send_all;
use crate::operation::metrics::Event;
use crate::placement::target_instance::TargetInstance;
use crate::state::State;

/// The maximum number of status requests to find out whether a target crashed.
const STATUS_REQUESTS_MAX: usize = 10;
/// The pause between two of these status requests.
const STATUS_REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// The state of a target after an attempt at it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashCheck {
    /// The process that received the request has ended.
    Crashed,
    /// No sign of a crash was found.
    Alive,
}

/// Checks whether a target crashed while it ran a request, and records the request as a crash
/// suspect if so.
///
/// A broken connection alone does not prove a crash, so the target's status is requested on new
/// connections. The target process that received the request has crashed if nothing listens at its
/// address, or if a process with a later incarnation answers.
pub(crate) async fn check_target_crash(
    state: &Arc<State>,
    instance: &TargetInstance,
    fingerprint: u64,
) -> CrashCheck {
    if !has_crashed(state, instance).await {
        return CrashCheck::Alive;
    }
    let TargetInstance { target, incarnation } = instance;
    let incarnation = incarnation.map_or(0, |incarnation| incarnation.0);
    warn!(state.log, "target died while a request ran";
        "target" => %target, "incarnation" => incarnation, "fingerprint" => fingerprint);
    state.metrics.event(Event::TargetCrash);
    let life = Name::from(format!("{target}@{incarnation}"));
    let causes = [CrashCause::Request(fingerprint)];
    state.suspects.lock().record_crash(state.now(), &causes, &life);
    state.placement.lock().forget_target(state.now(), target);
    share_suspects(state);
    CrashCheck::Crashed
}

async fn has_crashed(state: &State, instance: &TargetInstance) -> bool {
    let Some(address) = state.fleet.load().host(&instance.target).map(|host| host.address) else {
        return false;
    };
    for _ in 0..STATUS_REQUESTS_MAX {
        match state.targets.status(address).await {
            Ok(status) => return instance.incarnation.is_some_and(|old| status.incarnation > old),
            Err(error) if error.is_connection_refused() => return true,
            // A crashing target may still accept connections.
            Err(_) => task::sleep(STATUS_REQUEST_PAUSE).await,
        }
    }
    false
}

/// Sends the crash suspects to every peer.
fn share_suspects(state: &Arc<State>) {
    let state = state.clone();
    task::spawn(async move {
        let suspects = state.suspects.lock().reports(state.now());
        send_all(&state, &Message::CrashReport(suspects));
    });
}
