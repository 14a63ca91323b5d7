use std::sync::Arc;

use lycheeford_policy::{
    Claim, CrashCause, CrashVerdict, Deployment, LateRequest, Name, Ran, RatedCustomer, Refusal,
    RefusalCode, ServiceRoute, ShortKey, TargetRequirements, TimeMs,
};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

use super::charge::Charge;
use super::rates::RateRequest;
use crate::GatewayRequest;
use crate::state::State;

/// The `Retry-After` time while this host has no current declaration.
const STARTING_RETRY_MS: u64 = 500;
/// The `Retry-After` time that a stopping host returns; the caller should use another host.
const STOPPING_RETRY_MS: u64 = 50;
/// The prefill speed of an engine in prompt tokens per millisecond, from which the time that a
/// cached prompt saves is computed.
const PROMPT_TOKENS_PER_MS: u64 = 38;
/// The shared prompt tokens below which prompt-cache affinity is not used to choose a target.
const SHARED_TOKENS_MIN: u64 = 512;

/// An admitted request with everything that its scheduling depends on.
pub(super) struct Admitted {
    pub(super) request: GatewayRequest,
    pub(super) route: ServiceRoute,
    pub(super) customer: Option<Name>,
    pub(super) priority: u8,
    /// How much later the request is due than those of the strictest route of its service and
    /// priority.
    pub(super) objective_offset_ms: u64,
    pub(super) need: TargetRequirements,
    pub(super) charge: Option<Charge>,
    /// What targets could crash from, if they crash while they run the request.
    pub(super) crash_causes: Vec<CrashCause>,
    pub(super) arrived_at: TimeMs,
    /// When the caller stops waiting.
    pub(super) deadline_at: TimeMs,
    /// When the request must have its final response: the earlier of the caller's deadline and the
    /// route's time-out.
    pub(super) final_at: TimeMs,
    /// The revision of the declaration under which the request was admitted.
    pub(super) revision: u64,
}

/// Decides whether a request is admitted, and computes what it needs from a target. A request that
/// its customer's rate can't pay for yet waits, if the rate does so in time.
///
/// # Errors
///
/// Refuses a request that has no route or no valid key, exceeds its customer's rate limit, or has
/// crashed targets before.
pub(super) async fn admit(
    state: &Arc<State>,
    request: GatewayRequest,
    arrived_at: TimeMs,
) -> Result<Admitted, Refusal> {
    let Some(deployment) = state.deployment.load_full() else {
        return Err(not_ready("this host has no declaration yet; retry soon"));
    };
    let host = host_without_port(&request.host);
    let Some(route) = deployment.route(&host, &request.path).cloned() else {
        return Err(no_route(state, &request, arrived_at));
    };
    let customer = customer(state, &deployment, &route, &request, arrived_at)?;
    let crash_causes = crash_causes(&request, customer.map(|customer| &customer.name));
    refuse_suspect(state, &crash_causes, arrived_at)?;
    // A stream that is resumed belongs to the service that began it.
    let first_id = request.resumes.as_ref().unwrap_or(&request.id);
    let Some(service) = route.service(xxh3_64(first_id.as_bytes())).cloned() else {
        return Err(no_route(state, &request, arrived_at));
    };
    let tokens = request.tokens.map(|(prompt, output)| prompt + output);
    let engine = deployment.service(&service).and_then(|service| service.engine.as_ref());
    let customer_priority = customer.and_then(|customer| customer.priority);
    let priority = customer_priority.unwrap_or(route.priority);
    let objective_offset_ms = deployment.objective_offset_ms(&route, &service);
    let need = TargetRequirements {
        service,
        model: request.model.as_ref().filter(|_| engine.is_some()).map(|name| name.model.clone()),
        adapter: request
            .model
            .as_ref()
            .filter(|_| engine.is_some())
            .and_then(|name| name.adapter.clone()),
        version: None,
        // A request without token counts occupies a slot, but its cache memory can't be estimated.
        tokens: tokens.unwrap_or_default(),
        cache_tokens_max: engine.map(|engine| engine.cache_tokens),
        failure_domain: state.settings.failure_domain.clone(),
        affinity: affinity(&request),
        objective_ms: route.objective_ms,
        excluded: Vec::new(),
        priority,
    };
    let deadline_ms = request.deadline_ms.unwrap_or(route.timeout_ms);
    let rate = customer.and_then(|customer| Some((customer, customer.rate.as_ref()?)));
    let rate_request = rate.map(|(customer, rate)| {
        // The other half of the objective, or of the time if that is shorter, is left to run.
        let latest_at = arrived_at + route.objective_ms.min(deadline_ms).min(route.timeout_ms) / 2;
        RateRequest {
            id: request.id.clone(),
            customer: customer.name.clone(),
            rate: rate.clone(),
            claim: Claim {
                id: state.next_number(),
                arrived_at,
                order_at: latest_at,
                due_at: latest_at,
                latest_at,
                priority,
                work: rate.unit.cost(tokens),
            },
            may_wait: !request.is_forwarded && !state.is_draining(),
        }
    });
    let mut admitted = Admitted {
        priority,
        customer: customer.map(|customer| customer.name.clone()),
        objective_offset_ms,
        need,
        charge: None,
        crash_causes,
        arrived_at,
        deadline_at: arrived_at + deadline_ms,
        final_at: arrived_at + deadline_ms.min(route.timeout_ms),
        revision: deployment.revision,
        request,
        route,
    };
    if let Some(rate_request) = rate_request {
        let charge = Charge::take(state, &rate_request).await?;
        let has_waited = charge.has_waited;
        admitted.charge = Some(charge);
        if has_waited {
            // The key may have been withdrawn in the meantime.
            admitted.recheck(state)?;
        }
    }
    count_demand(state, state.now(), &admitted.need);
    Ok(admitted)
}

impl Admitted {
    /// Refuses a request that this host, if it stops, may not send to a target at `sent_at`; `ran`
    /// says whether an earlier attempt ran.
    pub(super) fn check_stop(
        &self,
        state: &State,
        sent_at: TimeMs,
        ran: Ran,
    ) -> Result<(), Refusal> {
        let Some(plan) = state.stop_plan() else { return Ok(()) };
        let (service, route) = (&self.need.service, &self.route.name);
        let run_ms = if self.route.kind.is_stream() {
            state.run_times().stream_reserve_ms(service, route)
        } else {
            state.run_times().reserve_ms(service, route)
        };
        let (arrived_at, final_at) = (self.arrived_at, self.final_at);
        let request = LateRequest { arrived_at, sent_at, final_at, run_ms, ran };
        plan.check(&request).map_err(|shortfall| host_stopping().with_shortfall(shortfall))
    }

    /// Refuses a request that was found to crash targets while it waited, or whose key was
    /// withdrawn by a newer declaration, or if that declaration isn't confirmed as current.
    pub(super) fn recheck(&self, state: &State) -> Result<(), Refusal> {
        refuse_suspect(state, &self.crash_causes, state.now())?;
        let Some(deployment) = state.deployment.load_full() else { return Ok(()) };
        if deployment.revision == self.revision || self.route.is_open {
            return Ok(());
        }
        customer(state, &deployment, &self.route, &self.request, state.now()).map(|_| ())
    }
}

/// Returns the refusal of a request that another host can still serve.
pub(super) fn host_stopping() -> Refusal {
    let message = "this host is stopping; send the request to another address";
    Refusal::not_run(RefusalCode::HostStopping, message, Some(STOPPING_RETRY_MS))
}

fn customer<'a>(
    state: &State,
    deployment: &'a Deployment,
    route: &ServiceRoute,
    request: &GatewayRequest,
    now: TimeMs,
) -> Result<Option<&'a RatedCustomer>, Refusal> {
    if route.is_open || (deployment.customers.is_empty() && deployment.keys.is_empty()) {
        return Ok(None);
    }
    if !state.is_confirmed(now) {
        return Err(Refusal::not_run(
            RefusalCode::ConfigurationStale,
            "this host can't confirm that keys are current; try another host",
            Some(STARTING_RETRY_MS),
        ));
    }
    let holder = request.key.as_ref().and_then(|key| deployment.key_holder(key.as_str()));
    holder.map(Some).ok_or_else(|| {
        let message = "the key is missing, unknown or withdrawn; ask for a new one";
        Refusal::not_run(RefusalCode::BadKey, message, None)
    })
}

fn refuse_suspect(state: &State, causes: &[CrashCause], now: TimeMs) -> Result<(), Refusal> {
    if state.suspects().verdict(now, causes) != CrashVerdict::Refuse {
        return Ok(());
    }
    let message = "targets crashed while they ran this request, or others with a part of its \
                   prompt; change the request";
    Err(Refusal::not_run(RefusalCode::CrashSuspect, message, None))
}

/// Returns the request as a whole, which its caller may repeat, and the parts of its prompt that
/// other requests may share.
fn crash_causes(request: &GatewayRequest, customer: Option<&Name>) -> Vec<CrashCause> {
    let parts = request.shared_prompt().iter().map(|part| CrashCause::PromptPart(part.id));
    let whole = CrashCause::Request(fingerprint(request, customer));
    std::iter::once(whole).chain(parts).collect()
}

fn host_without_port(host: &str) -> String {
    let host = host.split_once(':').map_or(host, |(host, _)| host);
    host.to_ascii_lowercase()
}

fn fingerprint(request: &GatewayRequest, customer: Option<&Name>) -> u64 {
    let customer = customer.map_or(0, |customer| xxh3_64(customer.as_bytes()));
    let path = xxh3_64_with_seed(request.path_and_query.as_bytes(), customer);
    let mut hash = Xxh3::with_seed(path);
    request.body.iter().for_each(|piece| hash.update(piece));
    hash.digest()
}

/// Returns a hash of the shared prompt parts and the milliseconds that a cached prefix saves.
fn affinity(request: &GatewayRequest) -> Option<(u64, u64)> {
    let shared = request.shared_prompt();
    let tokens: u64 = shared.iter().map(|part| part.tokens).sum();
    if tokens < SHARED_TOKENS_MIN {
        return None;
    }
    let hash = shared.iter().fold(0, |hash, part| xxh3_64_with_seed(&part.id.to_le_bytes(), hash));
    Some((hash, tokens / PROMPT_TOKENS_PER_MS))
}

fn count_demand(state: &State, now: TimeMs, need: &TargetRequirements) {
    let Some(model) = &need.model else { return };
    let model_key = ShortKey::of(model);
    let adapter_key = need.adapter.as_ref().map(|adapter| ShortKey::of_adapter(model, adapter));
    {
        let mut demand = state.demand();
        demand.asked(now, model_key, 1);
    }
    let mut rates = state.rates();
    rates.count_request(now, model_key);
    if let Some(adapter_key) = adapter_key {
        rates.count_request(now, adapter_key);
    }
    drop(rates);
    if let Some(adapter_key) = adapter_key {
        state.orders().adapters.used(now, adapter_key);
    }
}

fn not_ready(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::PlatformUnavailable, message, Some(STARTING_RETRY_MS))
}

/// Returns the refusal of a request for which the declaration has no route.
///
/// If the declaration isn't confirmed as current, the route may have been added since, so the
/// request is sent to another host instead.
fn no_route(state: &State, request: &GatewayRequest, now: TimeMs) -> Refusal {
    if state.is_confirmed(now) {
        return not_found(request);
    }
    let message = "this host can't confirm that its routes are current; try another host";
    Refusal::not_run(RefusalCode::ConfigurationStale, message, Some(STARTING_RETRY_MS))
}

fn not_found(request: &GatewayRequest) -> Refusal {
    let message = format!("no route for {} at {}; correct the URL", request.path, request.host);
    Refusal::not_run(RefusalCode::NotFound, message, None)
}
