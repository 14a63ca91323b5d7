use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_policy::Name;
use lycheeford_wire::Message;
use slog::warn;

use crate::membership::outbox::send_all;
use crate::operation::metrics::Event;
use crate::placement::target_life::TargetLife;
use crate::state::State;

/// Times that a target is asked whether it died.
const ASKS_MAX: usize = 10;
/// The pause before a target is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// What became of a target that failed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It died.
    Died,
    /// It lives, as far as can be told.
    Lives,
}

/// Finds out whether a target died under a request, and remembers the request if so.
///
/// A cut connection alone says nothing: the target is asked on fresh ones. If
/// nobody listens there, or a later life of it does, the one that got the
/// request died.
pub(crate) async fn note_target_failure(
    state: &Arc<State>,
    life: &TargetLife,
    fingerprint: u64,
) -> Fate {
    if !has_died(state, life).await {
        return Fate::Lives;
    }
    let TargetLife { target, incarnation } = life;
    let incarnation = incarnation.map_or(0, |incarnation| incarnation.0);
    warn!(state.log, "target died while a request ran";
        "target" => %target, "incarnation" => incarnation, "fingerprint" => fingerprint);
    state.metrics.event(Event::TargetCrash);
    state.suspects.lock().crashed(fingerprint, &Name::from(format!("{target}@{incarnation}")));
    state.placement.lock().forget_target(state.now(), target);
    share_suspects(state);
    Fate::Died
}

async fn has_died(state: &State, life: &TargetLife) -> bool {
    let Some(address) = state.fleet.load().host(&life.target).map(|host| host.address) else {
        return false;
    };
    for _ in 0..ASKS_MAX {
        match state.targets.status(address).await {
            Ok(status) => return life.incarnation.is_some_and(|life| status.incarnation > life),
            Err(error) if error.nobody_listens() => return true,
            // A dying target may still take connections.
            Err(_) => task::sleep(ASK_AGAIN).await,
        }
    }
    false
}

/// Shares crash suspects with every peer.
fn share_suspects(state: &Arc<State>) {
    let state = state.clone();
    task::spawn(async move {
        let suspects = state.suspects.lock().reports().to_vec();
        send_all(&state, &Message::CrashReport(suspects));
    });
}
