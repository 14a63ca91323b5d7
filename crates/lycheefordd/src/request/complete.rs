use std::sync::Arc;

use async_std::task;
use lycheeford_caller::{CallerBody, CallerRequest, CallerResponse, chunk_channel};
use lycheeford_policy::{Ran, Refusal, TimeMs};

use super::access::Access;
use super::call::Call;
use super::completion::{Completion, answer_headers, engine_answer};
use super::relay::Relay;
use super::run_alone::run_alone;
use crate::handover::Handover;
use crate::operation::metrics::CustomerLabels;
use crate::rates::reservation::Reserved;
use crate::state::State;

/// Serves a completion.
///
/// # Errors
///
/// Refuses a request that may not run, can't run in time, or failed everywhere.
pub(crate) async fn complete(
    state: Arc<State>,
    request: CallerRequest,
    handover: Arc<Handover>,
) -> Result<CallerResponse, Refusal> {
    let arrived = state.now();
    let access = Access::check(&state, &request)?;
    let labels = CustomerLabels::of(&state.configuration.load(), &access.customer.name);
    state.metrics.request(&labels);
    let served = serve(&state, request, handover, access.clone(), labels, arrived).await;
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
    handover: Arc<Handover>,
    access: Access,
    labels: CustomerLabels,
    arrived: TimeMs,
) -> Result<CallerResponse, Refusal> {
    let call = Call::check(&state.configuration.load(), &access, &request)?;
    let alone = run_alone(state, call.fingerprint)?;
    let deadline_ms =
        request.deadline_ms.unwrap_or(state.settings.caller_limits.deadline_ms_default);
    let reserved = Reserved::new(state, &access.customer.name, call.tokens_max()).await?;
    let mut completion = Completion {
        state: state.clone(),
        id: request.id,
        handover,
        access,
        labels,
        call,
        reserved,
        arrived,
        deadline: arrived + deadline_ms,
        failed: Vec::new(),
        failed_alive: 0,
        ran: Ran::NotRun,
        alone,
    };
    let answering = completion.dispatch(0).await?;
    if answering.response.status != 200 {
        return Ok(engine_answer(answering).await);
    }
    if completion.call.streams {
        let (sender, receiver) = chunk_channel();
        let headers = answer_headers(&answering.response);
        task::spawn(Relay::new(completion, sender).run(answering));
        return Ok(CallerResponse { status: 200, headers, body: CallerBody::Stream(receiver) });
    }
    completion.whole_answer(answering).await
}
