use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_policy::{Chosen, Name};
use slog::warn;

use crate::state::State;

/// Times that a target is asked whether it died.
const ASKS_MAX: usize = 3;
/// The pause before a target is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Finds out whether a target died under a request, and remembers the request if so.
///
/// A cut connection alone says nothing: a target that loses answers lives on,
/// and so does one whose connections are reset on the way. If nobody listens
/// at its address, or a later life of it is listed, the one that got the
/// request died.
pub(super) async fn note_broken(state: Arc<State>, chosen: Chosen, fingerprint: u64) {
    if !has_died(&state, &chosen).await {
        return;
    }
    let life = Name::from(format!("{}@{}", chosen.id, chosen.life));
    warn!(state.log, "target_died"; "target" => life.as_str(), "fingerprint" => fingerprint);
    state.suspects().crashed(fingerprint, &life);
}

async fn has_died(state: &State, chosen: &Chosen) -> bool {
    for ask in 0..ASKS_MAX {
        // A dying target may still take connections.
        if ask > 0 {
            task::sleep(ASK_AGAIN).await;
        }
        if state.dispatcher().targets.has_later_life(chosen) {
            return true;
        }
        if state.targets.open(chosen.address).await.is_err_and(|error| error.nobody_listens()) {
            return true;
        }
    }
    false
}
