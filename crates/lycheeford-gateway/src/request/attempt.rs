use std::sync::Arc;

use async_std::task;
use futures_util::future::BoxFuture;
use lycheeford_policy::{
    AdapterWant, Chosen, CrashVerdict, Name, Ran, Refusal, RefusalCode, TargetFailure, TimeMs,
};
use lycheeford_target::{Category, Connection, TargetError, TargetRequest, TargetResponse};
use slog::info;

use super::admission::Admitted;
use super::crash::note_broken;
use super::place::{Place, host_stopping, take_place};
use super::word::take_word;
use crate::state::State;
use crate::{AnswerHead, Dispatch, NotRun, Reply};

/// The most attempts per request, counting targets that rejected it without running it.
const SENDS_MAX: u32 = 5;
/// How long a target that doesn't hold a model gets no further requests for it.
const NOT_HELD_PAUSE_MS: u64 = 150;
/// The wait for the first byte of a retryable request before another target is sought, as a
/// multiple of the route's latency objective.
const FIRST_BYTE_FACTOR: f64 = 2.5;
const FIRST_BYTE_MS_MIN: u64 = 800;
/// The `Retry-After` time of a failed request that may be repeated.
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
}

/// A target's response whose head has arrived.
pub(super) struct Answering {
    pub(super) place: Place,
    pub(super) response: TargetResponse,
    pub(super) reply: Reply,
    pub(super) sent_at: TimeMs,
}

/// A call that waits for the head of the response.
pub(super) struct Calling {
    /// Declared before the slot, so that dropping cancels the call before the slot is freed.
    pub(super) call: BoxFuture<'static, Result<TargetResponse, TargetError>>,
    pub(super) place: Place,
    pub(super) sent_at: TimeMs,
}

/// Why an attempt gave no response.
pub(super) enum Unanswered {
    Unreachable,
    NotRun(NotRun),
    /// The request may have run.
    Broken(TargetError),
}

impl Drop for Attempts {
    /// Charges the customer for a request whose caller disconnects while a target runs it.
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
    pub(super) async fn send(&mut self, resume_after: Option<&str>) -> Result<Answering, Refusal> {
        let sent = self.try_targets(None, resume_after).await;
        sent.map_err(|refusal| refusal.after(self.ran))
    }

    /// Sends the request like [`Attempts::send`], with the slot given for the first attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal that states whether any attempt ran, as far as is known.
    pub(super) async fn send_to(
        &mut self,
        place: Place,
        resume_after: Option<&str>,
    ) -> Result<Answering, Refusal> {
        let sent = self.try_targets(Some(place), resume_after).await;
        sent.map_err(|refusal| refusal.after(self.ran))
    }

    async fn try_targets(
        &mut self,
        mut first: Option<Place>,
        resume_after: Option<&str>,
    ) -> Result<Answering, Refusal> {
        if self.sends == 0 {
            let service = &self.admitted.need.service;
            self.state.retries().requested(self.state.now(), service);
        }
        loop {
            let place = match first.take() {
                Some(place) => place,
                None => take_place(&self.state, &self.admitted).await?,
            };
            self.admitted.recheck(&self.state)?;
            if self.state.now() >= self.admitted.final_at {
                return Err(self.out_of_time());
            }
            let calling = self.begin(place, resume_after);
            if let Some(answering) = self.try_to_end(calling, resume_after).await? {
                return Ok(answering);
            }
        }
    }

    /// Waits for the outcome of a call; returns `None` if another target should be tried.
    async fn try_to_end(
        &mut self,
        calling: Calling,
        resume_after: Option<&str>,
    ) -> Result<Option<Answering>, Refusal> {
        match self.wait_for_answer(calling, resume_after).await {
            Ok(answering) if answering.reply == Reply::Failed && self.may_repeat() => Ok(None),
            Ok(answering) => Ok(Some(answering)),
            Err(unanswered) => self.may_try_another(unanswered).map(|()| None),
        }
    }

    /// Starts a call to a target in which the request has a slot.
    pub(super) fn begin(&mut self, place: Place, resume_after: Option<&str>) -> Calling {
        let now = self.state.now();
        self.sends += 1;
        self.first_sent_at.get_or_insert(now);
        self.log_sent(&place.chosen, now);
        let request = self.target_request(&place.chosen, now, resume_after);
        self.at_targets += 1;
        let (targets, address) = (self.state.targets.clone(), place.chosen.address);
        let call = Box::pin(async move { targets.call(address, &request).await });
        Calling { call, place, sent_at: now }
    }

    /// Processes the outcome of a call.
    pub(super) fn ended(
        &mut self,
        calling: Calling,
        called: Result<TargetResponse, TargetError>,
    ) -> Result<Answering, Unanswered> {
        self.at_targets -= 1;
        let Calling { place, sent_at, .. } = calling;
        let mut response = called.map_err(|error| self.call_failed(&place.chosen, error))?;
        let target = &self.state.edges.target;
        let AnswerHead { reply, word } =
            target.read_head(&place.chosen.id, response.status, &mut response.headers);
        let id = Some(&self.admitted.request.id);
        take_word(&self.state, id, &place.chosen, &word, sent_at);
        if let Reply::NotRun(cause) = reply {
            self.not_run(&place.chosen, cause);
            return Err(Unanswered::NotRun(cause));
        }
        self.ran = Ran::Ran;
        self.has_run();
        if reply == Reply::Failed {
            self.note_failure(&place.chosen, TargetFailure::Error);
            self.exclude(&place.chosen);
        }
        Ok(Answering { place, response, reply, sent_at })
    }

    /// Records a call that failed without a response.
    fn call_failed(&mut self, chosen: &Chosen, error: TargetError) -> Unanswered {
        info!(self.state.log, "attempt_failed";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "error" => %error);
        self.state.metrics.attempt("failed");
        self.exclude(chosen);
        if !error.may_have_run() {
            self.note_failure(chosen, TargetFailure::Unreachable);
            return Unanswered::Unreachable;
        }
        self.has_run();
        self.broke_off(chosen, &error);
        Unanswered::Broken(error)
    }

    /// Records that a target did not run the request.
    fn not_run(&self, chosen: &Chosen, cause: NotRun) {
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
    }

    /// Decides whether to try another target after an attempt without a response.
    fn may_try_another(&mut self, unanswered: Unanswered) -> Result<(), Refusal> {
        match unanswered {
            Unanswered::Unreachable if self.sends < SENDS_MAX => Ok(()),
            Unanswered::Unreachable => Err(no_target()),
            Unanswered::Broken(_) if self.may_repeat() => Ok(()),
            Unanswered::Broken(error) => Err(self.failed(&error)),
            Unanswered::NotRun(cause) => {
                let may_send = cause != NotRun::Rejected
                    && self.sends < SENDS_MAX
                    && self.state.now() < self.admitted.final_at
                    && self.take_repeat();
                if may_send {
                    return Ok(());
                }
                Err(Refusal::not_run(
                    RefusalCode::Overloaded,
                    "the targets turned the request away; come back later",
                    Some(RETRY_MS),
                ))
            }
        }
    }

    /// Counts a target that ran the request, or may have.
    pub(super) fn has_run(&mut self) {
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

    /// Records that a target may have run the request but returned no complete response.
    pub(super) fn broke_off(&mut self, chosen: &Chosen, error: &TargetError) {
        self.ran = self.ran.max(Ran::Unknown);
        self.note_failure(chosen, TargetFailure::Broken);
        if matches!(error.category(), Category::Broken | Category::Truncated) {
            let state = Arc::clone(&self.state);
            task::spawn(note_broken(state, chosen.clone(), self.admitted.fingerprint));
        }
    }

    pub(super) fn note_failure(&self, chosen: &Chosen, failure: TargetFailure) {
        self.state.dispatcher().targets.failed(self.state.now(), chosen, failure);
    }

    /// Takes a retry from the retry budget; returns whether the request may run again.
    pub(super) fn may_repeat(&self) -> bool {
        self.could_repeat() && self.take_repeat()
    }

    /// Returns whether the request may run again, apart from the retry budget.
    pub(super) fn could_repeat(&self) -> bool {
        self.admitted.route.kind.is_repeatable()
            && self.runs + self.at_targets < self.admitted.route.attempts_max
            && self.sends < SENDS_MAX
            && self.state.now() < self.admitted.final_at
            && !self.is_suspect()
    }

    /// Logs the choice of a target.
    fn log_sent(&self, chosen: &Chosen, now: TimeMs) {
        let choice = &chosen.choice;
        let waited_ms = now.since_ms(self.admitted.arrived_at);
        info!(self.state.log, "sent";
            "id" => self.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "running" => chosen.running, "cost_ms" => choice.cost_ms, "usable" => choice.usable,
            "runner_up" => choice.runner_up.as_ref().map(|(name, _)| name.as_str()),
            "runner_up_cost_ms" => choice.runner_up.as_ref().map(|(_, cost_ms)| *cost_ms),
            "waited_ms" => waited_ms);
    }

    /// Logs a completed request and records its run time.
    pub(super) fn log_answered(&self, status: u16, target: &str, body_bytes: usize) {
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
            "bytes" => body_bytes, "total_ms" => total_ms);
    }

    pub(super) fn exclude(&mut self, chosen: &Chosen) {
        self.admitted.need.excluded.push(chosen.id.clone());
    }

    /// Makes the target that was excluded last eligible again.
    pub(super) fn readmit_last(&mut self) {
        self.admitted.need.excluded.pop();
    }

    fn is_suspect(&self) -> bool {
        let verdict = self.state.suspects().verdict(self.admitted.fingerprint);
        verdict == CrashVerdict::Refuse
    }

    fn take_repeat(&self) -> bool {
        let now = self.state.now();
        let hosts = self.state.membership().hosts.count();
        self.state.retries().take_repeat(now, &self.admitted.need.service, hosts)
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
        let mut request = self.state.edges.target.forward(&admitted.request, &dispatch);
        request.first_byte_ms_max = Some(admitted.final_at.since_ms(now).max(1));
        if !admitted.need.excluded.is_empty() {
            request.connection = Connection::Fresh;
        }
        request
    }

    /// Returns how long to wait for the first byte before another target is sought.
    pub(super) fn first_byte_ms_max(&self, now: TimeMs) -> u64 {
        let admitted = &self.admitted;
        let left_ms = admitted.final_at.since_ms(now).max(1);
        let may_repeat =
            admitted.route.kind.is_repeatable() && self.runs + 1 < admitted.route.attempts_max;
        if !may_repeat {
            return left_ms;
        }
        let patience_ms = (admitted.route.objective_ms as f64 * FIRST_BYTE_FACTOR) as u64;
        patience_ms.max(FIRST_BYTE_MS_MIN).min(left_ms)
    }

    fn urgency(&self) -> u8 {
        let prompt_tokens = self.admitted.request.tokens.map_or(0, |(prompt, _)| prompt);
        let base = URGENCY_BASE + URGENCY_PER_PRIORITY.saturating_mul(self.admitted.priority);
        (base + u8::from(prompt_tokens >= LONG_PROMPT_TOKENS)).min(URGENCY_MAX)
    }

    /// Returns the refusal of a request that no target completed.
    pub(super) fn failed(&self, error: &TargetError) -> Refusal {
        if self.state.now() >= self.admitted.final_at {
            return self.out_of_time();
        }
        let message = error.to_string();
        Refusal::not_run(RefusalCode::TargetFailed, message, Some(RETRY_MS)).after(self.ran)
    }

    /// Returns the refusal of a request that is still without a response when this host stops.
    pub(super) fn host_stops(&mut self) -> Refusal {
        if self.at_targets > 0 {
            self.ran = self.ran.max(Ran::Unknown);
        }
        if self.ran == Ran::NotRun {
            return host_stopping();
        }
        let message = "this host ends before the target has answered; ask what became of it";
        Refusal::not_run(RefusalCode::TargetFailed, message, Some(RETRY_MS)).after(self.ran)
    }

    pub(super) fn out_of_time(&self) -> Refusal {
        let message = "the time for the request is up; send it with a longer deadline";
        let code = match self.ran {
            Ran::NotRun => RefusalCode::Overloaded,
            Ran::Unknown | Ran::Ran => RefusalCode::DeadlinePassed,
        };
        Refusal::not_run(code, message, Some(RETRY_MS)).after(self.ran)
    }
}

fn no_target() -> Refusal {
    let message = "no target can be reached; come back soon";
    Refusal::not_run(RefusalCode::NoTarget, message, Some(RETRY_MS))
}
