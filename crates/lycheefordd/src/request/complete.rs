use std::sync::Arc;

use async_std::task;
use lycheeford_caller::{CallerBody, CallerRequest, CallerResponse, chunk_channel};
use lycheeford_policy::{Ran, Refusal, TimeMs};

use super::access::Access;
use super::call::Call;
use super::completion::{Completion, answer_headers, engine_answer};
use super::relay::Relay;
use super::run_alone::run_alone;
use crate::dispatch_gate::DispatchGate;
use crate::operation::metrics::CustomerLabels;
use crate::rates::reservation::Reserved;
use crate::state::State;

/// Serves a completion request, streamed or whole.
///
/// # Errors
///
/// Refuses a request that isn't allowed, can't run before its deadline, or failed at every target
/// that was tried.
pub(crate) async fn complete(
    state: Arc<State>,
    request: CallerRequest,
    dispatch_gate: Arc<DispatchGate>,
) -> Result<CallerResponse, Refusal> {
    let arrived = state.now();
    let access = Access::check(&state, &request)?;
    let labels = CustomerLabels::of(&state.configuration.load(), &access.customer.name);
    state.metrics.request(&labels);
    let served = serve(&state, request, dispatch_gate, access.clone(), labels, arrived).await;
    if let Err(refusal) = &served {
        state.metrics.refusal(Some(&access.customer.name), refusal.code);
        let what = format!("request refused: {:?}: {}", refusal.code, refusal.message);
        state.decisions.lock().record(state.now(), &[&access.customer.name], what);
    }
    served
}

async fn serve(
    state: &Arc<State>,
    request: CallerRequest,
    dispatch_gate: Arc<DispatchGate>,
    access: Access,
    labels: CustomerLabels,
    arrived: TimeMs,
) -> Result<CallerResponse, Refusal> {
    let call = Call::check(&state.configuration.load(), &access, &request)?;
    let run_alone_guard = run_alone(state, call.fingerprint)?;
    let deadline_ms =
        request.deadline_ms.unwrap_or(state.settings.caller_limits.deadline_ms_default);
    let reserved = Reserved::new(state, &access.customer.name, call.tokens_max()).await?;
    let mut completion = Completion {
        state: state.clone(),
        id: request.id,
        dispatch_gate,
        access,
        labels,
        call,
        reserved,
        arrived,
        deadline: arrived + deadline_ms,
        first_sent: None,
        failed: Vec::new(),
        failed_since: None,
        alive_failures: 0,
        ran: Ran::NotRun,
        run_alone_guard,
    };
    let attempt = completion.dispatch(0).await?;
    if attempt.response.status != 200 {
        return Ok(engine_answer(attempt).await);
    }
    if completion.call.streams {
        let (sender, receiver) = chunk_channel();
        let headers = answer_headers(&attempt.response);
        task::spawn(Relay::new(completion, sender).run(attempt));
        return Ok(CallerResponse { status: 200, headers, body: CallerBody::Stream(receiver) });
    }
    completion.whole_answer(attempt).await
}
