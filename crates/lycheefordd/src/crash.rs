use std::sync::Arc;

use lycheeford_policy::Name;
use lycheeford_target::Category;
use slog::warn;

use crate::inbox::share_suspects;
use crate::metrics::Event;
use crate::state::State;

/// Finds out whether a target died under a request, and remembers the request if so.
///
/// A cut connection alone says nothing: the target is asked on a fresh one. If
/// nobody listens there, or a new life of it does, the old one died.
pub(crate) async fn note_target_failure(state: &Arc<State>, target: &Name, fingerprint: u64) {
    let fleet = state.fleet.load();
    let Some(host) = fleet.host(target) else { return };
    let known = known_life(state, target);
    let died = match state.targets.status(host.address).await {
        Ok(status) => known.is_some_and(|life| status.incarnation > life),
        Err(error) => error.category() == Category::NotSent,
    };
    if !died {
        return;
    }
    let life = known.map_or(0, |life| life.0);
    warn!(state.log, "target died while a request ran";
        "target" => %target, "incarnation" => life, "fingerprint" => fingerprint);
    state.metrics.event(Event::TargetCrash);
    state.suspects().crashed(fingerprint, &Name::from(format!("{target}@{life}")));
    state.placement().forget_target(target);
    share_suspects(state);
}

fn known_life(state: &State, target: &Name) -> Option<lycheeford_policy::Incarnation> {
    let placement = state.placement();
    let known = placement.targets().iter().find(|known| known.target == *target);
    known.map(|known| known.incarnation)
}
