use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_caller::{CallerBody, CallerResponse, Method};
use lycheeford_policy::{CrashCause, CrashVerdict, Name, Ran, Refusal, RefusalCode, TimeMs};
use lycheeford_target::{CompletionEvent, Connection, TargetError, TargetRequest, TargetResponse};
use serde_json::Value;

use super::crash::{CrashCheck, check_target_crash};
use super::run_alone::{RunAloneGuard, crash_suspect};
use crate::dispatch_gate::DispatchGate;
use crate::operation::metrics::{CustomerLabels, Event};
use crate::placement::place::{PlacedRequest, place};
use crate::placement::table::PlaceRequest;
use crate::placement::target_instance::TargetInstance;
use crate::rates::reservation::Reserved;
use crate::request::access::Access;
use crate::request::call::Call;
use crate::state::State;

/// The largest response body that is buffered whole.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// The HTTP status with which an engine rejects a request for a model that it doesn't have ready.
const NOT_LOADED: u16 = 404;
/// The number of failures of one request, at targets that are still alive, after which the
/// request is no longer retried.
const FAILURES_MAX: u32 = 8;
/// Half the pause after the first such failure; the pause doubles with each further failure.
const FAILURE_PAUSE_MS: u64 = 25;
/// The name under which the run times of completions are kept, which no service can have.
const COMPLETIONS: &str = "/v1/completions";
/// When a caller should retry after a transient failure.
const RETRY_AFTER_MS: u64 = 1_000;

/// A completion in progress, with the resources that it holds until it ends.
pub(crate) struct Completion {
    pub(crate) state: Arc<State>,
    pub(crate) id: Name,
    pub(super) dispatch_gate: Arc<DispatchGate>,
    pub(crate) access: Access,
    pub(crate) labels: CustomerLabels,
    pub(crate) call: Call,
    pub(crate) reserved: Reserved,
    pub(crate) arrived: TimeMs,
    pub(crate) deadline: TimeMs,
    pub(super) first_sent: Option<TimeMs>,
    /// Targets where an attempt of this request failed. Routing skips them, but a request that
    /// has to wait in the queue may be given one of them again.
    pub(super) failed: Vec<Name>,
    /// When the first of them failed.
    pub(super) failed_since: Option<TimeMs>,
    /// Failed attempts at targets that were still alive afterwards.
    pub(super) alive_failures: u32,
    /// What is known so far of whether an attempt ran; every later refusal reports it.
    pub(crate) ran: Ran,
    /// Set for a crash suspect: prevents a second run of it until this request ends.
    #[expect(dead_code, reason = "held for its Drop")]
    pub(super) run_alone_guard: Option<RunAloneGuard>,
}

/// An attempt at an engine that has returned a response head.
pub(crate) struct Attempt {
    pub(crate) placed: PlacedRequest,
    pub(crate) response: TargetResponse,
}

impl Completion {
    /// Places the request and sends it, retrying at other targets after failures.
    ///
    /// `from_token` is the number of tokens already delivered to the caller.
    ///
    /// # Errors
    ///
    /// Refuses if no target answers in time, if no further retry is allowed, if the key is no
    /// longer valid, or if this host stops. The refusal says whether an attempt may have run.
    pub(crate) async fn dispatch(&mut self, from_token: u64) -> Result<Attempt, Refusal> {
        let dispatched = self.try_targets(from_token).await;
        dispatched.map_err(|refusal| refusal.after(self.ran))
    }

    async fn try_targets(&mut self, from_token: u64) -> Result<Attempt, Refusal> {
        let mut last_error: Option<TargetError> = None;
        let mut first = true;
        loop {
            if !first && !self.can_retry() {
                return Err(self.failure(last_error));
            }
            self.pause_after_failures().await;
            let place_request = self.place_request();
            self.state.running.check_stop(&place_request.sent_at(self.state.now()))?;
            let placed = place(&self.state, &place_request, &self.failed).await?;
            if let Some(waited_ms) = placed.waited_ms {
                self.state
                    .metrics
                    .queueing_ms
                    .get_or_create(&self.labels)
                    .observe(waited_ms as f64);
            }
            self.access.recheck(&self.state)?;
            let Some(address) = self.address(&placed.target) else {
                self.state.placement.lock().forget_target(self.state.now(), &placed.target);
                self.exclude(placed.target.clone());
                continue;
            };
            let now = self.state.now();
            self.state.running.check_stop(&place_request.sent_at(now))?;
            self.dispatch_gate.begin()?;
            self.first_sent.get_or_insert(now);
            match self.send(address, from_token).await {
                Ok(response) if response.status == NOT_LOADED => {
                    // The placement view was stale: the target no longer has the model, and nothing
                    // ran.
                    self.dispatch_gate.undo_attempt();
                    self.state.placement.lock().forget_replica(&self.call.name, &placed.target);
                    if self.state.now() > self.deadline {
                        return Err(self.failure(None));
                    }
                }
                Ok(response) => {
                    if response.status == 200 {
                        self.ran = Ran::Ran;
                    }
                    return Ok(Attempt { placed, response });
                }
                Err(error) => {
                    first = false;
                    self.target_failed(&placed.instance, &error).await;
                    last_error = Some(error);
                }
            }
        }
    }

    /// Records that routing should skip a target.
    pub(super) fn exclude(&mut self, target: Name) {
        self.failed.push(target);
        self.failed_since.get_or_insert(self.state.now());
    }

    /// Records that an attempt of this request failed at a target.
    pub(crate) async fn target_failed(&mut self, instance: &TargetInstance, error: &TargetError) {
        self.exclude(instance.target.clone());
        if error.may_have_run() {
            self.ran = self.ran.max(Ran::Unknown);
            let crash_check =
                check_target_crash(&self.state, instance, self.call.fingerprint).await;
            self.alive_failures += u32::from(crash_check == CrashCheck::Alive);
        } else {
            self.dispatch_gate.undo_attempt();
            self.state.placement.lock().forget_target(self.state.now(), &instance.target);
        }
    }

    /// Waits after failures at targets that are alive, so that another replica can be loaded
    /// before the same target is tried again.
    async fn pause_after_failures(&self) {
        if self.alive_failures == 0 {
            return;
        }
        let left_ms = self.deadline.since_ms(self.state.now());
        let pause_ms = (FAILURE_PAUSE_MS << self.alive_failures).min(left_ms);
        task::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Returns whether the request may be sent to another target, and takes a retry from the
    /// budget if so.
    pub(crate) fn can_retry(&self) -> bool {
        let allowed = !self.is_refused_suspect()
            && self.alive_failures < FAILURES_MAX
            && self.state.now() < self.deadline
            && self.state.retry_budget.lock().withdraw(self.state.now());
        if allowed {
            self.state.metrics.event(Event::Retry);
        }
        allowed
    }

    /// Returns whether too many targets crashed while they ran this request.
    fn is_refused_suspect(&self) -> bool {
        let causes = [CrashCause::Request(self.call.fingerprint)];
        let verdict = self.state.suspects.lock().verdict(self.state.now(), &causes);
        verdict == CrashVerdict::Refuse
    }

    /// Returns the refusal of a request that no target completed.
    pub(crate) fn failure(&self, error: Option<TargetError>) -> Refusal {
        self.failure_refusal(error).after(self.ran)
    }

    fn failure_refusal(&self, error: Option<TargetError>) -> Refusal {
        if self.is_refused_suspect() {
            return crash_suspect();
        }
        if self.state.now() >= self.deadline {
            return Refusal::not_run(
                RefusalCode::DeadlinePassed,
                "the deadline passed before an answer; send the request again with a longer one",
                None,
            );
        }
        match error {
            Some(error) => {
                Refusal::not_run(RefusalCode::TargetFailed, error.to_string(), Some(RETRY_AFTER_MS))
            }
            None => Refusal::not_run(
                RefusalCode::NoTarget,
                "no target has the model ready; send the request again",
                Some(RETRY_AFTER_MS),
            ),
        }
    }

    /// Counts a completely delivered answer.
    pub(crate) fn record_success(&self) {
        self.state.metrics.good_answer(&self.labels);
        if let Some(first_sent) = self.first_sent {
            let run_ms = self.state.now().since_ms(first_sent);
            let completions = Name::from(COMPLETIONS);
            self.state.run_times.lock().ended(&completions, &completions, run_ms);
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        from_token: u64,
    ) -> Result<TargetResponse, TargetError> {
        self.state.retry_budget.lock().deposit();
        let mut headers = vec![
            ("content-type".to_owned(), "application/json".to_owned()),
            ("x-request-id".to_owned(), self.id.as_str().to_owned()),
            ("x-priority".to_owned(), self.access.customer.class.to_string()),
        ];
        if from_token > 0 {
            headers.push(("x-resume-from-token".to_owned(), from_token.to_string()));
        }
        let request = TargetRequest {
            method: Method::Post,
            path_and_query: self.call.path.clone(),
            headers,
            body: self.call.body.clone().into(),
            // Nothing in the answer tells it from an earlier one.
            connection: Connection::Fresh,
            host: None,
            echo: None,
            first_byte_ms_max: Some(self.deadline.since_ms(self.state.now()).max(1)),
        };
        self.state.targets.call(address, &request).await
    }

    fn address(&self, target: &Name) -> Option<SocketAddr> {
        self.state.fleet.load().host(target).map(|host| host.address)
    }

    fn place_request(&self) -> PlaceRequest {
        let completions = Name::from(COMPLETIONS);
        let run_times = self.state.run_times.lock();
        let run_ms = if self.call.streams {
            run_times.stream_reserve_ms(&completions, &completions)
        } else {
            run_times.reserve_ms(&completions, &completions)
        };
        PlaceRequest {
            name: self.call.name.clone(),
            customer: self.access.customer.name.clone(),
            class: self.access.customer.class,
            arrived: self.arrived,
            deadline: self.deadline,
            run_ms,
            ran: self.ran,
            cost_tokens: self.call.tokens_max(),
            prefix_hashes: self.call.prefix_hashes.clone(),
            failed_since: self.failed_since,
        }
    }

    pub(super) async fn whole_answer(
        mut self,
        attempt: Attempt,
    ) -> Result<CallerResponse, Refusal> {
        let mut attempt = attempt;
        loop {
            let cold = attempt.placed.waited_ms.is_some();
            let headers = answer_headers(&attempt.response);
            let instance = attempt.placed.instance.clone();
            if attempt.response.status != 200 {
                return Ok(engine_answer(attempt).await);
            }
            match attempt.response.body.collect(ANSWER_BYTES_MAX).await {
                Ok(body) => {
                    self.access.recheck(&self.state).map_err(|r| r.after(Ran::Ran))?;
                    self.charge(&body);
                    self.observe_first_token(cold);
                    self.record_success();
                    return Ok(CallerResponse {
                        status: 200,
                        headers,
                        body: CallerBody::Whole(body),
                    });
                }
                Err(error) => {
                    self.target_failed(&instance, &error).await;
                    if !self.can_retry() {
                        return Err(self.failure(Some(error)));
                    }
                    attempt = self.dispatch(0).await?;
                }
            }
        }
    }

    /// Charges the tokens that a whole answer reports as used, or all reserved tokens if it
    /// reports none.
    fn charge(&self, body: &[u8]) {
        let usage = CompletionEvent::parse(body).ok().and_then(|event| event.usage);
        let used_tokens = usage.map_or(self.call.tokens_max(), |usage| {
            (usage.prompt_tokens + usage.completion_tokens).min(self.call.tokens_max())
        });
        // Can't fail: the reservation holds the maximum that the call can use.
        let _ = self.reserved.consume(used_tokens);
        self.state.metrics.tokens(&self.labels, used_tokens);
    }

    /// Records the time to the first token, also as a cold start if the request waited for a
    /// replica.
    pub(crate) fn observe_first_token(&self, cold: bool) {
        let elapsed_ms = self.state.now().since_ms(self.arrived) as f64;
        let metrics = &self.state.metrics;
        metrics.first_token_ms.get_or_create(&self.labels).observe(elapsed_ms);
        if cold {
            metrics.cold_start_ms.get_or_create(&self.labels).observe(elapsed_ms);
        }
    }
}

pub(super) fn answer_headers(response: &TargetResponse) -> Vec<(String, String)> {
    let keep = |name: &str| name.eq_ignore_ascii_case("content-type");
    response.headers.iter().filter(|(name, _)| keep(name)).cloned().collect()
}

/// Forwards the response of an engine that rejected a request.
pub(super) async fn engine_answer(attempt: Attempt) -> CallerResponse {
    let status = attempt.response.status;
    let headers = answer_headers(&attempt.response);
    let body = attempt
        .response
        .body
        .collect(ANSWER_BYTES_MAX)
        .await
        .unwrap_or_else(|error| Value::String(error.to_string()).to_string().into_bytes());
    CallerResponse { status, headers, body: CallerBody::Whole(body) }
}
