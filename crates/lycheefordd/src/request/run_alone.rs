use std::sync::Arc;

use lycheeford_policy::{CrashVerdict, Refusal, RefusalCode};

use crate::state::State;

/// When a caller should come back after a failure that may pass by itself.
const RETRY_AFTER_MS: u64 = 1_000;

/// Keeps a suspect from running twice at once, while it lives.
pub(super) struct RunsAlone {
    state: Arc<State>,
    fingerprint: u64,
}

impl Drop for RunsAlone {
    fn drop(&mut self) {
        self.state.suspects.lock().end_alone(self.fingerprint);
    }
}

pub(super) fn run_alone(
    state: &Arc<State>,
    fingerprint: u64,
) -> Result<Option<RunsAlone>, Refusal> {
    let mut suspects = state.suspects.lock();
    match suspects.verdict(fingerprint) {
        CrashVerdict::Clear => Ok(None),
        CrashVerdict::Refuse => Err(crash_suspect()),
        CrashVerdict::RunAlone if suspects.start_alone(fingerprint) => {
            Ok(Some(RunsAlone { state: state.clone(), fingerprint }))
        }
        CrashVerdict::RunAlone => Err(Refusal::not_run(
            RefusalCode::CrashSuspect,
            "the same request runs already, and a target died while it ran; wait for its answer",
            Some(RETRY_AFTER_MS),
        )),
    }
}

pub(super) fn crash_suspect() -> Refusal {
    Refusal::not_run(
        RefusalCode::CrashSuspect,
        "targets died each time this request ran; change the request",
        None,
    )
}
