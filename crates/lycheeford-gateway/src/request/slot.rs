use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use lycheeford_policy::{
    Chosen, Claim, HoldTimes, LoadDecision, LoadForecast, LoadTime, LoadWait, Name,
    PRIORITY_STEP_MS, Ran, Refusal, RefusalCode, Selection, SlotGrant, TargetRequirements, TimeMs,
    Waiting,
};
use rand::random_range;
use slog::info;

use super::admission::Admitted;
use super::permit::acquire_permit;
use crate::fleet::{Granted, TurnedAway};
use crate::state::State;

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
/// How long a request that waits for a model checks for its forecast at the short interval: the
/// lease holder answers within a round trip.
const FORECAST_WAIT_MS: u64 = 150;
const FORECAST_CHECK_MS: u64 = 10;
/// The longest wait for a load that is postponed again and again, as a multiple of the route's
/// latency objective, and the least objective for that.
const POSTPONED_WAIT_FACTOR: u64 = 2;
const OBJECTIVE_MS_MIN: u64 = 1_000;
/// The allowed delay of a load beyond its forecast, for the counts of forecasts.
const FORECAST_SLACK_MS: u64 = 500;
/// Divides the route's latency objective, or the remaining time if that is shorter, to get the
/// longest wait for a permit of a rate-limited target.
const PERMIT_WAIT_DIVISOR: u64 = 2;
/// The bounds of the `Retry-After` time of a refusal before jitter, which at most halves it. They
/// don't apply if the targets asked for a pause or are at their rate limit.
const RETRY_MS_MIN: u64 = 200;
const RETRY_MS_MAX: u64 = 1_200;
const NOT_LOADED: &str = "the model can't be loaded in time; retry later";
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
    let mut load = (selection == Selection::NotResident).then(|| AwaitedLoad::new(admitted, now));
    if let Some(load) = &mut load {
        load.check(state, admitted, ran, now)?;
    }
    if waiting.need.model.is_some() {
        state.wake_demand_task();
        state.wake_planner();
    }
    let give_up_at = now + wait_ms_max;
    loop {
        let now = state.now();
        admitted.check_stop(state, now, ran)?;
        let interval_ms = match &load {
            Some(load) => load.check_interval_ms(now),
            None => give_up_at.since_ms(now).min(CHECK_INTERVAL_MS),
        };
        match timeout(Duration::from_millis(interval_ms), queued.receiver.recv()).await {
            Ok(Ok(Granted::Target(chosen))) => {
                if let Some(load) = &load {
                    load.count_end(state, state.now());
                }
                return Ok(queued.slot(chosen));
            }
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
        match &mut load {
            Some(load) => {
                load.check(state, admitted, ran, now)?;
                if now >= load.until {
                    load.count_end(state, now);
                    return Err(not_loaded(RETRY_MS_MAX));
                }
            }
            None if now >= give_up_at => return Err(overloaded(wait_ms_max)),
            // Turns away those that a worse forecast no longer serves, also if no request comes.
            None => state.dispatcher().shed_late(now, &waiting.need),
        }
    }
}

/// The wait of a request for a model that no usable target holds.
struct AwaitedLoad {
    wait: LoadWait,
    /// When the request gives up.
    until: TimeMs,
    /// When the load was expected to be done, by the first forecast that it is running or planned.
    ///
    /// If that time is postponed, the wait is extended only within a multiple of the objective.
    expected_at: Option<TimeMs>,
    is_logged: bool,
}

impl AwaitedLoad {
    fn new(admitted: &Admitted, now: TimeMs) -> AwaitedLoad {
        let wait = LoadWait {
            started_at: now,
            final_at: admitted.final_at,
            objective_ms: admitted.route.objective_ms,
        };
        AwaitedLoad { wait, until: now, expected_at: None, is_logged: false }
    }

    /// Decides by the latest forecast whether and until when the request waits.
    fn check(
        &mut self,
        state: &State,
        admitted: &Admitted,
        ran: Ran,
        now: TimeMs,
    ) -> Result<(), Refusal> {
        let forecast = load_forecast(state, admitted);
        // A request that was told to wait isn't refused because an engine has no room meanwhile.
        let forecast = forecast.filter(|forecast| {
            self.expected_at.is_none() || matches!(forecast.time, LoadTime::Ready { .. })
        });
        let decision = self.wait.decide(now, forecast.as_ref());
        let is_refused = matches!(decision, LoadDecision::Refuse { .. });
        if let Some(forecast) = forecast.filter(|_| is_refused || !self.is_logged) {
            self.is_logged = true;
            log_forecast(state, admitted, now, &forecast, is_refused);
        }
        let until = match decision {
            LoadDecision::Refuse { retry_after_ms } => {
                state.metrics.load_forecast("refused");
                return Err(not_loaded_until(retry_after_ms));
            }
            LoadDecision::Wait { until } => until,
        };
        let planned_at = match forecast.map(|forecast| forecast.time) {
            Some(LoadTime::Ready { at }) if at > now && at < admitted.final_at => Some(at),
            _ => None,
        };
        if let Some(at) = planned_at {
            admitted.check_stop(state, at, ran)?;
        }
        if self.expected_at.is_none() {
            self.expected_at = planned_at;
            self.until = until;
        } else if planned_at.is_some() {
            let objective_ms = admitted.route.objective_ms.max(OBJECTIVE_MS_MIN);
            let postponed_until = self.wait.started_at + POSTPONED_WAIT_FACTOR * objective_ms;
            self.until = self.until.max(until.min(postponed_until));
        }
        Ok(())
    }

    fn check_interval_ms(&self, now: TimeMs) -> u64 {
        let awaits_forecast =
            !self.is_logged && now.since_ms(self.wait.started_at) < FORECAST_WAIT_MS;
        let interval_ms = if awaits_forecast { FORECAST_CHECK_MS } else { CHECK_INTERVAL_MS };
        self.until.since_ms(now).min(interval_ms)
    }

    /// Counts the end of the wait by how its forecast was met.
    fn count_end(&self, state: &State, now: TimeMs) {
        let outcome = match self.expected_at {
            None => "none",
            Some(at) if now <= at + FORECAST_SLACK_MS => "met",
            Some(_) => "late",
        };
        state.metrics.load_forecast(outcome);
    }
}

fn log_forecast(
    state: &State,
    admitted: &Admitted,
    now: TimeMs,
    forecast: &LoadForecast,
    is_refused: bool,
) {
    let (ready_in_ms, not_before_ms) = match forecast.time {
        LoadTime::Ready { at } => (Some(at.since_ms(now)), None),
        LoadTime::NotBefore { at } => (None, Some(at.since_ms(now))),
    };
    let is_holder = state.orders().lease.held(now).is_some();
    let holder = if is_holder {
        Some(state.settings.host.clone())
    } else {
        state.membership().lease(now).map(|lease| lease.holder)
    };
    let model = admitted.need.model.as_ref().map_or("", |model| model.as_str());
    info!(state.log, "load_forecast";
        "id" => admitted.request.id.as_str(), "model" => model, "ready_in_ms" => ready_in_ms,
        "not_before_ms" => not_before_ms, "age_ms" => now.since_ms(forecast.heard_at),
        "holder" => holder.as_ref().map(Name::as_str),
        "left_ms" => admitted.final_at.since_ms(now), "refused" => is_refused);
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
///
/// A forecast that no load is done in time concerns only a model that no target holds: a target that
/// is at its limit, or that lacks only the adapter, may serve the request sooner. That no engine has
/// room isn't known for the streams that must go on at one software version.
fn load_forecast(state: &State, admitted: &Admitted) -> Option<LoadForecast> {
    let need = &admitted.need;
    let model = need.model.as_ref()?;
    let dispatcher = state.dispatcher();
    let forecast = dispatcher.load_forecast(model)?;
    let mut targets = dispatcher.targets.of_service(&need.service);
    let is_refusing = match forecast.time {
        LoadTime::Ready { at } => at + ANSWER_MS_MIN >= admitted.final_at,
        LoadTime::NotBefore { .. } if need.version.is_some() => return None,
        LoadTime::NotBefore { .. } => true,
    };
    let is_held =
        is_refusing && targets.any(|target| target.entry.residency.model(model).is_some());
    (!is_held).then_some(forecast)
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
        // The forecast of the load decides.
        Selection::NotResident => Ok(share_ms),
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
    Refusal::not_run(RefusalCode::DeadlineUnreachable, NOT_LOADED, Some(retry_ms(wait_ms)))
}

/// Returns the refusal of a request whose model is ready after `wait_ms`, which is too late.
fn not_loaded_until(wait_ms: u64) -> Refusal {
    let Refusal { retry_after_ms, .. } = refuse_until(NOT_LOADED, wait_ms);
    Refusal::not_run(RefusalCode::DeadlineUnreachable, NOT_LOADED, retry_after_ms)
}

/// Adds jitter, so that callers refused together don't retry together.
fn retry_ms(wait_ms: u64) -> u64 {
    let wait_ms = wait_ms.clamp(RETRY_MS_MIN, RETRY_MS_MAX);
    random_range(wait_ms / 2..=wait_ms)
}
