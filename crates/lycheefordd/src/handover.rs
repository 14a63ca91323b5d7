use lycheeford_policy::{Refusal, RefusalCode};

use crate::table::Table;

/// When a caller should come back that finds no other host.
const RETRY_AFTER_MS: u64 = 1_000;

/// Settles whether a request is sent to a target first, or ended by the stop of its host.
#[derive(Debug, Default)]
pub(crate) struct Handover(Table<Sends>);

#[derive(Debug, Default)]
struct Sends {
    /// Attempts that a target has or may have run.
    begun: u32,
    has_ended: bool,
}

impl Handover {
    /// Notes that the request is about to be sent.
    ///
    /// # Errors
    ///
    /// Refuses a request that was ended; it must not be sent any more.
    pub(crate) fn begin(&self) -> Result<(), Refusal> {
        let mut sends = self.0.lock();
        if sends.has_ended {
            return Err(stopping());
        }
        sends.begun += 1;
        Ok(())
    }

    /// Notes that the last attempt ran nowhere.
    pub(crate) fn take_back(&self) {
        let mut sends = self.0.lock();
        sends.begun = sends.begun.saturating_sub(1);
    }

    /// Ends the request and returns what its caller is told.
    pub(crate) fn end(&self) -> Refusal {
        let mut sends = self.0.lock();
        sends.has_ended = true;
        if sends.begun == 0 { stopping() } else { stopped_while_running() }
    }
}

/// Returns the refusal of a request that this host has no time left for.
pub(crate) fn stopping() -> Refusal {
    Refusal::not_run(
        RefusalCode::HostStopping,
        "this host shuts down before an answer could come; use another host",
        Some(RETRY_AFTER_MS),
    )
}

/// Returns the final answer to a request that may be running at a target.
pub(crate) fn stopped_while_running() -> Refusal {
    Refusal::unknown(
        RefusalCode::TargetFailed,
        "this host shuts down before the target's answer came; the request may have run",
    )
}
