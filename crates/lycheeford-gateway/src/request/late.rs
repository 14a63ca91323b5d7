use std::time::Duration;

use async_std::future::timeout;
use async_std::prelude::FutureExt;
use async_std::task;
use lycheeford_policy::{Chosen, Ran, TargetFailure};
use lycheeford_target::{TargetError, TargetResponse};
use slog::info;

use super::attempt::{Answering, Attempts, Calling, Unanswered};
use super::place::{Place, take_place};

/// The pause before another target is sought again.
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// What happened first after the response was late.
enum AfterLate {
    Ended(Result<TargetResponse, TargetError>),
    Elsewhere(Place),
}

impl Attempts {
    /// Waits for a target's response.
    ///
    /// A late call is abandoned only for another target with a free slot: if no other target can
    /// take the request, cutting the call would lose it.
    pub(super) async fn wait_for_answer(
        &mut self,
        mut calling: Calling,
        resume_after: Option<&str>,
    ) -> Result<Answering, Unanswered> {
        loop {
            let patience = Duration::from_millis(self.first_byte_ms_max(self.state.now()));
            if let Ok(called) = timeout(patience, &mut calling.call).await {
                return self.ended(calling, called);
            }
            if !self.could_repeat() {
                let called = (&mut calling.call).await;
                return self.ended(calling, called);
            }
            info!(self.state.log, "answer_late";
                "id" => self.admitted.request.id.as_str(),
                "target" => calling.place.chosen.id.as_str());
            self.exclude(&calling.place.chosen);
            let ended = async { AfterLate::Ended((&mut calling.call).await) };
            let elsewhere = async { AfterLate::Elsewhere(self.place_elsewhere().await) };
            match ended.race(elsewhere).await {
                AfterLate::Ended(called) => {
                    self.readmit_last();
                    return self.ended(calling, called);
                }
                AfterLate::Elsewhere(place) => {
                    self.at_targets -= 1;
                    self.has_run();
                    self.left(&calling.place.chosen, &place.chosen);
                    drop(calling);
                    calling = self.begin(place, resume_after);
                }
            }
        }
    }

    /// Waits until another target has a slot and the request may be retried there.
    pub(super) async fn place_elsewhere(&self) -> Place {
        loop {
            if let Ok(place) = take_place(&self.state, &self.admitted).await
                && self.admitted.recheck(&self.state).is_ok()
                && self.may_repeat()
            {
                return place;
            }
            // No other target has a slot, the key is no longer valid, or the retry budget is used
            // up. The current target continues with the request in the meantime.
            task::sleep(LOOK_AGAIN).await;
        }
    }

    /// Records that an unresponsive target was abandoned for another one.
    pub(super) fn left(&mut self, chosen: &Chosen, next: &Chosen) {
        info!(self.state.log, "target_left";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "next" => next.id.as_str());
        self.state.metrics.attempt("failed");
        self.ran = self.ran.max(Ran::Unknown);
        self.note_failure(chosen, TargetFailure::Broken);
    }
}
