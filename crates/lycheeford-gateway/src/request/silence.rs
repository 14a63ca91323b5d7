//! Targets that send nothing for a while: whether a request is moved to another one, and back.

use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use lycheeford_policy::{
    Chosen, Name, Ran, Refusal, RefusalCode, Sign, SilenceView, TargetFailure, TimeMs,
};
use slog::info;

use super::attempt::{Attempts, PendingCall, no_target};
use super::slot::{Slot, acquire_slot};
use crate::state::State;

/// The pause before another target is sought again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long a stream is kept at a silent target while the next one has it and hasn't answered. A
/// stream may be at two targets for 400 ms at most.
pub(super) const OVERLAP_MS_MAX: u64 = 250;

/// A silence of the target that has the request.
#[derive(Debug, Clone)]
pub(super) struct Silence {
    /// The targets that have the request, the one that has been silent longest first.
    pub(super) targets: Vec<Name>,
    pub(super) since: TimeMs,
    pub(super) leave_if: LeaveIf,
}

/// Which silences are a reason to look for another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaveIf {
    /// The request got nothing, whatever others get from the target.
    RequestIsSilent,
    /// The target sends nothing to any request: it may be reading a long prompt.
    TargetIsSilent,
}

impl Attempts {
    /// Records that a byte came from a target.
    pub(super) fn heard(&self, chosen: &Chosen) {
        record_heard(&self.state, chosen);
    }

    /// Returns whether the request may be sent to one more target while the current one has it.
    ///
    /// The last send is kept for going back.
    pub(super) fn may_move(&self) -> bool {
        self.can_retry() && !self.is_last_send()
    }

    /// Waits until another target has a slot, is better off than the silent one, and the request
    /// may be sent there too.
    pub(super) async fn wait_for_other_slot(&self, silence: &Silence) -> Slot {
        loop {
            if let Some(slot) = self.other_slot(silence).await {
                return slot;
            }
            // No better target has a slot, the key is no longer valid, or the retry budget is used
            // up. The current target continues with the request in the meantime.
            task::sleep(RETRY_PAUSE).await;
        }
    }

    async fn other_slot(&self, silence: &Silence) -> Option<Slot> {
        let view = self.silence_view(silence);
        if silence.leave_if == LeaveIf::TargetIsSilent && view.own == Sign::Heard {
            return None;
        }
        let mut excluded = view.not_better;
        excluded.extend_from_slice(&silence.targets);
        excluded.extend(self.beyond_attempts());
        // A target that was left for its silence is no better before it has been heard again.
        let left = self.left.iter().map(|left| &left.id);
        excluded.extend(left.filter(|id| !view.heard.contains(id)).cloned());
        let acquired = acquire_slot(&self.state, &self.admitted, self.ran, &excluded);
        let slot = timeout(RETRY_PAUSE, acquired).await.ok()?.ok()?;
        // The slot may have become free only after a while.
        let is_better = !self.silence_view(silence).not_better.contains(&slot.chosen.id);
        let may_send = is_better && self.admitted.recheck(&self.state).is_ok() && self.may_move();
        (may_send && self.take_retry()).then_some(slot)
    }

    pub(super) fn silence_view(&self, silence: &Silence) -> SilenceView {
        let now = self.state.now();
        let service = &self.admitted.need.service;
        let silent_ms = now.since_ms(silence.since);
        self.state.dispatcher().targets.silence_view(now, service, &silence.targets[0], silent_ms)
    }

    /// Returns the targets that the request may not be sent to, if only those are left that it was
    /// sent to before.
    fn beyond_attempts(&self) -> Vec<Name> {
        let is_limited = !self.left.is_empty() && (!self.has_attempt_left() || self.is_last_send());
        if !is_limited {
            return Vec::new();
        }
        let is_left = |id: &Name| self.left.iter().any(|left| left.id == *id);
        let dispatcher = self.state.dispatcher();
        let of_service = dispatcher.targets.of_service(&self.admitted.need.service);
        let ids = of_service.map(|target| &target.entry.id);
        ids.filter(|id| !is_left(id)).cloned().collect()
    }

    /// Waits for a slot for the next attempt, until the request's time is over if a target that was
    /// left may go on with it.
    pub(super) async fn slot_for_attempt(&self) -> Result<Slot, Refusal> {
        while self.may_go_back() {
            let excluded = self.beyond_attempts();
            let acquired = acquire_slot(&self.state, &self.admitted, self.ran, &excluded);
            match timeout(self.retry_pause(), acquired).await {
                Ok(Err(refusal)) if refusal.code != RefusalCode::HostStopping => {
                    task::sleep(self.retry_pause()).await;
                }
                Ok(acquired) => return acquired,
                Err(_) => {}
            }
            self.admitted.recheck(&self.state)?;
        }
        if self.is_for_another_host() {
            return Err(no_target());
        }
        acquire_slot(&self.state, &self.admitted, self.ran, &[]).await
    }

    /// Returns whether a target that was left may go on with the request.
    pub(super) fn may_go_back(&self) -> bool {
        !self.left.is_empty() && self.may_repeat() && !self.is_for_another_host()
    }

    /// Takes a retry like [`Attempts::take_retry`]; waits for one in the budget if a target that
    /// was left may go on with the request.
    pub(super) async fn wait_for_retry(&self) -> bool {
        loop {
            if self.take_retry() {
                return true;
            }
            if !self.may_go_back() {
                return false;
            }
            task::sleep(self.retry_pause()).await;
        }
    }

    /// Returns the pause before a retry, which ends with the time of the request.
    fn retry_pause(&self) -> Duration {
        let left_ms = self.admitted.final_at.since_ms(self.state.now());
        RETRY_PAUSE.min(Duration::from_millis(left_ms))
    }

    /// Records that a silent target was left for another one; it counts in `runs` already.
    pub(super) fn record_left(&mut self, chosen: &Chosen, next: &Chosen, silent_since: TimeMs) {
        let leave_if = LeaveIf::RequestIsSilent;
        let silence = Silence { targets: vec![chosen.id.clone()], since: silent_since, leave_if };
        let view = self.silence_view(&silence);
        info!(self.state.log, "target_left";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "next" => next.id.as_str(),
            "silent_ms" => self.state.now().since_ms(silent_since),
            "others_heard_ms" => view.others_heard_ms);
        self.state.metrics.attempt("failed");
        self.ran = self.ran.max(Ran::Unknown);
        self.note_failure(chosen, TargetFailure::Silent);
        self.left.push(chosen.clone());
    }

    /// Cancels a call to a silent target, since another one has the request.
    pub(super) fn leave(&mut self, pending: PendingCall, next: &Chosen) {
        self.at_targets -= 1;
        self.record_run();
        let PendingCall { call, slot, sent_at } = pending;
        drop(call);
        self.record_left(&slot.chosen, next, sent_at);
    }

    /// Cancels a call since a target that was asked before has answered.
    pub(super) fn cancel(&mut self, pending: PendingCall) {
        self.at_targets -= 1;
        self.record_run();
        self.ran = self.ran.max(Ran::Unknown);
        self.state.metrics.attempt("cancelled");
        let PendingCall { call, slot, sent_at } = pending;
        drop(call);
        info!(self.state.log, "attempt_cancelled";
            "id" => self.admitted.request.id.as_str(), "target" => slot.chosen.id.as_str(),
            "after_ms" => self.state.now().since_ms(sent_at));
        self.left.push(slot.chosen.clone());
    }
}

/// Records that a byte came from a target, which ends its silence.
pub(crate) fn record_heard(state: &State, chosen: &Chosen) {
    let now = state.now();
    let mut dispatcher = state.dispatcher();
    if !dispatcher.targets.heard(now, chosen) {
        return;
    }
    dispatcher.dispatch(now);
    drop(dispatcher);
    info!(state.log, "target_heard_again"; "target" => chosen.id.as_str(), "life" => chosen.life);
}
