use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use lycheeford_policy::{
    AdapterEngine, AdapterPlanner, AdapterStep, AdapterWant, EngineLimits, EngineModel,
    EngineOperation, EngineView, ModelDemand, Name, ResidentView, ShortKey, SwapAction, SwapOrder,
    Target, TargetEntry, TargetService, TargetUse, TimeMs, WantedName,
};

use super::send::{EngineCall, query_engine, send_order};
use crate::fleet::merge;
use crate::state::State;
use crate::{ModelName, OrderedName};

/// The interval of planning if no event triggers it earlier.
const PLAN_MS: u64 = 60;
/// The allowed delay of a load beyond one and a half times its planned duration before the engine
/// is queried.
const LOAD_SLACK_MS: u64 = 700;
/// The usual duration of an unload.
const UNLOAD_MS: u64 = 150;
/// The usual duration of an unload of a model that requests run.
const UNLOAD_RUNNING_MS: u64 = 500;
/// The time after which the engine is queried about an unload, which waits for running requests.
const UNLOAD_MS_MAX: u64 = 1_500;

/// Plans and sends orders while this host holds the lease, until the future is dropped.
pub(crate) async fn plan_orders(state: Arc<State>) {
    loop {
        // Planning is due after a wake-up and after a time-out alike.
        let _ = timeout(Duration::from_millis(PLAN_MS), state.plan_due.1.recv()).await;
        plan(&state);
    }
}

fn plan(state: &Arc<State>) {
    let now = state.now();
    if state.orders().token(now).is_none() {
        return;
    }
    let Some(deployment) = state.deployment.load_full() else { return };
    for service in &deployment.services {
        if let Some(limits) = &service.engine {
            plan_service(state, now, service, limits);
        }
    }
    let forecasts = {
        let mut orders = state.orders();
        orders.expire_promises(now);
        orders.load_forecasts(now)
    };
    if let Some(forecasts) = &forecasts {
        state.dispatcher().apply_own_forecasts(now, forecasts);
        let has_unanswered = state.membership().has_unanswered(now, forecasts);
        if has_unanswered {
            state.wake_demand_task();
        }
    }
    if state.orders().announce_adapters(now) {
        // Waiting requests can now be dispatched to the engines whose adapter is ready.
        crate::membership::apply_own_placements(state);
        state.wake_demand_task();
    }
}

fn plan_service(state: &Arc<State>, now: TimeMs, service: &TargetService, limits: &EngineLimits) {
    let wanted = wanted(state, now, service, limits);
    let (planned, queries) = {
        let dispatcher = state.dispatcher();
        let mut orders = state.orders();
        let engines: Vec<&Target> = dispatcher.targets.of_service(&service.name).collect();
        let mut queries = Vec::new();
        let mut views = Vec::new();
        for target in &engines {
            let held_mb = adapters_mb(&orders.adapters, limits, &target.entry.id);
            let record = orders.engine_or_new(now, &target.entry.id, target.entry.life);
            // A leaving engine gets no orders, so its state needn't be queried. A paused engine is
            // queried after its pause.
            let can_query = target.is_usable(now) && target.belief.use_at(now) == TargetUse::Free;
            if record.is_query_due(now) && can_query {
                record.has_call_in_flight = true;
                queries.push(EngineCall::query(&target.entry));
            }
            // A paused engine gets no orders. It still counts as present, so that its models aren't
            // loaded elsewhere.
            let pause = target.belief.is_paused(now).then_some(EngineOperation::Unknown);
            let operation = record.planned_operation().or(pause);
            views.push(engine_view(
                now,
                limits,
                target,
                operation,
                &record.assumed_models,
                held_mb,
            ));
        }
        let running = dispatcher.targets.running_by_model(&service.name);
        let demands = demands(state, &orders, now, service, limits, &wanted, &running, &views);
        let slots = engines.iter().map(|target| target.entry.slots).min().unwrap_or(1);
        let plan = orders.planner(now, &service.name).plan(now, limits, slots, &views, &demands);
        for (model, wait_ms) in &plan.waits {
            orders.set_ready_at(model, now + *wait_ms);
        }
        let no_room = plan.no_room.into_iter().map(|(model, wait_ms)| (model, now + wait_ms));
        orders.set_no_room(limits, no_room.collect());
        let mut planned = Vec::new();
        for swap in plan.orders {
            let Some(target) = dispatcher.targets.target(&swap.engine) else { continue };
            let entry = &target.entry;
            expect_ready(&mut orders, now, limits, target, &swap);
            let order = swap_order(now, entry, &swap);
            let record = orders.engine_or_new(now, &swap.engine, entry.life);
            record.has_call_in_flight = true;
            record.operation_in_flight = order.operation();
            planned.push(order);
        }
        for name in wanted.iter().filter(|name| name.version.is_none()) {
            orders.promise(&service.name, &name.model, name.priority);
        }
        let adapter_wants =
            wanted.iter().filter_map(|name| Some((adapter_want(name)?, name.version)));
        for (want, version) in adapter_wants {
            let Some(model) = limits.model(&want.model) else { continue };
            let usable = adapter_engines(&mut orders, now, &engines, &views, &want, version);
            let step =
                orders.adapters.plan(now, &want, &usable, limits.adapters_max, model.adapter_mb);
            let Some((engine, step)) = step else { continue };
            let entry = dispatcher.targets.target(&engine).map(|target| &target.entry);
            let Some(entry) = entry else { continue };
            orders.engine_or_new(now, &engine, entry.life).has_call_in_flight = true;
            planned.push(adapter_order(entry, want, step));
        }
        (planned, queries)
    };
    for query in queries {
        task::spawn(query_engine(Arc::clone(state), query));
    }
    for order in planned {
        task::spawn(send_order(Arc::clone(state), order));
    }
}

/// Returns the models and adapters that requests wait for, here and at the other hosts.
fn wanted(
    state: &State,
    now: TimeMs,
    service: &TargetService,
    limits: &EngineLimits,
) -> Vec<WantedName> {
    let mut wanted = state.dispatcher().wanted(now);
    for name in state.membership().wanted(now) {
        merge(&mut wanted, name);
    }
    wanted.retain(|name| {
        name.service == service.name
            && limits.model(&name.model).is_some_and(|model| has_adapter(model, name))
    });
    wanted.sort_by_key(|name| (name.priority, std::cmp::Reverse(name.oldest_ms)));
    wanted
}

/// Returns whether the model has adapters at all, if one of them is asked for.
fn has_adapter(model: &EngineModel, name: &WantedName) -> bool {
    name.adapter.is_none() || model.adapters > 0
}

fn engine_view(
    now: TimeMs,
    limits: &EngineLimits,
    target: &Target,
    operation: Option<EngineOperation>,
    assumed_models: &[Name],
    adapters_mb: u64,
) -> EngineView {
    let size_mb = |name: &Name| match limits.model(name) {
        Some(model) => model.weights_mb,
        // A model that is no longer declared is assumed to be as large as the largest declared one.
        None => limits.models.iter().map(|model| model.weights_mb).max().unwrap_or_default(),
    };
    let loading = match &operation {
        Some(EngineOperation::Load(model)) => Some(model),
        _ => None,
    };
    let listed = target.entry.residency.models.iter().map(|resident| &resident.name);
    let mut held: Vec<&Name> =
        listed.chain(assumed_models).filter(|name| Some(*name) != loading).collect();
    held.sort();
    held.dedup();
    let residents: Vec<ResidentView> = held
        .into_iter()
        .map(|model| ResidentView {
            model: model.clone(),
            weights_mb: size_mb(model),
            running: target.running_model(ShortKey::of(model)),
        })
        .collect();
    let resident_mb: u64 = residents.iter().map(|resident| resident.weights_mb).sum();
    let loading_mb = loading.map_or(0, size_mb);
    EngineView {
        id: target.entry.id.clone(),
        version: ShortKey::of(&target.entry.version),
        is_ready: target.is_ready() && target.is_usable(now),
        is_limited: target.is_short(),
        free_mb: limits.weights_mb.saturating_sub(resident_mb + loading_mb + adapters_mb),
        utilization: target.utilization(),
        residents,
        in_memory: target.entry.residency.in_memory.clone(),
        on_disk: target.entry.residency.on_disk.clone(),
        operation,
    }
}

/// Returns the memory that the adapters at an engine occupy.
fn adapters_mb(adapters: &AdapterPlanner, limits: &EngineLimits, engine: &Name) -> u64 {
    let size_mb =
        |want: &AdapterWant| limits.model(&want.model).map_or(0, |model| model.adapter_mb);
    adapters.held_at(engine).map(size_mb).sum()
}

#[allow(clippy::too_many_arguments, reason = "each is a part of what the planner sees")]
fn demands(
    state: &State,
    orders: &super::Orders,
    now: TimeMs,
    service: &TargetService,
    limits: &EngineLimits,
    wanted: &[WantedName],
    running: &[(ShortKey, u32)],
    views: &[EngineView],
) -> Vec<ModelDemand> {
    let demand = state.demand();
    let is_held = |model: &EngineModel| {
        views.iter().any(|view| view.residents.iter().any(|held| held.model == model.name))
    };
    let of_model = |model: &EngineModel| {
        let key = ShortKey::of(&model.name);
        let names = wanted.iter().filter(|name| name.model == model.name && name.version.is_none());
        let (waiting, oldest_ms, priority) =
            names.fold((0, 0, u8::MAX), |(waiting, oldest_ms, priority), name| {
                (waiting + name.waiting, oldest_ms.max(name.oldest_ms), priority.min(name.priority))
            });
        let asked_at = demand.asked_at(key);
        let has_waiting = waiting > 0;
        let promise = orders.promised(now, &service.name, &model.name);
        // Requests that were refused until a promised time come back for the model.
        let (waiting, priority) = match promise {
            Some(promise) if waiting == 0 && !is_held(model) => (1, promise.priority),
            _ => (waiting, priority),
        };
        if waiting == 0 && asked_at.is_none() && !is_held(model) {
            return None;
        }
        let found = running.binary_search_by_key(&key, |(key, _)| *key);
        Some(ModelDemand {
            model: model.name.clone(),
            version: None,
            waiting,
            oldest_ms,
            priority,
            rate_per_s: demand.rate_per_s(now, key),
            running: found.map_or(0, |index| running[index].1),
            // A model without requests ranks as the least recently requested.
            asked_at: asked_at.unwrap_or_default(),
            is_promised: promise.is_some() && has_waiting,
        })
    };
    let any_version = limits.models.iter().filter_map(of_model);
    any_version.chain(resumed_demands(now, wanted, views)).collect()
}

/// Returns the demand of the streams that must go on at the software version that began them.
fn resumed_demands(now: TimeMs, wanted: &[WantedName], views: &[EngineView]) -> Vec<ModelDemand> {
    let mut demands: Vec<ModelDemand> = Vec::new();
    for name in wanted.iter().filter(|name| name.version.is_some()) {
        let is_same = |demand: &&mut ModelDemand| {
            demand.model == name.model && demand.version == name.version
        };
        if let Some(demand) = demands.iter_mut().find(is_same) {
            demand.waiting += name.waiting;
            demand.oldest_ms = demand.oldest_ms.max(name.oldest_ms);
            demand.priority = demand.priority.min(name.priority);
            continue;
        }
        let engines = views.iter().filter(|view| Some(view.version) == name.version);
        let residents = engines.flat_map(|view| &view.residents);
        let running =
            residents.filter(|held| held.model == name.model).map(|held| held.running).sum();
        demands.push(ModelDemand {
            model: name.model.clone(),
            version: name.version,
            waiting: name.waiting,
            oldest_ms: name.oldest_ms,
            priority: name.priority,
            rate_per_s: 0.0,
            running,
            asked_at: now,
            is_promised: false,
        });
    }
    demands
}

/// Records when the model that an order loads, or makes room for, is expected to be ready.
fn expect_ready(
    orders: &mut super::Orders,
    now: TimeMs,
    limits: &EngineLimits,
    target: &Target,
    swap: &SwapOrder,
) {
    match &swap.action {
        SwapAction::Load { model, load_ms } => orders.set_ready_at(model, now + *load_ms),
        SwapAction::Unload { model, room_for } => {
            let residency = &target.entry.residency;
            let is_running = target.running_model(ShortKey::of(model)) > 0;
            let unload_ms = if is_running { UNLOAD_RUNNING_MS } else { UNLOAD_MS };
            let is_in = |names: &[Name]| names.binary_search(room_for).is_ok();
            let load_ms = |model: &EngineModel| {
                if is_in(&residency.in_memory) {
                    model.load_memory_ms
                } else if is_in(&residency.on_disk) {
                    model.load_disk_ms
                } else {
                    model.load_store_ms
                }
            };
            let load_ms = limits.model(room_for).map_or(0, load_ms);
            orders.set_ready_at(room_for, now + unload_ms + load_ms);
        }
    }
}

fn swap_order(now: TimeMs, entry: &TargetEntry, swap: &SwapOrder) -> EngineCall {
    match &swap.action {
        SwapAction::Load { model, load_ms } => {
            let name = ModelName { model: model.clone(), adapter: None };
            let operation = EngineOperation::Load(model.clone());
            let due_at = now + *load_ms + load_ms / 2 + LOAD_SLACK_MS;
            EngineCall::order(entry, OrderedName::Load(name), Some((operation, due_at)))
        }
        SwapAction::Unload { model, room_for } => {
            let name = ModelName { model: model.clone(), adapter: None };
            let operation =
                EngineOperation::Unload { model: model.clone(), room_for: room_for.clone() };
            let due_at = now + UNLOAD_MS_MAX;
            EngineCall::order(entry, OrderedName::Unload(name), Some((operation, due_at)))
        }
    }
}

fn adapter_want(name: &WantedName) -> Option<AdapterWant> {
    let adapter = name.adapter.clone()?;
    Some(AdapterWant { model: name.model.clone(), adapter })
}

/// Returns the engines that hold the base model of an adapter and can get an order.
fn adapter_engines(
    orders: &mut super::Orders,
    now: TimeMs,
    engines: &[&Target],
    views: &[EngineView],
    want: &AdapterWant,
    version: Option<ShortKey>,
) -> Vec<AdapterEngine> {
    let mut usable = Vec::new();
    for (target, view) in engines.iter().zip(views) {
        let holds = target.entry.residency.model(&want.model).is_some();
        let record = orders.engine_or_new(now, &target.entry.id, target.entry.life);
        let is_unloading = matches!(
            &record.operation,
            Some((EngineOperation::Unload { model, .. }, _)) if *model == want.model
        );
        let may_order = !record.has_call_in_flight
            && record.query_at.is_none()
            && !target.belief.is_paused(now);
        let accepts = version.is_none_or(|version| version == view.version);
        if view.is_ready && accepts && holds && may_order && !is_unloading {
            usable.push(AdapterEngine {
                id: view.id.clone(),
                free_mb: view.free_mb,
                utilization: view.utilization,
            });
        }
    }
    usable
}

fn adapter_order(entry: &TargetEntry, want: AdapterWant, step: AdapterStep) -> EngineCall {
    let name = |want: AdapterWant| ModelName { model: want.model, adapter: Some(want.adapter) };
    match step {
        AdapterStep::Load => EngineCall::order(entry, OrderedName::Load(name(want)), None),
        AdapterStep::Unload(other) => {
            EngineCall::order(entry, OrderedName::Unload(name(other)), None)
        }
    }
}
