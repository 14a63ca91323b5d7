use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use lycheeford_caller::{CallerBody, CallerRequest, CallerResponse};
use lycheeford_policy::{
    ClaimOutcome, LateRequest, LedgerAnswer, Name, Ran, Refusal, RefusalCode, Repeat, Route, TimeMs,
};
use lycheeford_target::{Connection, TargetError, TargetRequest};

use crate::dispatch_gate::{DispatchGate, stopped_while_running};
use crate::operation::metrics::{CustomerLabels, Event};
use crate::request::access::{Access, check_configuration_fresh};
use crate::request::call::fingerprint;
use crate::service::ledger::{Claimed, LedgerEntry, claim};
use crate::state::State;

/// The largest response body that a service may return.
const ANSWER_BYTES_MAX: usize = 16 << 20;
/// The maximum number of attempts of an idempotent call, each at another target.
const ATTEMPTS_MAX: usize = 3;
/// When a caller should retry after a transient failure.
const RETRY_AFTER_MS: u64 = 1_000;
/// The customer name under which the ledger stores calls to open routes, which need no API key.
const OPEN_CUSTOMER: &str = "*";
/// The response header that marks an answer replayed from the ledger.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// A call to a plain service in progress.
struct ServiceCall {
    state: Arc<State>,
    request: CallerRequest,
    dispatch_gate: Arc<DispatchGate>,
    access: Option<Access>,
    route: Route,
    arrived: TimeMs,
    deadline: TimeMs,
    tried: Vec<Name>,
}

/// A call's slot at a target, released when it is dropped.
struct ServiceSlot {
    state: Arc<State>,
    target: Name,
    address: SocketAddr,
}

impl Drop for ServiceSlot {
    fn drop(&mut self) {
        self.state.service_targets.lock().finished(&self.target);
    }
}

/// Runs a call to the plain service that its path routes to.
///
/// # Errors
///
/// Refuses a call that isn't allowed, and a call that no target answered.
pub(crate) async fn call_service(
    state: Arc<State>,
    request: CallerRequest,
    dispatch_gate: Arc<DispatchGate>,
) -> Result<CallerResponse, Refusal> {
    let configuration = state.configuration.load_full();
    let Some(route) = configuration.route(&request.path) else {
        // A host that has just started has no routes yet.
        check_configuration_fresh(&state)?;
        let message = format!("no route for {}; see the declared routes", request.path);
        return Err(Refusal::not_run(RefusalCode::NotFound, message, None));
    };
    let access = check_access(&state, &request, route)?;
    let customer = access.as_ref().map(|access| access.customer.name.clone());
    if let Some(customer) = &customer {
        state.metrics.request(&CustomerLabels::of(&state.configuration.load(), customer));
    }
    let timeout_ms = configuration
        .services
        .iter()
        .find(|service| service.name == route.service)
        .map_or(state.settings.caller_limits.deadline_ms_default, |service| service.timeout_ms);
    let deadline_ms = request.deadline_ms.map_or(timeout_ms, |asked_ms| asked_ms.min(timeout_ms));
    let arrived = state.now();
    let call = ServiceCall {
        arrived,
        deadline: arrived + deadline_ms,
        state: state.clone(),
        request,
        dispatch_gate,
        access,
        route: route.clone(),
        tried: Vec::new(),
    };
    let served = match route.repeat {
        Repeat::Idempotent => call.run_idempotent().await,
        // Continues after the caller hangs up, so that the answer is stored in the ledger.
        Repeat::AtMostOnce => {
            let running = state.running.request_started();
            task::spawn(async move {
                let answer = call.run_at_most_once().await;
                drop(running);
                answer
            })
            .await
        }
    };
    match &served {
        Ok(_) => {
            if let Some(customer) = &customer {
                state
                    .metrics
                    .good_answer(&CustomerLabels::of(&state.configuration.load(), customer));
            }
        }
        Err(refusal) => state.metrics.refusal(customer.as_ref(), refusal.code),
    }
    served
}

impl ServiceCall {
    async fn run_idempotent(mut self) -> Result<CallerResponse, Refusal> {
        let mut ran = Ran::NotRun;
        let mut last_error = None;
        for attempt in 0..ATTEMPTS_MAX {
            if attempt > 0 && !self.can_retry() {
                break;
            }
            let Some(place) = self.place() else { break };
            self.recheck(ran).map_err(|refusal| refusal.after(ran))?;
            self.dispatch_gate.begin().map_err(|refusal| refusal.after(ran))?;
            match self.send(&place).await {
                Ok(response) => return Ok(response),
                Err(error) => {
                    self.record_failure(&place, &error);
                    if error.may_have_run() {
                        ran = Ran::Unknown;
                    }
                    last_error = Some(error);
                }
            }
        }
        Err(self.failure(last_error).after(ran))
    }

    /// Runs a call that must not run twice: claims it in the ledger, then sends it. It is sent to
    /// another target only if the target before can't have received any of it.
    async fn run_at_most_once(mut self) -> Result<CallerResponse, Refusal> {
        let key = self.request.idempotency_key.clone().ok_or_else(|| {
            let message = "this route runs a call at most once; send an Idempotency-Key";
            Refusal::not_run(RefusalCode::BadRequest, message, None)
        })?;
        let entry = match self.claim(&key).await? {
            Claimed::Run(entry) => entry,
            Claimed::Known(outcome) => return known_answer(outcome),
        };
        loop {
            if let Err(refusal) = self.recheck(Ran::NotRun) {
                entry.release().await;
                return Err(refusal);
            }
            let Some(place) = self.place() else {
                entry.release().await;
                return Err(self.failure(None));
            };
            if let Err(refusal) = self.dispatch_gate.begin() {
                entry.release().await;
                return Err(refusal);
            }
            let sent = self.send(&place);
            let Some(sent) = self.state.run_until_stop(sent).await else {
                settle_in_background(&self.state, entry.record_unknown_outcome());
                return Err(stopped_while_running());
            };
            match sent {
                Ok(response) => {
                    store_answer(&self.state, entry, &response);
                    return Ok(response);
                }
                Err(error) if error.may_have_run() => {
                    settle_in_background(&self.state, entry.record_unknown_outcome());
                    let message = format!("{error}; the call may have run");
                    return Err(Refusal::unknown(RefusalCode::OutcomeUnknown, message));
                }
                // No byte of the request left this host, so another target may run it.
                Err(error) => self.record_failure(&place, &error),
            }
        }
    }

    async fn claim(&self, key: &Name) -> Result<Claimed, Refusal> {
        let customer = match &self.access {
            Some(access) => access.customer.name.clone(),
            None => Name::from(OPEN_CUSTOMER),
        };
        let what = format!("{} {}", self.request.method, self.target_path());
        let fingerprint = fingerprint(&customer, &what, &self.request.body);
        claim(&self.state, &customer, key, fingerprint).await.map_err(|error| {
            let message = format!("{error}; the call was not run, send it again later");
            Refusal::not_run(RefusalCode::PlatformUnavailable, message, Some(RETRY_AFTER_MS))
        })
    }

    fn place(&mut self) -> Option<ServiceSlot> {
        let fleet = self.state.fleet.load();
        let hosts = fleet.service_targets(&self.route.service);
        let now = self.state.now();
        let host = self.state.service_targets.lock().choose(now, hosts, &self.tried)?;
        self.tried.push(host.name.clone());
        Some(ServiceSlot {
            state: self.state.clone(),
            target: host.name.clone(),
            address: host.address,
        })
    }

    async fn send(&self, place: &ServiceSlot) -> Result<CallerResponse, TargetError> {
        self.state.retry_budget.lock().deposit();
        let sent = self.state.now();
        let mut headers = self.request.headers.clone();
        headers.push(("x-request-id".to_owned(), self.request.id.as_str().to_owned()));
        if let Some(key) = &self.request.idempotency_key {
            headers.push(("idempotency-key".to_owned(), key.as_str().to_owned()));
        }
        let request = TargetRequest {
            method: self.request.method,
            path_and_query: self.target_path(),
            headers,
            body: self.request.body.clone().into(),
            // Nothing in the answer tells it from an earlier one.
            connection: Connection::Fresh,
            host: None,
            echo: None,
            first_byte_ms_max: Some(self.deadline.since_ms(self.state.now()).max(1)),
        };
        let response = self.state.targets.call(place.address, &request).await?;
        let (status, headers) = (response.status, response.headers);
        let body = CallerBody::Whole(response.body.collect(ANSWER_BYTES_MAX).await?);
        let (service, run_ms) = (&self.route.service, self.state.now().since_ms(sent));
        self.state.run_times.lock().ended(service, service, run_ms);
        Ok(CallerResponse { status, headers, body })
    }

    fn target_path(&self) -> String {
        match &self.request.query {
            Some(query) => format!("{}?{query}", self.request.path),
            None => self.request.path.clone(),
        }
    }

    /// Checks whether the call may still be sent; `ran` says whether an earlier attempt ran.
    fn recheck(&self, ran: Ran) -> Result<(), Refusal> {
        let now = self.state.now();
        if now > self.deadline {
            let message = "the deadline passed before the call could be sent; allow more time";
            return Err(Refusal::not_run(RefusalCode::DeadlinePassed, message, None));
        }
        let service = &self.route.service;
        let run_ms = self.state.run_times.lock().reserve_ms(service, service);
        let (arrived_at, final_at) = (self.arrived, self.deadline);
        let request = LateRequest { arrived_at, sent_at: now, final_at, run_ms, ran };
        self.state.running.check_stop(&request)?;
        self.access.as_ref().map_or(Ok(()), |access| access.recheck(&self.state))
    }

    fn can_retry(&self) -> bool {
        let now = self.state.now();
        let allowed = now < self.deadline && self.state.retry_budget.lock().withdraw(now);
        if allowed {
            self.state.metrics.event(Event::Retry);
        }
        allowed
    }

    fn record_failure(&self, place: &ServiceSlot, error: &TargetError) {
        if !error.may_have_run() {
            self.dispatch_gate.undo_attempt();
            self.state.service_targets.lock().avoid(self.state.now(), &place.target);
        }
    }

    fn failure(&self, error: Option<TargetError>) -> Refusal {
        match error {
            Some(error) if error.may_have_run() => {
                Refusal::unknown(RefusalCode::TargetFailed, error.to_string())
            }
            _ => {
                let message = format!("no target of {} answers; retry later", self.route.service);
                Refusal::not_run(RefusalCode::NoTarget, message, Some(RETRY_AFTER_MS))
            }
        }
    }
}

fn check_access(
    state: &State,
    request: &CallerRequest,
    route: &Route,
) -> Result<Option<Access>, Refusal> {
    match route.access {
        lycheeford_policy::Access::Open => Ok(None),
        lycheeford_policy::Access::Keyed => {
            let access = Access::check(state, request)?;
            access.check_allowed(&route.customers, &route.path_prefix)?;
            Ok(Some(access))
        }
    }
}

/// Stores an answer in the ledger in the background, so that the caller doesn't wait for the
/// platform.
fn store_answer(state: &Arc<State>, entry: LedgerEntry, response: &CallerResponse) {
    let body = match &response.body {
        CallerBody::Whole(body) => body.clone(),
        CallerBody::Held(_)
        | CallerBody::Stream(_)
        | CallerBody::UntilClose(_)
        | CallerBody::HeldUntilClose(_) => Vec::new(),
    };
    let status = response.status;
    settle_in_background(state, async move { entry.record_answer(status, &body).await });
}

/// Updates a ledger entry in the background, so that the caller doesn't wait for the platform.
fn settle_in_background(state: &Arc<State>, settling: impl Future<Output = ()> + Send + 'static) {
    let running = state.running.request_started();
    task::spawn(async move {
        settling.await;
        drop(running);
    });
}

/// Returns the response to a call that this attempt must not dispatch, from the ledger's outcome.
fn known_answer(outcome: ClaimOutcome) -> Result<CallerResponse, Refusal> {
    match outcome {
        ClaimOutcome::Answered(LedgerAnswer { status, body: Some(body) }) => Ok(CallerResponse {
            status,
            headers: vec![
                ("content-type".to_owned(), "application/json".to_owned()),
                (REPLAYED_HEADER.to_owned(), "true".to_owned()),
            ],
            body: CallerBody::Whole(body),
        }),
        ClaimOutcome::Answered(LedgerAnswer { body: None, .. }) => {
            let message = "the call ran and its answer was too long to keep; ask the service";
            let refusal = Refusal::not_run(RefusalCode::OutcomeUnknown, message, None);
            Err(refusal.after(Ran::Ran))
        }
        ClaimOutcome::KeyReused => Err(Refusal::not_run(
            RefusalCode::KeyReused,
            "this idempotency key was already used for a different request; use a new key",
            None,
        )),
        ClaimOutcome::Full => Err(Refusal::not_run(
            RefusalCode::Overloaded,
            "the ledger is full; send the call again later",
            Some(RETRY_AFTER_MS),
        )),
        ClaimOutcome::Run | ClaimOutcome::Unknown | ClaimOutcome::Released => {
            Err(Refusal::unknown(
                RefusalCode::OutcomeUnknown,
                "a call with this idempotency key was sent with unknown outcome; ask the service",
            ))
        }
    }
}
