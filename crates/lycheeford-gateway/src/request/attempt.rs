use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_util::future::BoxFuture;
use lycheeford_policy::{
    AdapterWant, Chosen, CrashVerdict, EndDoubt, Name, Ran, Refusal, RefusalCode, TargetFailure,
    TimeMs,
};
use lycheeford_target::{
    BodyEnd, Category, Connection, TargetError, TargetRequest, TargetResponse,
};
use slog::{info, warn};

use super::admission::{Admitted, host_stopping};
use super::crash::{InterruptedRequest, check_for_crash};
use super::signals::apply_signals;
use super::slot::Slot;
use crate::fleet::record_unanswered;
use crate::state::State;
use crate::{AnswerHead, Dispatch, NotRun, Reply, Unclear};

/// The most attempts per request, counting targets that rejected it without running it.
const SENDS_MAX: u32 = 5;
/// How long a target that doesn't hold a model gets no further requests for it.
const NOT_HELD_PAUSE_MS: u64 = 150;
/// The wait for the first byte of a retryable request before another target is sought, as a
/// multiple of the route's latency objective.
const FIRST_BYTE_FACTOR: f64 = 2.5;
const FIRST_BYTE_MS_MIN: u64 = 800;
/// The `Retry-After` time of the refusals that are created in this file.
const RETRY_MS: u64 = 250;
/// The urgency sent to a target for requests of the best priority.
const URGENCY_BASE: u8 = 3;
const URGENCY_PER_PRIORITY: u8 = 2;
const URGENCY_MAX: u8 = 9;
/// The prompt length from which a request ranks behind others of its priority.
const LONG_PROMPT_TOKENS: u64 = 4_000;

/// A request with the state of its attempts.
pub(super) struct Attempts {
    pub(super) state: Arc<State>,
    pub(super) admitted: Admitted,
    /// Whether any attempt ran.
    pub(super) ran: Ran,
    /// The number of targets that ran the request, or may have.
    runs: u32,
    sends: u32,
    first_sent_at: Option<TimeMs>,
    /// The number of targets that have received the request and not yet responded.
    pub(super) at_targets: u32,
    /// The targets, counted in `runs`, that were left only because they sent nothing, or because
    /// another one answered first. The request may go back to them.
    pub(super) left: Vec<Chosen>,
}

/// A target's response whose head has arrived.
pub(super) struct StartedResponse {
    pub(super) slot: Slot,
    pub(super) response: TargetResponse,
    pub(super) reply: Reply,
    pub(super) sent_at: TimeMs,
}

/// A call that waits for the head of the response.
pub(super) struct PendingCall {
    /// Declared before the slot, so that dropping cancels the call before the slot is freed.
    pub(super) call: BoxFuture<'static, Result<TargetResponse, TargetError>>,
    pub(super) slot: Slot,
    pub(super) sent_at: TimeMs,
}

/// Why an attempt gave no response that could be returned to the caller.
pub(super) enum AttemptError {
    Unreachable,
    NotRun(NotRun),
    /// The request may have run.
    Broken(TargetError),
    /// The target answered with this status, and the request may have run.
    Unclear(u16),
}

impl Drop for Attempts {
    /// Charges the customer for a request that is dropped while a target has it, for example
    /// because the caller disconnected.
    fn drop(&mut self) {
        if self.at_targets > 0
            && let Some(charge) = &mut self.admitted.charge
        {
            charge.spend();
        }
    }
}

impl Attempts {
    pub(super) fn new(state: Arc<State>, admitted: Admitted) -> Attempts {
        Attempts {
            state,
            admitted,
            ran: Ran::NotRun,
            runs: 0,
            sends: 0,
            first_sent_at: None,
            at_targets: 0,
            left: Vec::new(),
        }
    }

    pub(super) fn sends(&self) -> u32 {
        self.sends
    }

    /// Sends the request, with failover to other targets, until one responds.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states whether any attempt ran, as far as is known.
    pub(super) async fn send(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, Refusal> {
        let sent = self.try_targets(None, resume_after).await;
        sent.map_err(|refusal| refusal.after(self.ran))
    }

    /// Sends the request like [`Attempts::send`], with a call that has begun as the first attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states whether any attempt ran, as far as is known.
    pub(super) async fn go_on_with(
        &mut self,
        pending: PendingCall,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, Refusal> {
        let sent = self.try_targets(Some(pending), resume_after).await;
        sent.map_err(|refusal| refusal.after(self.ran))
    }

    async fn try_targets(
        &mut self,
        mut begun: Option<PendingCall>,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, Refusal> {
        if self.sends == 0 {
            let service = &self.admitted.need.service;
            self.state.retries().requested(self.state.now(), service);
        }
        loop {
            let pending = if let Some(pending) = begun.take() {
                pending
            } else {
                if self.is_for_another_host() {
                    return Err(no_target());
                }
                let slot = self.slot_for_attempt().await?;
                self.admitted.recheck(&self.state)?;
                if self.state.now() >= self.admitted.final_at {
                    return Err(self.out_of_time());
                }
                self.begin(slot, resume_after)
            };
            if let Some(started) = self.await_outcome(pending, resume_after).await? {
                return Ok(started);
            }
        }
    }

    /// Waits for the outcome of a call; returns `None` if another target should be tried.
    async fn await_outcome(
        &mut self,
        pending: PendingCall,
        resume_after: Option<&str>,
    ) -> Result<Option<StartedResponse>, Refusal> {
        match self.wait_for_answer(pending, resume_after).await {
            // An answer in hand is passed on rather than held until a retry may be taken.
            Ok(started) if started.reply == Reply::Failed && self.take_retry() => Ok(None),
            Ok(started) => Ok(Some(started)),
            Err(attempt_error) => self.may_try_another(attempt_error).await.map(|()| None),
        }
    }

    /// Starts a call to a target at which the request has a slot.
    pub(super) fn begin(&mut self, slot: Slot, resume_after: Option<&str>) -> PendingCall {
        let now = self.state.now();
        self.sends += 1;
        self.go_back_to(&slot.chosen);
        self.first_sent_at.get_or_insert(now);
        self.log_sent(&slot.chosen, now);
        let request = self.target_request(&slot.chosen, now, resume_after);
        self.at_targets += 1;
        let (targets, address) = (self.state.targets.clone(), slot.chosen.address);
        // A head that never ends would hold the request for longer than its caller waits.
        let left_ms = self.admitted.final_at.since_ms(now).max(1);
        let call = Box::pin(async move {
            let answered = timeout(Duration::from_millis(left_ms), targets.call(address, &request));
            answered.await.unwrap_or_else(|_| Err(TargetError::timed_out(left_ms)))
        });
        PendingCall { call, slot, sent_at: now }
    }

    /// Processes the outcome of a call.
    pub(super) fn finish_call(
        &mut self,
        pending: PendingCall,
        result: Result<TargetResponse, TargetError>,
    ) -> Result<StartedResponse, AttemptError> {
        self.at_targets -= 1;
        let PendingCall { slot, sent_at, .. } = pending;
        let mut response = result.map_err(|error| self.call_failed(&slot.chosen, error))?;
        self.state.reach().answered(self.state.now());
        self.heard(&slot.chosen);
        if response.skipped_answers > 0 {
            info!(self.state.log, "answers_skipped";
                "id" => self.admitted.request.id.as_str(), "target" => slot.chosen.id.as_str(),
                "answers" => response.skipped_answers);
            self.state.metrics.attempt("after_skipped_answers");
        }
        let target = &self.state.protocols.target;
        let AnswerHead { reply, signals } =
            target.read_head(&slot.chosen.id, response.status, &mut response.headers);
        let id = Some(&self.admitted.request.id);
        apply_signals(&self.state, id, &slot.chosen, &signals, sent_at);
        if let Reply::NotRun(cause) = reply {
            self.not_run(&slot.chosen, cause);
            return Err(AttemptError::NotRun(cause));
        }
        if let Reply::Unclear(cause) = reply {
            self.record_unclear(&slot.chosen, response.status, cause);
            return Err(AttemptError::Unclear(response.status));
        }
        self.ran = Ran::Ran;
        self.record_run();
        if reply == Reply::Failed {
            self.note_failure(&slot.chosen, TargetFailure::Error);
            self.exclude(&slot.chosen);
        }
        Ok(StartedResponse { slot, response, reply, sent_at })
    }

    /// Records a call that failed without a response.
    pub(super) fn call_failed(&mut self, chosen: &Chosen, error: TargetError) -> AttemptError {
        info!(self.state.log, "attempt_failed";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "error" => %error);
        let outcome = if error.is_unattributed() { "unattributed" } else { "failed" };
        self.state.metrics.attempt(outcome);
        self.exclude(chosen);
        if !error.may_have_run() {
            self.note_failure(chosen, TargetFailure::Unreachable);
            return AttemptError::Unreachable;
        }
        self.record_run();
        self.record_broken(chosen, &error, 0);
        AttemptError::Broken(error)
    }

    /// Records that a target did not run the request.
    fn not_run(&mut self, chosen: &Chosen, cause: NotRun) {
        let now = self.state.now();
        info!(self.state.log, "attempt_not_run";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "cause" => ?cause);
        self.state.metrics.attempt("not_run");
        {
            let mut dispatcher = self.state.dispatcher();
            let targets = &mut dispatcher.targets;
            match cause {
                NotRun::Full => targets.was_full(now, chosen),
                NotRun::NotHeld => {
                    targets.refused(now, chosen, &self.admitted.need, NOT_HELD_PAUSE_MS);
                }
                NotRun::OtherTarget => targets.misdirected(now, chosen),
                NotRun::Rejected => {}
            }
        }
        if cause == NotRun::NotHeld {
            self.forget_adapter(chosen);
        }
        if !self.left.is_empty() {
            // A target that was left may answer sooner than this one has room.
            self.exclude(chosen);
        }
    }

    /// Records a response that doesn't show whether the request ran.
    fn record_unclear(&mut self, chosen: &Chosen, status: u16, cause: Unclear) {
        warn!(self.state.log, "attempt_unclear";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "status" => status, "cause" => ?cause);
        self.state.metrics.attempt("unclear");
        self.ran = self.ran.max(Ran::Unknown);
        self.record_run();
        self.note_failure(chosen, TargetFailure::Error);
        self.exclude(chosen);
    }

    /// Decides whether to try another target after an attempt that gave no usable response.
    async fn may_try_another(&mut self, attempt_error: AttemptError) -> Result<(), Refusal> {
        match attempt_error {
            AttemptError::Unreachable if self.sends < SENDS_MAX => Ok(()),
            AttemptError::Unreachable => Err(no_target()),
            AttemptError::Broken(_) | AttemptError::Unclear(_) if self.wait_for_retry().await => {
                Ok(())
            }
            AttemptError::Broken(error) => Err(self.failed(&error)),
            AttemptError::Unclear(status) => Err(self.failed(&format_args!(
                "the target answered {status} and may have run the request; check whether it took \
                 effect"
            ))),
            AttemptError::NotRun(cause) => {
                let may_send = cause != NotRun::Rejected
                    && self.sends < SENDS_MAX
                    && self.state.now() < self.admitted.final_at
                    && self.take_from_retry_budget();
                if may_send || (self.may_go_back() && self.wait_for_retry().await) {
                    return Ok(());
                }
                Err(Refusal::not_run(
                    RefusalCode::Overloaded,
                    "the targets rejected the request; retry later",
                    Some(RETRY_MS),
                ))
            }
        }
    }

    /// Counts a target that ran the request, or may have, and charges the customer.
    pub(super) fn record_run(&mut self) {
        self.runs += 1;
        if let Some(charge) = &mut self.admitted.charge {
            charge.spend();
        }
    }

    /// Removes an adapter that a target turned out not to hold from the planner's records, so that
    /// it can be loaded again.
    fn forget_adapter(&self, chosen: &Chosen) {
        let need = &self.admitted.need;
        let (Some(model), Some(adapter)) = (&need.model, &need.adapter) else { return };
        let want = AdapterWant { model: model.clone(), adapter: adapter.clone() };
        self.state.orders().adapter_dropped(&chosen.id, &want);
    }

    /// Records that a target may have run the request but returned no complete response, and how
    /// many events of it had arrived.
    pub(super) fn record_broken(&mut self, chosen: &Chosen, error: &TargetError, events: u64) {
        self.ran = self.ran.max(Ran::Unknown);
        if error.is_for_want_of_memory() {
            info!(self.state.log, "answer_not_kept";
                "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
                "error" => %error, "memory_bytes" => self.state.memory.held_bytes());
            return;
        }
        self.note_failure(chosen, TargetFailure::Broken);
        if matches!(error.category(), Category::Broken | Category::Truncated) {
            self.state.unstated_ends().broke_off(self.state.now(), &chosen.id);
            let state = Arc::clone(&self.state);
            let interrupted = InterruptedRequest::new(&self.admitted, events);
            task::spawn(check_for_crash(state, chosen.clone(), interrupted));
        }
    }

    pub(super) fn note_failure(&self, chosen: &Chosen, failure: TargetFailure) {
        if failure != TargetFailure::Error {
            record_unanswered(&self.state, &chosen.id);
        }
        self.state.dispatcher().targets.failed(self.state.now(), chosen, failure);
    }

    /// Takes a retry from the retry budget if the request may run again; returns whether a retry
    /// was taken.
    pub(super) fn take_retry(&self) -> bool {
        self.can_retry() && self.take_from_retry_budget()
    }

    /// Returns whether the request may run again, apart from the retry budget.
    pub(super) fn can_retry(&self) -> bool {
        self.may_repeat() && (self.has_attempt_left() || !self.left.is_empty())
    }

    /// Returns whether the request may run more than once, and there is time for it.
    pub(super) fn may_repeat(&self) -> bool {
        self.admitted.route.kind.is_repeatable()
            && self.sends < SENDS_MAX
            && self.state.now() < self.admitted.final_at
            && !self.is_suspect()
    }

    /// Returns whether this host reaches no target, so that another one has to serve the request.
    pub(super) fn is_for_another_host(&self) -> bool {
        self.state.is_cut_off() && !self.admitted.request.is_forwarded
    }

    /// Returns whether the request may run at one more target, which another host may choose.
    pub(super) fn may_run_elsewhere(&self) -> bool {
        self.may_repeat() && self.has_attempt_left()
    }

    /// Returns whether the route allows one more target.
    pub(super) fn has_attempt_left(&self) -> bool {
        self.runs + self.at_targets < self.admitted.route.attempts_max
    }

    /// Returns whether the request has only one send left, or none.
    pub(super) fn is_last_send(&self) -> bool {
        self.sends + 1 >= SENDS_MAX
    }

    /// Counts a target that was left as one of those to come, since the request is sent there
    /// again.
    fn go_back_to(&mut self, chosen: &Chosen) {
        let is_same = |left: &Chosen| left.id == chosen.id && left.life == chosen.life;
        if let Some(index) = self.left.iter().position(is_same) {
            self.left.remove(index);
            self.runs = self.runs.saturating_sub(1);
        }
    }

    /// Logs the choice of a target.
    fn log_sent(&self, chosen: &Chosen, now: TimeMs) {
        let choice = &chosen.choice;
        let waited_ms = now.since_ms(self.admitted.arrived_at);
        info!(self.state.log, "sent";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "version" => chosen.version.as_str(),
            "model" => self.admitted.need.model.as_ref().map(Name::as_str),
            "resumes" => self.admitted.request.resumes.as_ref().map(Name::as_str),
            "running" => chosen.running, "cost_ms" => choice.cost_ms, "usable" => choice.usable,
            "runner_up" => choice.runner_up.as_ref().map(|(name, _)| name.as_str()),
            "runner_up_cost_ms" => choice.runner_up.as_ref().map(|(_, cost_ms)| *cost_ms),
            "waited_ms" => waited_ms);
    }

    /// Logs a completed request and records its run time.
    pub(super) fn log_answered(&self, status: u16, target: &str, body_bytes: usize, end: BodyEnd) {
        let admitted = &self.admitted;
        let now = self.state.now();
        let total_ms = now.since_ms(admitted.arrived_at);
        if let Some(first_sent_at) = self.first_sent_at {
            let run_ms = now.since_ms(first_sent_at);
            self.state.run_times().ended(&admitted.need.service, &admitted.route.name, run_ms);
        }
        self.state.metrics.answered(admitted.customer.as_ref(), admitted.priority, total_ms);
        info!(self.state.log, "answered";
            "id" => admitted.request.id.as_str(), "route" => admitted.route.name.as_str(),
            "customer" => admitted.customer.as_ref().map(Name::as_str),
            "model" => admitted.need.model.as_ref().map(Name::as_str),
            "status" => status, "target" => target, "sends" => self.sends(),
            "bytes" => body_bytes, "end" => end.label(), "total_ms" => total_ms);
    }

    /// Records that a target completed the response to the request, and stated that it did.
    pub(super) fn record_completion(&self) {
        let causes = &self.admitted.crash_causes;
        self.state.suspects().record_completion(self.state.now(), causes);
    }

    pub(super) fn exclude(&mut self, chosen: &Chosen) {
        self.admitted.need.excluded.push(chosen.id.clone());
    }

    fn is_suspect(&self) -> bool {
        let causes = &self.admitted.crash_causes;
        self.state.suspects().verdict(self.state.now(), causes) == CrashVerdict::Refuse
    }

    fn take_from_retry_budget(&self) -> bool {
        let now = self.state.now();
        let hosts = self.state.membership().hosts.count();
        self.state.retries().take_repeat(now, &self.admitted.need.service, hosts)
    }

    /// Takes a retry to confirm an end; returns false if few are left for other requests.
    pub(super) fn take_retry_for(&self, doubt: EndDoubt) -> bool {
        let now = self.state.now();
        let service = &self.admitted.need.service;
        let hosts = self.state.membership().hosts.count();
        self.state.retries().take_repeat_of_part(now, service, hosts, doubt.retries_part())
    }

    fn target_request(
        &self,
        chosen: &Chosen,
        now: TimeMs,
        resume_after: Option<&str>,
    ) -> TargetRequest {
        let admitted = &self.admitted;
        let left_ms = admitted.deadline_at.since_ms(now).max(1);
        let dispatch = Dispatch {
            target: &chosen.id,
            deadline_ms: left_ms,
            customer: admitted.customer.as_ref(),
            urgency: self.urgency(),
            resume_after,
        };
        let mut request = self.state.protocols.target.forward(&admitted.request, &dispatch);
        request.first_byte_ms_max = Some(admitted.final_at.since_ms(now).max(1));
        if !admitted.need.excluded.is_empty() || self.runs + self.at_targets > 0 {
            request.connection = Connection::Fresh;
        }
        request
    }

    /// Returns how long to wait for the first byte before another target is sought.
    pub(super) fn first_byte_ms_max(&self, now: TimeMs) -> u64 {
        let admitted = &self.admitted;
        let left_ms = admitted.final_at.since_ms(now).max(1);
        if !self.can_retry() {
            return left_ms;
        }
        let first_byte_ms = (admitted.route.objective_ms as f64 * FIRST_BYTE_FACTOR) as u64;
        first_byte_ms.max(FIRST_BYTE_MS_MIN).min(left_ms)
    }

    fn urgency(&self) -> u8 {
        let prompt_tokens = self.admitted.request.tokens.map_or(0, |(prompt, _)| prompt);
        let base = URGENCY_BASE + URGENCY_PER_PRIORITY.saturating_mul(self.admitted.priority);
        (base + u8::from(prompt_tokens >= LONG_PROMPT_TOKENS)).min(URGENCY_MAX)
    }

    /// Returns the refusal of a request that no target completed.
    pub(super) fn failed(&self, cause: &impl Display) -> Refusal {
        if self.state.now() >= self.admitted.final_at {
            return self.out_of_time();
        }
        let message = cause.to_string();
        Refusal::not_run(RefusalCode::TargetFailed, message, Some(RETRY_MS)).after(self.ran)
    }

    /// Returns the refusal of a request that is still without a response when this host stops.
    pub(super) fn host_stopping_refusal(&mut self) -> Refusal {
        if self.at_targets > 0 {
            self.ran = self.ran.max(Ran::Unknown);
        }
        if self.ran == Ran::NotRun {
            return host_stopping();
        }
        self.state.metrics.unanswered_at_stop.inc();
        let message =
            "this host stopped before the target answered; check whether the request took effect";
        Refusal::not_run(RefusalCode::TargetFailed, message, Some(RETRY_MS)).after(self.ran)
    }

    pub(super) fn out_of_time(&self) -> Refusal {
        let message = "the deadline of the request has passed; send it with a longer one";
        let code = match self.ran {
            Ran::NotRun => RefusalCode::Overloaded,
            Ran::Unknown | Ran::Ran => RefusalCode::DeadlinePassed,
        };
        Refusal::not_run(code, message, Some(RETRY_MS)).after(self.ran)
    }
}

pub(super) fn no_target() -> Refusal {
    let message = "no target can be reached; retry soon";
    Refusal::not_run(RefusalCode::NoTarget, message, Some(RETRY_MS))
}
