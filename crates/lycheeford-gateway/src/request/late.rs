use std::time::Duration;

use async_std::future::timeout;
use async_std::prelude::FutureExt;
use futures_util::future::select_all;
use lycheeford_target::{TargetError, TargetResponse};
use slog::info;

use super::attempt::{AttemptError, Attempts, PendingCall, StartedResponse};
use super::silence::{LeaveIf, OVERLAP_MS_MAX, Silence};
use super::slot::Slot;
use crate::Reply;
use crate::fleet::{record_unanswered, until_cut_off};

/// What happened first while the response was waited for.
enum LateOutcome {
    /// The call with this index has ended.
    Ended(usize, Result<TargetResponse, TargetError>),
    OtherSlot(Slot),
    /// The stream may not be at two targets for longer.
    OverlapOver,
    /// This host reaches no target.
    CutOff,
}

impl Attempts {
    /// Waits for a target's response.
    ///
    /// A late call is abandoned only for another target that has the request: if no other target
    /// answers, cutting the call would lose it. Until then both have it, a stream for a moment.
    pub(super) async fn wait_for_answer(
        &mut self,
        pending: PendingCall,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, AttemptError> {
        // The newest call is the last.
        let mut calls = vec![pending];
        loop {
            match self.next_outcome(&mut calls).await {
                LateOutcome::Ended(index, result) => {
                    let ended = calls.remove(index);
                    match self.finish_call(ended, result) {
                        Ok(started) if calls.is_empty() => return Ok(started),
                        Ok(started) if started.reply != Reply::Failed => {
                            self.end_others(calls, index, &started);
                            return Ok(started);
                        }
                        Err(error) if calls.is_empty() => return Err(error),
                        // Another target still has the request.
                        Ok(_) | Err(_) => {}
                    }
                }
                LateOutcome::OtherSlot(slot) => calls.push(self.begin(slot, resume_after)),
                LateOutcome::OverlapOver => {
                    while calls.len() > 1 {
                        let next = calls[1].slot.chosen.clone();
                        let silent = calls.remove(0);
                        self.leave(silent, &next);
                    }
                }
                LateOutcome::CutOff => return Err(self.all_cut_off(calls)),
            }
        }
    }

    async fn next_outcome(&mut self, calls: &mut [PendingCall]) -> LateOutcome {
        let now = self.state.now();
        let newest = &calls[calls.len() - 1];
        let is_overlap = calls.len() > 1 && self.admitted.route.kind.is_stream();
        let wait_ms = if is_overlap {
            OVERLAP_MS_MAX.saturating_sub(now.since_ms(newest.sent_at))
        } else {
            self.first_byte_ms_max(now)
        };
        let leave_if = LeaveIf::RequestIsSilent;
        let targets = calls.iter().map(|pending| pending.slot.chosen.id.clone()).collect();
        let silence = Silence { targets, since: calls[0].sent_at, leave_if };
        if let Ok(ended) = timeout(Duration::from_millis(wait_ms), first_ended(calls)).await {
            return ended;
        }
        if is_overlap {
            return LateOutcome::OverlapOver;
        }
        if !self.may_move() {
            return first_ended(calls).await;
        }
        let view = self.silence_view(&silence);
        info!(self.state.log, "answer_late";
            "id" => self.admitted.request.id.as_str(), "target" => silence.targets[0].as_str(),
            "silent_ms" => self.state.now().since_ms(silence.since), "target_sign" => ?view.own,
            "others_heard_ms" => view.others_heard_ms, "not_better" => view.not_better.len());
        for target in &silence.targets {
            record_unanswered(&self.state, target);
        }
        let other_slot = async { LateOutcome::OtherSlot(self.wait_for_other_slot(&silence).await) };
        let cut_off = async {
            until_cut_off(&self.state).await;
            LateOutcome::CutOff
        };
        first_ended(calls).race(other_slot).race(cut_off).await
    }

    /// Ends the calls beside the one, at `index` among them, whose target has answered.
    fn end_others(&mut self, calls: Vec<PendingCall>, index: usize, answered: &StartedResponse) {
        for (other, pending) in calls.into_iter().enumerate() {
            if other < index {
                self.leave(pending, &answered.slot.chosen);
            } else {
                self.cancel(pending);
            }
        }
    }

    /// Ends all calls, since this host reaches no target.
    fn all_cut_off(&mut self, calls: Vec<PendingCall>) -> AttemptError {
        let mut error = AttemptError::Unreachable;
        for pending in calls {
            self.at_targets -= 1;
            let (chosen, sent_at) = (pending.slot.chosen.clone(), pending.sent_at);
            drop(pending);
            let silent_ms = self.state.now().since_ms(sent_at);
            error = self.call_failed(&chosen, TargetError::timed_out(silent_ms));
        }
        error
    }
}

/// Waits for the first of the calls that ends.
async fn first_ended(calls: &mut [PendingCall]) -> LateOutcome {
    let pending = calls.iter_mut().map(|pending| &mut pending.call);
    let (result, index, _) = select_all(pending).await;
    LateOutcome::Ended(index, result)
}
