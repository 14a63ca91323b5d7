use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use lycheeford_policy::{
    Chosen, Claim, HoldTimes, Name, PRIORITY_STEP_MS, Ran, Refusal, RefusalCode, Selection,
    SlotGrant, TargetRequirements, TimeMs, Waiting,
};
use rand::random_range;
use slog::info;

use super::admission::Admitted;
use super::permit::acquire_permit;
use crate::fleet::{Granted, TurnedAway};
use crate::state::State;

/// The allowed delay of a model beyond its expected ready time.
const LOAD_SLACK_MS: u64 = 500;
/// The interval at which a queued request checks the load progress and the state of its targets.
const CHECK_INTERVAL_MS: u64 = 50;
/// The least time that a target needs for a response. A request with no more time left is refused
/// instead of queued.
const ANSWER_MS_MIN: u64 = 60;
/// The largest part of its time that a request's answer is expected to need. Without this bound, a
/// route whose answers have become slow would refuse every request that has to wait.
const ANSWER_SHARE_MAX: f64 = 0.5;
/// The largest part of its remaining time that a request may spend in the queue without a forecast.
/// Only the wait for a model load that is running or scheduled may be longer.
const QUEUE_WAIT_SHARE: f64 = 0.6;
/// The longest wait for a model whose load is neither running nor scheduled, as a multiple of the
/// route's latency objective.
const LOAD_WAIT_FACTOR: u64 = 2;
/// Divides the route's latency objective, or the remaining time if that is shorter, to get the
/// longest wait for a permit of a rate-limited target.
const PERMIT_WAIT_DIVISOR: u64 = 2;
/// The bounds of the `Retry-After` time of a refusal before jitter, which at most halves it. They
/// don't apply if the targets asked for a pause or are at their rate limit.
const RETRY_MS_MIN: u64 = 200;
const RETRY_MS_MAX: u64 = 1_200;
/// Divides a pause to get the interval over which retries after the pause are spread.
const PAUSE_SPREAD_DIVISOR: u64 = 4;
const PAUSE_SPREAD_MS_MIN: u64 = 50;

/// A slot at a target. Dropping it frees the slot.
pub(super) struct Slot {
    state: Arc<State>,
    pub(super) chosen: Chosen,
    assigned_at: TimeMs,
    used_by: Arc<SlotUse>,
}

/// What a request takes of a target.
#[derive(Debug)]
struct SlotUse {
    service: Name,
    route: Name,
    model: Option<Name>,
    tokens: u64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.state.now();
        let SlotUse { service, route, model, tokens } = &*self.used_by;
        let mut dispatcher = self.state.dispatcher();
        let hold_ms = now.since_ms(self.assigned_at);
        // A slot that wasn't used says nothing about the next request.
        if hold_ms > 0 {
            dispatcher.hold_times.ended(service, route, hold_ms, *tokens);
        }
        dispatcher.targets.ended(&self.chosen, model.as_ref(), *tokens);
        dispatcher.dispatch(now);
    }
}

/// A request in the queue. Dropping it removes the request.
struct QueuedRequest {
    state: Arc<State>,
    id: u64,
    receiver: Receiver<Granted>,
    used_by: Arc<SlotUse>,
}

impl QueuedRequest {
    /// Returns the slot at the target that the dispatcher assigned.
    fn slot(&self, chosen: Chosen) -> Slot {
        Slot {
            state: Arc::clone(&self.state),
            chosen,
            assigned_at: self.state.now(),
            used_by: Arc::clone(&self.used_by),
        }
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.state.dispatcher().withdraw(self.id);
        // A target assigned in the meantime must be released.
        if let Ok(Granted::Target(chosen)) = self.receiver.try_recv() {
            drop(self.slot(chosen));
        }
    }
}

/// Waits for a slot at a target that isn't excluded, and for a permit if the target is
/// rate-limited.
///
/// # Errors
///
/// Refuses a request that can't get a slot in time, or that may not be sent since this host stops,
/// at once if that is already known. `ran` says whether an earlier attempt ran.
pub(super) async fn acquire_slot(
    state: &Arc<State>,
    admitted: &Admitted,
    ran: Ran,
    excluded: &[Name],
) -> Result<Slot, Refusal> {
    loop {
        let slot = wait_for_slot(state, admitted, ran, excluded).await?;
        let Some(rank) = slot.chosen.permit else { return Ok(slot) };
        let wait_ms_max = permit_wait_ms_max(admitted, state.now());
        let id = &admitted.request.id;
        if acquire_permit(state, id, &slot.chosen, rank, wait_ms_max).await {
            admitted.check_stop(state, state.now(), ran)?;
            return Ok(slot);
        }
        // The denial is recorded for this target, so the next round doesn't choose it for a permit
        // of this rank or a worse one.
    }
}

/// Waits for a slot, and records how long the request was held if it is refused.
async fn wait_for_slot(
    state: &Arc<State>,
    admitted: &Admitted,
    ran: Ran,
    excluded: &[Name],
) -> Result<Slot, Refusal> {
    let began_at = state.now();
    let slot = wait_in_queue(state, admitted, ran, excluded).await;
    if slot.is_err() {
        state.metrics.held_before_refusal(state.now().since_ms(began_at));
    }
    slot
}

async fn wait_in_queue(
    state: &Arc<State>,
    admitted: &Admitted,
    ran: Ran,
    excluded: &[Name],
) -> Result<Slot, Refusal> {
    let now = state.now();
    admitted.check_stop(state, now, ran)?;
    let mut need = admitted.need.clone();
    need.excluded.extend_from_slice(excluded);
    let id = state.next_number();
    let (queued, waiting, selection) = {
        let mut dispatcher = state.dispatcher();
        let waiting = waiting(&dispatcher.hold_times, admitted, id, need);
        let receiver = dispatcher.submit(now, waiting.clone());
        let selection =
            if receiver.is_empty() { Some(dispatcher.try_choose(now, &waiting)) } else { None };
        let queued = QueuedRequest {
            state: Arc::clone(state),
            id,
            receiver,
            used_by: Arc::new(SlotUse {
                service: waiting.need.service.clone(),
                route: admitted.route.name.clone(),
                model: waiting.need.model.clone(),
                tokens: waiting.need.tokens,
            }),
        };
        (queued, waiting, selection)
    };
    let Some(selection) = selection else {
        return match queued.receiver.try_recv() {
            Ok(Granted::Target(chosen)) => Ok(queued.slot(chosen)),
            Ok(Granted::TurnedAway(_)) | Err(_) => Err(overloaded(RETRY_MS_MIN)),
        };
    };
    let wait_ms_max = wait_ms_max(state, admitted, ran, now, &waiting, &selection)?;
    if waiting.need.model.is_some() {
        state.wake_demand_task();
        state.wake_planner();
    }
    let mut give_up_at = now + wait_ms_max;
    let mut is_wait_extended = false;
    loop {
        let now = state.now();
        admitted.check_stop(state, now, ran)?;
        let interval_ms = give_up_at.since_ms(now).min(CHECK_INTERVAL_MS);
        match timeout(Duration::from_millis(interval_ms), queued.receiver.recv()).await {
            Ok(Ok(Granted::Target(chosen))) => return Ok(queued.slot(chosen)),
            Ok(Ok(Granted::TurnedAway(why))) => {
                return Err(turned_away(state, &waiting, &why));
            }
            Ok(Err(_)) => return Err(overloaded(wait_ms_max)),
            // The check interval is over: look at the load progress again.
            Err(_) => {}
        }
        let now = state.now();
        let unavailable = state.dispatcher().targets.limited_or_paused(now, &waiting.need);
        match unavailable {
            Some(Selection::Paused { until }) => return Err(paused(until.since_ms(now))),
            Some(Selection::Limited { until }) => return Err(limited(until.since_ms(now))),
            _ => {}
        }
        if selection != Selection::NotResident {
            if now >= give_up_at {
                return Err(overloaded(wait_ms_max));
            }
            // Turns away those that a worse forecast no longer serves, also if no request comes.
            state.dispatcher().shed_late(now, &waiting.need);
            continue;
        }
        if let Some(ready_at) = ready_at(state, admitted) {
            if ready_at + ANSWER_MS_MIN >= admitted.final_at {
                return Err(not_loaded(ready_at.since_ms(now)));
            }
            admitted.check_stop(state, ready_at, ran)?;
            // The load is running or scheduled, so waiting is worthwhile. The wait is extended only
            // once: a ready time that is postponed again is not waited for.
            if !is_wait_extended {
                is_wait_extended = true;
                let expected_at = ready_at + LOAD_SLACK_MS;
                give_up_at = give_up_at.max(expected_at.min(admitted.final_at - ANSWER_MS_MIN));
            }
        }
        if now >= give_up_at {
            return Err(not_loaded(RETRY_MS_MAX));
        }
    }
}

/// Returns the entry of a request in the queue.
fn waiting(
    hold_times: &HoldTimes,
    admitted: &Admitted,
    id: u64,
    need: TargetRequirements,
) -> Waiting {
    let Admitted { route, arrived_at, final_at, .. } = admitted;
    let hold_ms = hold_times.known_ms(&need.service, &route.name, need.tokens);
    // The first event of a stream comes long before the slot is freed.
    let answer_ms = hold_ms.filter(|_| !route.kind.is_stream()).map_or(0, |ms| ms as u64);
    let answer_ms_max = (final_at.since_ms(*arrived_at) as f64 * ANSWER_SHARE_MAX) as u64;
    let answer_ms = answer_ms.min(answer_ms_max);
    let claim = Claim {
        id,
        arrived_at: *arrived_at,
        order_at: *arrived_at + admitted.objective_offset_ms,
        due_at: *arrived_at + route.objective_ms.saturating_sub(answer_ms),
        latest_at: *final_at - answer_ms.max(ANSWER_MS_MIN),
        priority: admitted.priority,
        work: hold_times.expected_ms(&need.service, &route.name, need.tokens),
    };
    Waiting { request: admitted.request.id.clone(), need, claim }
}

/// Returns when the lease holder expects the model to be ready, if known.
fn ready_at(state: &State, admitted: &Admitted) -> Option<TimeMs> {
    state.dispatcher().ready_at(admitted.need.model.as_ref()?)
}

/// Returns how long a request may wait if no slot is free now.
fn wait_ms_max(
    state: &State,
    admitted: &Admitted,
    ran: Ran,
    now: TimeMs,
    waiting: &Waiting,
    selection: &Selection,
) -> Result<u64, Refusal> {
    let left_ms = admitted.final_at.since_ms(now);
    if left_ms <= ANSWER_MS_MIN {
        return Err(overloaded(RETRY_MS_MIN));
    }
    let share_ms = (left_ms as f64 * QUEUE_WAIT_SHARE) as u64;
    match selection {
        Selection::NoTarget => Err(Refusal::not_run(
            RefusalCode::NoTarget,
            "the service has no target now; retry soon",
            Some(retry_ms(RETRY_MS_MAX)),
        )),
        Selection::Paused { until } => Err(paused(until.since_ms(now))),
        Selection::Limited { until } => Err(limited(until.since_ms(now))),
        Selection::NotResident => {
            let objective_ms = admitted.route.objective_ms.max(1_000);
            Ok(share_ms.min(LOAD_WAIT_FACTOR * objective_ms))
        }
        Selection::Full | Selection::Chosen(_) => {
            let mut dispatcher = state.dispatcher();
            // A request that excludes targets or ran before isn't served before others for that.
            if ran == Ran::NotRun
                && waiting.need.excluded.is_empty()
                && let Some(why) = dispatcher.shed_for(now, waiting)
            {
                drop(dispatcher);
                return Err(turned_away(state, waiting, &why));
            }
            let forecast = dispatcher.queue.forecast_grant(now, waiting);
            drop(dispatcher);
            if let Some(SlotGrant { granted_at, .. }) = forecast {
                if granted_at > waiting.claim.latest_at {
                    return Err(overloaded(granted_at.since_ms(waiting.claim.latest_at)));
                }
                admitted.check_stop(state, granted_at, ran)?;
                return Ok(waiting.claim.latest_at.since_ms(now));
            }
            let expected_ms = expected_wait_ms(state, admitted, now);
            if expected_ms > share_ms {
                return Err(overloaded(expected_ms - share_ms));
            }
            admitted.check_stop(state, now + expected_ms, ran)?;
            Ok(share_ms)
        }
    }
}

/// Returns how long a request may wait for a permit of a rate-limited target.
///
/// Under overload an unbounded wait would give all permits to the requests that have waited
/// longest, and each of them would be late. Requests that move on in time are served better by
/// another target, or by loading the model there.
fn permit_wait_ms_max(admitted: &Admitted, now: TimeMs) -> u64 {
    let left_ms = admitted.final_at.since_ms(now);
    admitted.route.objective_ms.min(left_ms) / PERMIT_WAIT_DIVISOR
}

/// Returns the expected queueing time of a new request without a forecast: the requests ahead of
/// it, each taking the route's objective, divided by the slots.
fn expected_wait_ms(state: &State, admitted: &Admitted, now: TimeMs) -> u64 {
    let dispatcher = state.dispatcher();
    let service = &admitted.need.service;
    let order_at = now + admitted.objective_offset_ms;
    let sort_key = (order_at.as_ms() + u64::from(admitted.priority) * PRIORITY_STEP_MS, u64::MAX);
    let ahead = dispatcher.queue.ahead(service, sort_key) as u64;
    let (slots, _) = dispatcher.slots(service);
    ahead * admitted.route.objective_ms / u64::from(slots.max(1))
}

/// Returns the refusal of a request that gives way to others, and logs which one was preferred.
fn turned_away(state: &State, waiting: &Waiting, why: &TurnedAway) -> Refusal {
    let preferred = why.preferred.as_ref().map(|(request, _)| request.as_str());
    let preferred_claim = why.preferred.as_ref().map(|(_, claim)| claim);
    state.metrics.displaced(waiting.claim.priority);
    info!(state.log, "displaced";
        "id" => waiting.request.as_str(), "preferred" => preferred,
        "claim" => ?waiting.claim, "preferred_claim" => ?preferred_claim,
        "forecast_ms" => why.wait_ms, "slot_interval_ms" => why.supply.interval_ms(),
        "forecast_age_ms" => why.supply.age_ms);
    overloaded(why.wait_ms)
}

fn overloaded(wait_ms: u64) -> Refusal {
    let message = "every target is busy; retry later";
    Refusal::not_run(RefusalCode::Overloaded, message, Some(retry_ms(wait_ms)))
}

/// Returns the refusal of a request whose targets all asked for a pause.
fn paused(wait_ms: u64) -> Refusal {
    refuse_until("every target that could take it asked for a pause; retry after it", wait_ms)
}

/// Returns the refusal of a request whose targets are all at their rate limit.
fn limited(wait_ms: u64) -> Refusal {
    refuse_until(
        "every target that could take it has a limit, which is used up; retry later",
        wait_ms,
    )
}

/// Returns a refusal whose `Retry-After` time is at least `wait_ms`, with jitter.
fn refuse_until(message: &'static str, wait_ms: u64) -> Refusal {
    let spread_ms = (wait_ms / PAUSE_SPREAD_DIVISOR).max(PAUSE_SPREAD_MS_MIN);
    let retry_after_ms = wait_ms + random_range(0..=spread_ms);
    Refusal::not_run(RefusalCode::Overloaded, message, Some(retry_after_ms))
}

fn not_loaded(wait_ms: u64) -> Refusal {
    let message = "the model can't be loaded in time; retry later";
    let retry_after_ms = retry_ms(wait_ms);
    Refusal::not_run(RefusalCode::DeadlineUnreachable, message, Some(retry_after_ms))
}

/// Adds jitter, so that callers refused together don't retry together.
fn retry_ms(wait_ms: u64) -> u64 {
    let wait_ms = wait_ms.clamp(RETRY_MS_MIN, RETRY_MS_MAX);
    random_range(wait_ms / 2..=wait_ms)
}
