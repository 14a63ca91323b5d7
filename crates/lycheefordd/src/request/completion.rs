use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use lycheeford_caller::{CallerBody, CallerResponse, Method};
use lycheeford_policy::{CrashVerdict, Name, Ran, Refusal, RefusalCode, TimeMs};
use lycheeford_target::{CompletionEvent, Connection, TargetError, TargetRequest, TargetResponse};
use serde_json::Value;

use super::crash::{Fate, note_target_failure};
use super::run_alone::{RunsAlone, crash_suspect};
use crate::handover::Handover;
use crate::operation::metrics::{CustomerLabels, Event};
use crate::placement::place::{PlacedRequest, place};
use crate::placement::table::PlaceRequest;
use crate::placement::target_life::TargetLife;
use crate::rates::reservation::Reserved;
use crate::request::access::Access;
use crate::request::call::Call;
use crate::state::State;

/// The largest answer that is kept whole.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// The HTTP status of an engine that doesn't have the model ready.
const NOT_LOADED: u16 = 404;
/// Failures at living targets after which a request gets its final answer.
const FAILURES_MAX: u32 = 8;
/// The pause after the first of them; it doubles with each one that follows.
const FAILURE_PAUSE_MS: u64 = 25;
/// When a caller should come back after a failure that may pass by itself.
const RETRY_AFTER_MS: u64 = 1_000;

/// A completion on its way, with what it holds until it ends.
pub(crate) struct Completion {
    pub(crate) state: Arc<State>,
    pub(crate) id: Name,
    pub(super) handover: Arc<Handover>,
    pub(crate) access: Access,
    pub(crate) labels: CustomerLabels,
    pub(crate) call: Call,
    pub(crate) reserved: Reserved,
    pub(crate) arrived: TimeMs,
    pub(crate) deadline: TimeMs,
    /// Targets that failed this request.
    pub(crate) failed: Vec<Name>,
    /// How often a target failed it that lives.
    pub(super) failed_alive: u32,
    /// Whether an attempt ran, for every refusal from then on.
    pub(crate) ran: Ran,
    /// Held until the request ends.
    #[expect(dead_code, reason = "held for its end")]
    pub(super) alone: Option<RunsAlone>,
}

/// An engine that answers a completion.
pub(crate) struct Answering {
    pub(crate) placed: PlacedRequest,
    pub(crate) response: TargetResponse,
}

impl Completion {
    /// Places the request and sends it, to one target after another if need be.
    ///
    /// `from_token` is the number of tokens that the caller has already.
    ///
    /// # Errors
    ///
    /// Refuses with all that is known of whether an attempt ran.
    pub(crate) async fn dispatch(&mut self, from_token: u64) -> Result<Answering, Refusal> {
        let dispatched = self.try_targets(from_token).await;
        dispatched.map_err(|refusal| refusal.after(self.ran))
    }

    async fn try_targets(&mut self, from_token: u64) -> Result<Answering, Refusal> {
        let mut last_error: Option<TargetError> = None;
        let mut first = true;
        loop {
            if !first && !self.may_retry() {
                return Err(self.failure(last_error));
            }
            self.pause_after_failures().await;
            let placed = place(&self.state, &self.place_request(), &self.failed).await?;
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
                self.failed.push(placed.target.clone());
                continue;
            };
            self.handover.begin()?;
            match self.send(address, from_token).await {
                Ok(response) if response.status == NOT_LOADED => {
                    // The view was late: the model isn't there any more, and nothing ran.
                    self.handover.take_back();
                    self.state.placement.lock().forget_replica(&self.call.name, &placed.target);
                    if self.state.now() > self.deadline {
                        return Err(self.failure(None));
                    }
                }
                Ok(response) => {
                    if response.status == 200 {
                        self.ran = Ran::Ran;
                    }
                    return Ok(Answering { placed, response });
                }
                Err(error) => {
                    first = false;
                    self.target_failed(&placed.life, &error).await;
                    last_error = Some(error);
                }
            }
        }
    }

    /// Takes in that a target failed this request.
    pub(crate) async fn target_failed(&mut self, life: &TargetLife, error: &TargetError) {
        self.failed.push(life.target.clone());
        if error.may_have_run() {
            self.ran = self.ran.max(Ran::Unknown);
            let fate = note_target_failure(&self.state, life, self.call.fingerprint).await;
            self.failed_alive += u32::from(fate == Fate::Lives);
        } else {
            self.handover.take_back();
            self.state.placement.lock().forget_target(self.state.now(), &life.target);
        }
    }

    /// Lets another replica be loaded before the same target is tried once more.
    async fn pause_after_failures(&self) {
        if self.failed_alive == 0 {
            return;
        }
        let left_ms = self.deadline.since_ms(self.state.now());
        let pause_ms = (FAILURE_PAUSE_MS << self.failed_alive).min(left_ms);
        task::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Tells whether the request may be sent to yet another target.
    pub(crate) fn may_retry(&self) -> bool {
        let suspect = self.state.suspects.lock().verdict(self.call.fingerprint);
        let allowed = suspect != CrashVerdict::Refuse
            && self.failed_alive < FAILURES_MAX
            && self.state.now() < self.deadline
            && self.state.retry_budget.lock().withdraw(self.state.now());
        if allowed {
            self.state.metrics.event(Event::Retry);
        }
        allowed
    }

    /// Returns the refusal of a request that no target completed.
    pub(crate) fn failure(&self, error: Option<TargetError>) -> Refusal {
        self.why_failed(error).after(self.ran)
    }

    fn why_failed(&self, error: Option<TargetError>) -> Refusal {
        if self.state.suspects.lock().verdict(self.call.fingerprint) == CrashVerdict::Refuse {
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

    /// Notes the end of a whole answer.
    pub(crate) fn succeeded(&self) {
        self.state.metrics.good_answer(&self.labels);
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
            body: self.call.body.clone(),
            connection: if self.failed.is_empty() { Connection::Pooled } else { Connection::Fresh },
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
        PlaceRequest {
            name: self.call.name.clone(),
            customer: self.access.customer.name.clone(),
            class: self.access.customer.class,
            deadline: self.deadline,
            cost_tokens: self.call.tokens_max(),
            prefix_hashes: self.call.prefix_hashes.clone(),
        }
    }

    pub(super) async fn whole_answer(
        mut self,
        answering: Answering,
    ) -> Result<CallerResponse, Refusal> {
        let mut answering = answering;
        loop {
            let cold = answering.placed.waited_ms.is_some();
            let headers = answer_headers(&answering.response);
            let life = answering.placed.life.clone();
            if answering.response.status != 200 {
                return Ok(engine_answer(answering).await);
            }
            match answering.response.body.whole(ANSWER_BYTES_MAX).await {
                Ok(body) => {
                    self.access.recheck(&self.state).map_err(|r| r.after(Ran::Ran))?;
                    self.charge(&body);
                    self.observe_first_token(cold);
                    self.succeeded();
                    return Ok(CallerResponse {
                        status: 200,
                        headers,
                        body: CallerBody::Whole(body),
                    });
                }
                Err(error) => {
                    self.target_failed(&life, &error).await;
                    if !self.may_retry() {
                        return Err(self.failure(Some(error)));
                    }
                    answering = self.dispatch(0).await?;
                }
            }
        }
    }

    /// Spends the tokens that a whole answer says it took, or all that are reserved.
    fn charge(&self, body: &[u8]) {
        let usage = CompletionEvent::parse(body).ok().and_then(|event| event.usage);
        let used_tokens = usage.map_or(self.call.tokens_max(), |usage| {
            (usage.prompt_tokens + usage.completion_tokens).min(self.call.tokens_max())
        });
        // The reservation holds as much as the call can take.
        let _ = self.reserved.consume(used_tokens);
        self.state.metrics.tokens(&self.labels, used_tokens);
    }

    /// Notes the time to the first token.
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

/// Passes on what an engine says of a request that it won't run.
pub(super) async fn engine_answer(answering: Answering) -> CallerResponse {
    let status = answering.response.status;
    let headers = answer_headers(&answering.response);
    let body = answering
        .response
        .body
        .whole(ANSWER_BYTES_MAX)
        .await
        .unwrap_or_else(|error| Value::String(error.to_string()).to_string().into_bytes());
    CallerResponse { status, headers, body: CallerBody::Whole(body) }
}
