use std::sync::Arc;

use lycheeford_policy::{CrashCause, CrashVerdict, Refusal, RefusalCode};

use crate::state::State;

/// When a caller should retry after a transient refusal.
const RETRY_AFTER_MS: u64 = 1_000;

/// Prevents a crash suspect from running twice at once, until the guard is dropped.
pub(super) struct RunAloneGuard {
    state: Arc<State>,
    fingerprint: u64,
}

impl Drop for RunAloneGuard {
    fn drop(&mut self) {
        self.state.suspects.lock().end_exclusive_run(self.fingerprint);
    }
}

/// Admits or refuses a request by its crash verdict. A crash suspect gets a guard, so that this
/// daemon runs it only once at a time.
///
/// # Errors
///
/// Refuses a request that crashed too many targets, and a suspect that is running already.
pub(super) fn run_alone(
    state: &Arc<State>,
    fingerprint: u64,
) -> Result<Option<RunAloneGuard>, Refusal> {
    let mut suspects = state.suspects.lock();
    match suspects.verdict(state.now(), &[CrashCause::Request(fingerprint)]) {
        CrashVerdict::Clear => Ok(None),
        CrashVerdict::Refuse => Err(crash_suspect()),
        CrashVerdict::RunAlone if suspects.start_exclusive_run(fingerprint) => {
            Ok(Some(RunAloneGuard { state: state.clone(), fingerprint }))
        }
        CrashVerdict::RunAlone => Err(Refusal::not_run(
            RefusalCode::CrashSuspect,
            "the same request is running and a target crashed while it ran; wait for its answer",
            Some(RETRY_AFTER_MS),
        )),
    }
}

pub(super) fn crash_suspect() -> Refusal {
    Refusal::not_run(
        RefusalCode::CrashSuspect,
        "targets crashed each time this request ran; change the request",
        None,
    )
}
