use std::time::Duration;

use async_std::future::timeout;
use async_std::prelude::FutureExt;
use async_std::task;
use lycheeford_policy::{Chosen, Ran, TargetFailure};
use lycheeford_target::{TargetError, TargetResponse};
use slog::info;

use super::attempt::{Answering, Attempts, Calling, Unanswered};
use super::place::{Place, take_place};

/// The pause before another target is looked for again.
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// What came first after an answer was late.
enum AfterLate {
    Ended(Result<TargetResponse, TargetError>),
    Elsewhere(Place),
}

impl Attempts {
    /// Waits for the answer of a target.
    ///
    /// A late one is given up only for another target that has a place: a
    /// request that nobody else can take would be lost if it were cut.
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

    /// Waits until another target has a place and the request may run there, too.
    pub(super) async fn place_elsewhere(&self) -> Place {
        loop {
            if let Ok(place) = take_place(&self.state, &self.admitted).await
                && self.admitted.recheck(&self.state).is_ok()
                && self.may_repeat()
            {
                return place;
            }
            // Nobody else can go on now, the key isn't good any more, or there are no repeats left.
            // The target that has the request goes on meanwhile.
            task::sleep(LOOK_AGAIN).await;
        }
    }

    /// Notes that a silent target was left for another one.
    pub(super) fn left(&mut self, chosen: &Chosen, next: &Chosen) {
        info!(self.state.log, "target_left";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "next" => next.id.as_str());
        self.state.metrics.attempt("failed");
        self.ran = self.ran.max(Ran::Unknown);
        self.note_failure(chosen, TargetFailure::Broken);
    }
}
