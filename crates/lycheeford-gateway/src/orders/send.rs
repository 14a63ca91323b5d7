use std::net::SocketAddr;
use std::sync::Arc;

use lycheeford_policy::{
    AdapterWant, Choice, Chosen, EngineOperation, Name, ResidentModel, TargetEntry, TargetFailure,
    TimeMs,
};
use lycheeford_target::{TargetError, TargetRequest};
use slog::{info, warn};

use super::withdraw::run_until;
use crate::request::{apply_signals, record_heard};
use crate::state::State;
use crate::{AnswerHead, EngineOrder, EngineReport, OrderAnswer, OrderedName};

/// The size limit of a response to an order or a query.
const REPORT_BYTES_MAX: usize = 1 << 20;
/// The time-out of a query.
const ANSWER_MS_MAX: u64 = 900;
/// How long an engine's report may lag behind its actual state.
const REPORT_LAG_MS: u64 = 300;
/// The pause before an engine that didn't answer is queried again.
const SILENT_PAUSE_MS: u64 = 600;

/// An order to, or a query of, one instance of an engine.
#[derive(Debug)]
pub(super) struct EngineCall {
    engine: Name,
    life: u64,
    version: Name,
    address: SocketAddr,
    name: Option<OrderedName>,
    operation: Option<(EngineOperation, TimeMs)>,
}

impl EngineCall {
    pub(super) fn order(
        entry: &TargetEntry,
        name: OrderedName,
        operation: Option<(EngineOperation, TimeMs)>,
    ) -> EngineCall {
        EngineCall { name: Some(name), operation, ..EngineCall::query(entry) }
    }

    pub(super) fn query(entry: &TargetEntry) -> EngineCall {
        EngineCall {
            engine: entry.id.clone(),
            life: entry.life,
            version: entry.version.clone(),
            address: entry.address,
            name: None,
            operation: None,
        }
    }

    /// Returns the operation that the order starts.
    pub(super) fn operation(&self) -> Option<EngineOperation> {
        self.operation.as_ref().map(|(operation, _)| operation.clone())
    }

    fn chosen(&self) -> Chosen {
        Chosen {
            id: self.engine.clone(),
            life: self.life,
            version: self.version.clone(),
            address: self.address,
            running: 0,
            permit: None,
            choice: Choice::default(),
        }
    }
}

/// The outcome of an order as far as its sender knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answered(OrderAnswer),
    /// The order wasn't sent.
    NotSent,
    /// The order may be carried out, now or later.
    Unknown,
}

/// Sends an order once and records the outcome.
pub(super) async fn send_order(state: Arc<State>, planned: EngineCall) {
    let Some(name) = planned.name.clone() else { return };
    let outcome = send_once(&state, &planned, &name).await;
    info!(state.log, "order";
        "target" => planned.engine.as_str(), "order" => ?name, "outcome" => ?outcome);
    state.metrics.order(&name, outcome == Outcome::Answered(OrderAnswer::Accepted));
    record_outcome(&state, &planned, &name, outcome);
    state.wake_planner();
}

async fn send_once(state: &State, planned: &EngineCall, name: &OrderedName) -> Outcome {
    if is_paused(state, planned) {
        return Outcome::NotSent;
    }
    let (order, withdraw_at) = {
        // The lease is checked last, since the host may have been suspended at any point before.
        let mut orders = state.orders();
        let now = state.now();
        let Some(token) = orders.token(now) else { return Outcome::NotSent };
        let Some(record) = orders.engine(&planned.engine, planned.life) else {
            return Outcome::NotSent;
        };
        let order = EngineOrder {
            target: planned.engine.clone(),
            name: name.clone(),
            expected_sequence: record.sequence,
            holder: state.settings.host.clone(),
            token,
        };
        (order, now + orders.lease.order_transit_ms())
    };
    // The order uses a new connection, which proves that the network delay was short a moment ago,
    // and the connection is reset if the call is dropped. An order left in a buffer, or sent after
    // this host was suspended while connecting, would reach the engine after the orders of the next
    // lease holder.
    let request = state.protocols.target.order(&order);
    match call(state, planned, &request, withdraw_at).await {
        Ok((status, _)) => Outcome::Answered(state.protocols.target.parse_order_answer(status)),
        Err(Some(error)) if !error.may_have_run() => {
            let failure = TargetFailure::Unreachable;
            state.dispatcher().targets.failed(state.now(), &planned.chosen(), failure);
            Outcome::NotSent
        }
        Err(error) => {
            let error =
                error.map_or_else(|| "no answer in time".to_owned(), |error| error.to_string());
            warn!(state.log, "order_unanswered"; "target" => planned.engine.as_str(), "error" => error);
            Outcome::Unknown
        }
    }
}

/// Returns whether the engine wants a pause now, which it may have asked for since the order was
/// planned.
fn is_paused(state: &State, planned: &EngineCall) -> bool {
    let now = state.now();
    let dispatcher = state.dispatcher();
    let target = dispatcher.targets.target(&planned.engine);
    target.is_some_and(|target| target.belief.is_paused(now))
}

fn record_outcome(state: &State, planned: &EngineCall, name: &OrderedName, outcome: Outcome) {
    let now = state.now();
    if outcome == Outcome::Answered(OrderAnswer::OtherTarget) {
        state.dispatcher().targets.misdirected(now, &planned.chosen());
    }
    let mut orders = state.orders();
    let Some(record) = orders.engine(&planned.engine, planned.life) else { return };
    record.has_call_in_flight = false;
    record.operation_in_flight = None;
    match outcome {
        Outcome::Answered(OrderAnswer::Accepted) => {
            record.sequence += 1;
            record.operation.clone_from(&planned.operation);
            match name {
                OrderedName::Load(loaded) if loaded.adapter.is_none() => {
                    record.assumed_models.push(loaded.model.clone());
                }
                OrderedName::Unload(unloaded) if unloaded.adapter.is_none() => {
                    orders.record_unloading(&planned.engine, &unloaded.model);
                }
                _ => {}
            }
        }
        Outcome::Answered(OrderAnswer::Holds) => {
            // Whether the engine counted the order isn't known. It is assumed to count only the
            // unloading of an adapter. A wrong assumption makes it answer the next order with a
            // conflict.
            if matches!(name, OrderedName::Unload(unloaded) if unloaded.adapter.is_some()) {
                record.sequence += 1;
            }
        }
        Outcome::NotSent => return,
        Outcome::Answered(_) | Outcome::Unknown => {
            record.query_at = Some(now + REPORT_LAG_MS);
            return;
        }
    }
    match name {
        OrderedName::Load(loaded) => {
            if let Some(adapter) = &loaded.adapter {
                let want = AdapterWant { model: loaded.model.clone(), adapter: adapter.clone() };
                orders.adapters.ordered(now, &planned.engine, &want);
            }
        }
        OrderedName::Unload(unloaded) => {
            if let Some(adapter) = &unloaded.adapter {
                let want = AdapterWant { model: unloaded.model.clone(), adapter: adapter.clone() };
                orders.adapter_dropped(&planned.engine, &want);
            }
        }
    }
}

/// Queries an engine for its operation and the models it holds.
pub(super) async fn query_engine(state: Arc<State>, planned: EngineCall) {
    let request = state.protocols.target.report(&planned.engine);
    let give_up_at = state.now() + ANSWER_MS_MAX;
    let report = match call(&state, &planned, &request, give_up_at).await {
        Ok((200, body)) => state.protocols.target.read_report(&body),
        Ok((status, _)) => Err(format!("status {status}")),
        Err(Some(error)) => Err(error.to_string()),
        Err(None) => Err("no answer in time".to_owned()),
    };
    apply_report(&state, &planned, report);
    state.wake_planner();
}

fn apply_report(state: &State, planned: &EngineCall, report: Result<EngineReport, String>) {
    let now = state.now();
    let mut orders = state.orders();
    let Some(record) = orders.engine(&planned.engine, planned.life) else { return };
    record.has_call_in_flight = false;
    match report {
        Err(message) => {
            warn!(state.log, "engine_unreported";
                "target" => planned.engine.as_str(), "error" => message);
            record.query_at = Some(now + SILENT_PAUSE_MS);
        }
        Ok(report) if report.sequence < record.sequence => {
            // The report is older than the last order that the engine accepted.
            record.query_at = Some(now + REPORT_LAG_MS);
        }
        Ok(report) => {
            record.sequence = report.sequence;
            record.query_at = report.is_busy.then_some(now + REPORT_LAG_MS);
            record.operation = None;
            let models = &report.residency.models;
            record.assumed_models = models.iter().map(|model| model.name.clone()).collect();
            orders.adapters_reported(now, &planned.engine, &held_adapters(&report));
            drop(orders);
            let mut dispatcher = state.dispatcher();
            dispatcher.targets.reported(&planned.engine, planned.life, report.residency);
        }
    }
}

fn held_adapters(report: &EngineReport) -> Vec<AdapterWant> {
    let of_model = |model: &ResidentModel| {
        let name = model.name.clone();
        let wants = model
            .adapters
            .iter()
            .map(move |adapter| AdapterWant { model: name.clone(), adapter: adapter.clone() });
        wants.collect::<Vec<_>>()
    };
    report.residency.models.iter().flat_map(of_model).collect()
}

/// Calls an engine and reads the whole response, or drops the call at `give_up_at`.
///
/// Returns `Err(None)` if the time is up.
async fn call(
    state: &State,
    planned: &EngineCall,
    request: &TargetRequest,
    give_up_at: TimeMs,
) -> Result<(u16, Vec<u8>), Option<TargetError>> {
    let sent_at = state.now();
    let exchange = async {
        let mut response = state.targets.call(planned.address, request).await?;
        record_heard(state, &planned.chosen());
        let status = response.status;
        let AnswerHead { signals, .. } =
            state.protocols.target.read_head(&planned.engine, status, &mut response.headers);
        apply_signals(state, None, &planned.chosen(), &signals, sent_at);
        Ok((status, response.body.collect(REPORT_BYTES_MAX).await?))
    };
    match run_until(|| state.now(), give_up_at, exchange).await {
        Some(result) => result.map_err(Some),
        None => Err(None),
    }
}
