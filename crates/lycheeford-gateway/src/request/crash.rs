use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_policy::{Chosen, Name};
use slog::warn;

use super::admission::Admitted;
use crate::PromptPart;
use crate::state::State;

/// The maximum number of checks whether a target crashed.
const CHECKS_MAX: usize = 3;
/// The pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// A request whose target broke off its response.
#[derive(Debug, Clone)]
pub(super) struct InterruptedRequest {
    id: Name,
    fingerprint: u64,
    /// The ids of the prompt parts that other requests may share.
    parts: Vec<u64>,
    /// How many events of the response had arrived from the target.
    events: u64,
}

impl InterruptedRequest {
    pub(super) fn new(admitted: &Admitted, events: u64) -> InterruptedRequest {
        let shared = admitted.request.shared_prompt();
        InterruptedRequest {
            id: admitted.request.id.clone(),
            fingerprint: admitted.fingerprint,
            parts: shared.iter().map(|part: &PromptPart| part.id).collect(),
            events,
        }
    }
}

/// Checks whether a target crashed while running a request, and records the request as suspect if
/// so.
///
/// A cut connection alone proves nothing: a target that loses responses, or whose connections are
/// reset on the network, keeps running. The target crashed if nothing listens at its address, or if
/// a later instance of it is listed.
pub(super) async fn check_for_crash(
    state: Arc<State>,
    chosen: Chosen,
    interrupted: InterruptedRequest,
) {
    if !has_died(&state, &chosen).await {
        return;
    }
    let life = Name::from(format!("{}@{}", chosen.id, chosen.life));
    let parts: Vec<String> = interrupted.parts.iter().map(|part| format!("{part:x}")).collect();
    warn!(state.log, "target_died";
        "id" => interrupted.id.as_str(), "target" => life.as_str(),
        "fingerprint" => interrupted.fingerprint, "events" => interrupted.events,
        "parts" => parts.join(","));
    state.suspects().record_crash(interrupted.fingerprint, &life);
}

async fn has_died(state: &State, chosen: &Chosen) -> bool {
    for check in 0..CHECKS_MAX {
        // A crashing target may still accept connections for a moment.
        if check > 0 {
            task::sleep(CHECK_PAUSE).await;
        }
        if state.dispatcher().targets.has_later_life(chosen) {
            return true;
        }
        if state
            .targets
            .check_listening(chosen.address)
            .await
            .is_err_and(|error| error.is_connection_refused())
        {
            return true;
        }
    }
    false
}
