use lycheeford_policy::{Refusal, RefusalCode};

use crate::table::Table;

/// When a caller that finds no other host should retry.
const RETRY_AFTER_MS: u64 = 1_000;

/// Decides the race between sending a request to a target and ending it because this host stops.
#[derive(Debug, Default)]
pub(crate) struct DispatchGate(Table<Attempts>);

#[derive(Debug, Default)]
struct Attempts {
    /// Attempts that a target has run or may have run.
    started: u32,
    has_ended: bool,
}

impl DispatchGate {
    /// Records that the request is about to be sent.
    ///
    /// # Errors
    ///
    /// Refuses if the request was ended; it must not be sent any more.
    pub(crate) fn begin(&self) -> Result<(), Refusal> {
        let mut attempts = self.0.lock();
        if attempts.has_ended {
            return Err(stopping());
        }
        attempts.started += 1;
        Ok(())
    }

    /// Records that the last attempt did not run at any target.
    pub(crate) fn undo_attempt(&self) {
        let mut attempts = self.0.lock();
        attempts.started = attempts.started.saturating_sub(1);
    }

    /// Ends the request and returns the refusal for its caller.
    pub(crate) fn end(&self) -> Refusal {
        let mut attempts = self.0.lock();
        attempts.has_ended = true;
        if attempts.started == 0 { stopping() } else { stopped_while_running() }
    }
}

/// Returns the refusal of a request that can't be answered before this host stops.
pub(crate) fn stopping() -> Refusal {
    Refusal::not_run(
        RefusalCode::HostStopping,
        "this host shuts down before the request can be answered; use another host",
        Some(RETRY_AFTER_MS),
    )
}

/// Returns the final answer to a request that may be running at a target.
pub(crate) fn stopped_while_running() -> Refusal {
    Refusal::unknown(
        RefusalCode::TargetFailed,
        "this host shuts down before the target has answered; the request may have run",
    )
}
