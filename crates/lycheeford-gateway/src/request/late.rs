use std::time::Duration;

use async_std::future::timeout;
use async_std::prelude::FutureExt;
use async_std::task;
use lycheeford_policy::{Chosen, Ran, TargetFailure};
use lycheeford_target::{TargetError, TargetResponse};
use slog::info;

use super::attempt::{AttemptError, Attempts, PendingCall, StartedResponse};
use super::slot::{Slot, acquire_slot};
use crate::fleet::{record_unanswered, until_cut_off};

/// The pause before another target is sought again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What happened first after the response was late.
enum LateOutcome {
    Ended(Result<TargetResponse, TargetError>),
    OtherSlot(Slot),
    /// This host reaches no target.
    CutOff,
}

impl Attempts {
    /// Waits for a target's response.
    ///
    /// A late call is abandoned only for another target with a free slot: if no other target can
    /// take the request, cutting the call would lose it.
    pub(super) async fn wait_for_answer(
        &mut self,
        mut pending: PendingCall,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, AttemptError> {
        loop {
            let late_ms = self.first_byte_ms_max(self.state.now());
            let first_byte_timeout = Duration::from_millis(late_ms);
            if let Ok(result) = timeout(first_byte_timeout, &mut pending.call).await {
                return self.finish_call(pending, result);
            }
            if !self.can_retry() {
                let result = (&mut pending.call).await;
                return self.finish_call(pending, result);
            }
            info!(self.state.log, "answer_late";
                "id" => self.admitted.request.id.as_str(),
                "target" => pending.slot.chosen.id.as_str());
            record_unanswered(&self.state, &pending.slot.chosen.id);
            self.exclude(&pending.slot.chosen);
            let finished = async { LateOutcome::Ended((&mut pending.call).await) };
            let other_slot = async { LateOutcome::OtherSlot(self.wait_for_other_slot().await) };
            let cut_off = async {
                until_cut_off(&self.state).await;
                LateOutcome::CutOff
            };
            match finished.race(other_slot).race(cut_off).await {
                LateOutcome::Ended(result) => {
                    self.undo_last_exclusion();
                    return self.finish_call(pending, result);
                }
                LateOutcome::CutOff => {
                    self.at_targets -= 1;
                    let chosen = pending.slot.chosen.clone();
                    drop(pending);
                    return Err(self.call_failed(&chosen, TargetError::timed_out(late_ms)));
                }
                LateOutcome::OtherSlot(slot) => {
                    self.at_targets -= 1;
                    self.record_run();
                    self.record_abandoned(&pending.slot.chosen, &slot.chosen);
                    drop(pending);
                    pending = self.begin(slot, resume_after);
                }
            }
        }
    }

    /// Waits until another target has a slot and the request may be retried there.
    pub(super) async fn wait_for_other_slot(&self) -> Slot {
        loop {
            if let Ok(slot) = acquire_slot(&self.state, &self.admitted, self.ran).await
                && self.admitted.recheck(&self.state).is_ok()
                && self.take_retry()
            {
                return slot;
            }
            // No other target has a slot, the key is no longer valid, or the retry budget is used
            // up. The current target continues with the request in the meantime.
            task::sleep(RETRY_PAUSE).await;
        }
    }

    /// Records that an unresponsive target was abandoned for another one.
    pub(super) fn record_abandoned(&mut self, chosen: &Chosen, next: &Chosen) {
        info!(self.state.log, "target_left";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "next" => next.id.as_str());
        self.state.metrics.attempt("failed");
        self.ran = self.ran.max(Ran::Unknown);
        self.note_failure(chosen, TargetFailure::Broken);
    }
}
