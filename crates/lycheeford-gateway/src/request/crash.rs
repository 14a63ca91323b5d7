use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_policy::{Chosen, CrashCause, Name};
use slog::warn;

use super::admission::Admitted;
use crate::fleet::opens_connections;
use crate::state::State;

/// The maximum number of checks whether a target crashed.
const CHECKS_MAX: usize = 3;
/// The pause between two checks.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// A request whose target broke off its response.
#[derive(Debug, Clone)]
pub(super) struct InterruptedRequest {
    id: Name,
    causes: Vec<CrashCause>,
    /// How many events of the response had arrived from the target.
    events: u64,
}

impl InterruptedRequest {
    pub(super) fn new(admitted: &Admitted, events: u64) -> InterruptedRequest {
        InterruptedRequest {
            id: admitted.request.id.clone(),
            causes: admitted.crash_causes.clone(),
            events,
        }
    }
}

/// Checks whether a target crashed while running a request, and records what it could have crashed
/// from if so.
///
/// A request whose response had begun to arrive did not crash the target: what is deadly crashes it
/// before.
///
/// A cut connection alone proves nothing: a target that loses responses, or whose connections are
/// reset on the network, keeps running. The target crashed if nothing listens at its address, while
/// this host can open connections to others, or if a later instance of it is listed. One that has
/// served for long enough since it announced that it leaves may have exited as planned.
pub(super) async fn check_for_crash(
    state: Arc<State>,
    chosen: Chosen,
    interrupted: InterruptedRequest,
) {
    let (now, serve_ms_min) = (state.now(), state.target_use_ms_max());
    let may_have_left = state.dispatcher().targets.may_have_left(now, &chosen, now, serve_ms_min);
    if may_have_left || !has_died(&state, &chosen).await {
        return;
    }
    let life = Name::from(format!("{}@{}", chosen.id, chosen.life));
    warn!(state.log, "target_died";
        "id" => interrupted.id.as_str(), "target" => life.as_str(),
        "events" => interrupted.events, "causes" => describe(&interrupted.causes));
    if interrupted.events > 0 {
        return;
    }
    let refused = state.suspects().record_crash(state.now(), &interrupted.causes, &life);
    log_refused(&state, &refused, &state.settings.host);
    if !refused.is_empty() {
        state.wake_suspects_task();
    }
}

/// Logs that requests are refused from now on because of what they have in common with others that
/// crashed targets, as found by the host `source`.
pub(crate) fn log_refused(state: &State, refused: &[CrashCause], source: &Name) {
    if refused.is_empty() {
        return;
    }
    for cause in refused {
        state.metrics.crash_cause(*cause);
    }
    warn!(state.log, "crash_suspects_refused";
        "causes" => describe(refused), "source" => source.as_str());
}

fn describe(causes: &[CrashCause]) -> String {
    let described = causes.iter().map(|cause| match cause {
        CrashCause::Request(fingerprint) => format!("request:{fingerprint:x}"),
        CrashCause::PromptPart(id) => format!("part:{id:x}"),
    });
    described.collect::<Vec<_>>().join(",")
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
        if refuses_connections(state, chosen).await {
            // To a host that is partitioned, every target seems to refuse connections.
            return is_only_target(state, chosen) || opens_connections(state).await;
        }
    }
    false
}

async fn refuses_connections(state: &State, chosen: &Chosen) -> bool {
    let checked = state.targets.check_listening(chosen.address).await;
    checked.is_err_and(|error| error.is_connection_refused())
}

/// Returns whether no other target is listed, so that nothing can be compared with.
fn is_only_target(state: &State, chosen: &Chosen) -> bool {
    state.dispatcher().targets.targets().iter().all(|target| target.entry.id == chosen.id)
}
