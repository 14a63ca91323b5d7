//! Which models and adapters engines load, and which they unload to make room.

use lycheeford_policy::{
    AdapterEngine, AdapterPlanner, AdapterStep, AdapterWant, EngineOperation, EngineView,
    LogCursor, ModelDemand, PlacementLog, ReportedPlacement, ShortKey, SwapAction, SwapOrder,
    SwapPlanner,
};
use proptest::prelude::*;

use crate::world::{at, demand, engine, limits, name};

const SLOTS: u32 = 8;

fn plan(engines: &[EngineView], demands: &[ModelDemand]) -> Vec<SwapOrder> {
    plan_waits(engines, demands).0
}

fn plan_waits(
    engines: &[EngineView],
    demands: &[ModelDemand],
) -> (Vec<SwapOrder>, Vec<(String, u64)>) {
    let limits = limits(&["busy", "m1", "m2", "m3", "m4", "m5", "m6", "m7"]);
    // The budget of loads from the store is full again by the time of the plan.
    let mut planner = SwapPlanner::new(at(0));
    let plan = planner.plan(at(20_000), &limits, SLOTS, engines, demands);
    let waits = plan.waits.iter().map(|(model, ms)| (model.as_str().to_owned(), *ms));
    (plan.orders, waits.collect())
}

fn load(engine: &str, model: &str, load_ms: u64) -> SwapOrder {
    SwapOrder { engine: name(engine), action: SwapAction::Load { model: name(model), load_ms } }
}

fn unload(engine: &str, model: &str, room_for: &str) -> SwapOrder {
    let action = SwapAction::Unload { model: name(model), room_for: name(room_for) };
    SwapOrder { engine: name(engine), action }
}

struct PlanCase {
    what: &'static str,
    engines: Vec<EngineView>,
    demands: Vec<ModelDemand>,
    orders: Vec<SwapOrder>,
}

#[test]
fn orders_follow_waiting_requests_and_local_weights() {
    let long_ago = at(1_000);
    let just_now = at(19_900);
    let cases = [
        PlanCase {
            what: "loads at the engine that has the weights on disk",
            engines: vec![engine("e1", &["m1"], &[]), engine("e2", &["m1"], &["m2"])],
            demands: vec![demand("m2", 1, 0.1, just_now)],
            orders: vec![load("e2", "m2", 500)],
        },
        PlanCase {
            what: "gives a busy model a second engine if only the first one has its weights",
            engines: vec![engine("e1", &["busy"], &["busy"]), engine("e2", &[], &[])],
            demands: vec![demand("busy", 0, 38.0, just_now)],
            orders: vec![load("e2", "busy", 6_000)],
        },
        PlanCase {
            what: "unloads the least recently requested model",
            engines: vec![engine("e1", &["m1", "m2"], &["m3"])],
            demands: vec![
                demand("m1", 0, 0.1, just_now),
                demand("m2", 0, 0.1, long_ago),
                demand("m3", 1, 0.1, just_now),
            ],
            orders: vec![unload("e1", "m2", "m3")],
        },
        PlanCase {
            what: "unloads neither a busy model nor one with waiting requests",
            engines: vec![engine("e1", &["busy", "m1"], &["m3"])],
            demands: vec![
                demand("busy", 0, 9.0, long_ago),
                demand("m1", 1, 0.1, long_ago),
                demand("m3", 1, 0.1, just_now),
            ],
            orders: vec![],
        },
        PlanCase {
            what: "unloads a surplus replica of a busy model first",
            engines: vec![
                engine("e1", &["busy", "m1"], &["m3"]),
                engine("e2", &["busy"], &[]),
                engine("e3", &["busy"], &[]),
            ],
            demands: vec![
                demand("busy", 0, 9.0, just_now),
                demand("m1", 0, 0.1, just_now),
                demand("m3", 1, 0.1, just_now),
            ],
            orders: vec![unload("e1", "busy", "m3")],
        },
        PlanCase {
            what: "loads a model once for a burst of requests",
            engines: vec![
                EngineView {
                    operation: Some(EngineOperation::Load(name("m3"))),
                    ..engine("e1", &[], &["m3"])
                },
                engine("e2", &[], &["m3"]),
            ],
            demands: vec![demand("m3", 30, 0.1, just_now)],
            orders: vec![],
        },
        PlanCase {
            what: "gives no order to an engine whose state is unknown",
            engines: vec![EngineView {
                operation: Some(EngineOperation::Unknown),
                ..engine("e1", &[], &["m3"])
            }],
            demands: vec![demand("m3", 1, 0.1, just_now)],
            orders: vec![],
        },
        PlanCase {
            what: "gives no order to a leaving engine, and loads elsewhere what only it holds",
            engines: vec![
                EngineView { is_ready: false, ..engine("e1", &["busy"], &["busy"]) },
                engine("e2", &[], &["busy"]),
            ],
            demands: vec![demand("busy", 0, 9.0, just_now)],
            orders: vec![load("e2", "busy", 500)],
        },
        PlanCase {
            what: "prefers a busy engine with the weights on disk to a load from the store",
            engines: vec![
                EngineView {
                    operation: Some(EngineOperation::Load(name("m1"))),
                    ..engine("e1", &[], &["m3"])
                },
                engine("e2", &[], &[]),
            ],
            demands: vec![demand("m3", 1, 0.1, just_now)],
            orders: vec![],
        },
        PlanCase {
            what: "loads a second replica of a busy model before requests wait",
            engines: vec![engine("e1", &["busy"], &[]), engine("e2", &[], &["busy"])],
            demands: vec![demand("busy", 0, 9.0, just_now)],
            orders: vec![load("e2", "busy", 500)],
        },
    ];
    check_plans(&cases);
}

#[test]
fn streams_that_resume_get_their_model_at_their_version() {
    let just_now = at(19_900);
    let cases = [
        PlanCase {
            what: "loads a model that another software version holds for a stream that resumes",
            engines: vec![
                engine("e1", &["m1"], &["m2"]),
                EngineView { version: ShortKey::of("v2"), ..engine("e2", &["m2"], &["m2"]) },
                EngineView { version: ShortKey::of("v2"), ..engine("e3", &[], &["m2"]) },
            ],
            demands: vec![
                demand("m2", 0, 0.1, just_now),
                ModelDemand { version: Some(ShortKey::of("v1")), ..demand("m2", 1, 0.0, just_now) },
            ],
            orders: vec![load("e1", "m2", 500)],
        },
        PlanCase {
            what: "loads nothing if the right software version holds the model",
            engines: vec![engine("e1", &["m2"], &[]), engine("e2", &[], &["m2"])],
            demands: vec![
                demand("m2", 0, 0.1, just_now),
                ModelDemand { version: Some(ShortKey::of("v1")), ..demand("m2", 1, 0.0, just_now) },
            ],
            orders: vec![],
        },
    ];
    for case in cases {
        assert_eq!(plan(&case.engines, &case.demands), case.orders, "{}", case.what);
    }
}

#[test]
fn models_of_rate_limited_engines_are_loaded_elsewhere() {
    let just_now = at(19_900);
    check_plans(&[
        PlanCase {
            what: "loads elsewhere a model whose requests wait for a rate-limited engine",
            engines: vec![
                EngineView { is_limited: true, ..engine("e1", &["m1"], &[]) },
                engine("e2", &[], &["m1"]),
            ],
            demands: vec![demand("m1", 1, 0.1, just_now)],
            orders: vec![load("e2", "m1", 500)],
        },
        PlanCase {
            what: "loads a rare model at a rate-limited engine if only that engine has it on disk",
            engines: vec![
                EngineView { is_limited: true, ..engine("e1", &["m1"], &["m2", "m3"]) },
                engine("e2", &[], &["m2"]),
            ],
            demands: vec![demand("m2", 1, 0.1, just_now), demand("m3", 1, 0.1, just_now)],
            orders: vec![load("e2", "m2", 500), load("e1", "m3", 500)],
        },
        PlanCase {
            what: "never loads a busy model at a rate-limited engine",
            engines: vec![
                EngineView { is_limited: true, ..engine("e1", &[], &["busy"]) },
                engine("e2", &[], &[]),
            ],
            demands: vec![demand("busy", 30, 9.0, just_now)],
            orders: vec![],
        },
        PlanCase {
            what: "loads another replica of a busy model if one of its engines is rate-limited",
            engines: vec![
                EngineView { is_limited: true, ..engine("e1", &["busy"], &[]) },
                engine("e2", &["busy"], &[]),
                engine("e3", &["m1"], &["busy"]),
            ],
            demands: vec![demand("busy", 0, 9.0, just_now), demand("m1", 0, 0.1, just_now)],
            orders: vec![load("e3", "busy", 500)],
        },
        PlanCase {
            what: "unloads a busy model with enough other engines at a rate-limited engine",
            engines: vec![
                EngineView { is_limited: true, ..engine("e1", &["busy", "m1"], &["m3"]) },
                engine("e2", &["busy", "m2"], &[]),
                engine("e3", &["busy", "m4"], &[]),
            ],
            demands: vec![
                demand("busy", 0, 9.0, just_now),
                demand("m1", 0, 0.1, just_now),
                demand("m3", 1, 0.1, just_now),
            ],
            orders: vec![unload("e1", "busy", "m3")],
        },
        PlanCase {
            what: "does not move a model without waiting requests off a rate-limited engine",
            engines: vec![
                EngineView { is_limited: true, ..engine("e1", &["m1"], &[]) },
                engine("e2", &["m2"], &["m1"]),
            ],
            demands: vec![demand("m1", 0, 0.1, just_now), demand("m2", 0, 0.1, just_now)],
            orders: vec![],
        },
    ]);
}

fn check_plans(cases: &[PlanCase]) {
    for case in cases {
        assert_eq!(plan(&case.engines, &case.demands), case.orders, "{}", case.what);
    }
}

/// After all engines were replaced by empty ones, loads from the store start with the model that
/// most requests wait for.
#[test]
fn the_store_serves_what_many_wait_for_first() {
    let engines: Vec<EngineView> =
        ["e1", "e2", "e3", "e4", "e5", "e6"].iter().map(|id| engine(id, &[], &[])).collect();
    let mut demands: Vec<ModelDemand> = ["m1", "m2", "m3", "m4", "m5", "m6"]
        .iter()
        .map(|model| ModelDemand { oldest_ms: 3_000, ..demand(model, 1, 0.2, at(19_000)) })
        .collect();
    demands.push(ModelDemand { oldest_ms: 50, ..demand("busy", 30, 20.0, at(20_000)) });
    let (orders, waits) = plan_waits(&engines, &demands);
    assert_eq!(orders.len(), 4, "no more loads than the store serves at full speed");
    assert_eq!(orders[0].action, SwapAction::Load { model: name("busy"), load_ms: 6_000 });
    // The other models get a waiting time of two loads: the one before theirs and their own.
    assert_eq!(waits.len(), 3);
    assert!(waits.iter().all(|(_, ms)| *ms == 12_000), "{waits:?}");
}

struct ForecastCase {
    what: &'static str,
    engines: Vec<EngineView>,
    demands: Vec<ModelDemand>,
    /// The expected waits of the models that get no order.
    waits: Vec<(&'static str, u64)>,
    /// The models that no engine has had room for during 100 ms.
    no_room: Vec<(&'static str, u64)>,
}

/// Guards against requests that wait for a model that nobody loads, and against requests that are
/// refused although an engine is about to have room.
#[test]
fn the_wait_for_a_model_without_an_order_is_forecast() {
    let just_now = at(19_900);
    let full = || engine("e1", &["m1", "m2"], &["m3"]);
    let in_use = || vec![demand("m1", 1, 0.1, just_now), demand("m2", 0, 9.0, just_now)];
    let with = |mut demands: Vec<ModelDemand>, model| {
        demands.push(demand(model, 1, 0.1, just_now));
        demands
    };
    let cases = [
        ForecastCase {
            what: "no model can be evicted",
            engines: vec![full()],
            demands: with(in_use(), "m3"),
            waits: vec![],
            no_room: vec![("m3", 900)],
        },
        ForecastCase {
            what: "no model can be evicted for a load from the store",
            engines: vec![full()],
            demands: with(in_use(), "m4"),
            waits: vec![],
            no_room: vec![("m4", 6_400)],
        },
        ForecastCase {
            what: "an engine with the weights carries out another order",
            engines: vec![EngineView {
                operation: Some(EngineOperation::Load(name("m1"))),
                ..engine("e1", &["m2"], &["m3"])
            }],
            demands: with(in_use(), "m3"),
            waits: vec![("m3", 900)],
            no_room: vec![],
        },
        ForecastCase {
            what: "the state of the engine is unknown",
            engines: vec![EngineView { operation: Some(EngineOperation::Unknown), ..full() }],
            demands: with(in_use(), "m3"),
            waits: vec![("m3", 900)],
            no_room: vec![],
        },
        ForecastCase {
            what: "the model is held by an engine that takes no orders",
            engines: vec![full(), EngineView { is_ready: false, ..engine("e2", &["m3"], &[]) }],
            demands: with(in_use(), "m3"),
            waits: vec![],
            no_room: vec![],
        },
        ForecastCase {
            what: "no engine takes orders",
            engines: vec![EngineView { is_ready: false, ..full() }],
            demands: with(in_use(), "m3"),
            waits: vec![],
            no_room: vec![],
        },
        ForecastCase {
            what: "the rate of the store is used up",
            engines: vec![engine("e1", &[], &[]), engine("e2", &[], &[])],
            demands: with(vec![demand("m5", 2, 0.1, just_now)], "m6"),
            // Of the two loads that are needed, 0.68 came back in the 100 ms before.
            waits: vec![("m5", 6_048), ("m6", 6_195)],
            no_room: vec![],
        },
    ];
    for case in cases {
        let limits = limits(&["m1", "m2", "m3", "m4", "m5", "m6"]);
        let mut planner = SwapPlanner::new(at(20_000));
        let first = planner.plan(at(20_000), &limits, SLOTS, &case.engines, &case.demands);
        assert!(first.no_room.is_empty(), "{}", case.what);
        let plan = planner.plan(at(20_100), &limits, SLOTS, &case.engines, &case.demands);
        assert_eq!(plan.orders, [], "{}", case.what);
        let named = |forecasts: &[(&str, u64)]| -> Vec<_> {
            forecasts.iter().map(|(model, ms)| (name(model), *ms)).collect()
        };
        assert_eq!(plan.waits, named(&case.waits), "{}", case.what);
        assert_eq!(plan.no_room, named(&case.no_room), "{}", case.what);
    }
}

/// Guards against a load that requests were told to wait for and that later demand takes the place
/// of.
#[test]
fn a_promised_load_precedes_demand_that_is_not_more_urgent() {
    struct Case {
        what: &'static str,
        is_promised: bool,
        other_priority: u8,
        first: &'static str,
    }
    let cases = [
        Case { what: "not promised", is_promised: false, other_priority: 1, first: "busy" },
        Case { what: "promised", is_promised: true, other_priority: 1, first: "m3" },
        Case { what: "less urgent demand", is_promised: true, other_priority: 2, first: "m3" },
        Case { what: "more urgent demand", is_promised: true, other_priority: 0, first: "busy" },
    ];
    for Case { what, is_promised, other_priority, first } in cases {
        let just_now = at(19_900);
        let demands = [
            ModelDemand { priority: other_priority, ..demand("busy", 30, 1.0, just_now) },
            ModelDemand { priority: 1, is_promised, ..demand("m3", 1, 0.1, just_now) },
        ];
        let orders = plan(&[engine("e1", &["m1"], &["busy", "m3"])], &demands);
        assert_eq!(orders, [load("e1", first, 500)], "{what}");
    }
}

proptest! {
    #[test]
    fn no_engine_is_ordered_to_hold_more_than_it_can(
        held in prop::collection::vec(prop::sample::subsequence(vec!["m1", "m2", "m3", "m4"], 0..=2), 1..5),
        waiting in prop::collection::vec(0_u32..4, 8),
        rates in prop::collection::vec(0.0..12.0_f64, 8),
        free_mb in prop::collection::vec(0_u64..210, 5),
    ) {
        let ids = ["e1", "e2", "e3", "e4", "e5"];
        let engines: Vec<EngineView> = held
            .iter()
            .enumerate()
            .map(|(index, held)| {
                let view = engine(ids[index], held, &["m5", "m6"]);
                EngineView { free_mb: view.free_mb.min(free_mb[index]), ..view }
            })
            .collect();
        let demands: Vec<ModelDemand> = ["busy", "m1", "m2", "m3", "m4", "m5", "m6", "m7"]
            .iter()
            .zip(waiting.iter().zip(&rates))
            .map(|(model, (waiting, rate))| demand(model, *waiting, *rate, at(19_000)))
            .collect();
        let orders = plan(&engines, &demands);
        for (index, order) in orders.iter().enumerate() {
            let view = engines.iter().find(|view| view.id == order.engine).unwrap();
            prop_assert!(orders[..index].iter().all(|other| other.engine != order.engine));
            match &order.action {
                SwapAction::Load { model, .. } => {
                    prop_assert!(view.free_mb >= 100);
                    prop_assert!(view.residents.iter().all(|resident| resident.model != *model));
                }
                SwapAction::Unload { model, .. } => {
                    prop_assert!(view.residents.iter().any(|resident| resident.model == *model));
                }
            }
        }
    }
}

fn want(adapter: &str) -> AdapterWant {
    AdapterWant { model: name("m1"), adapter: name(adapter) }
}

#[test]
fn adapters_keep_within_their_slots_and_the_longest_idle_is_unloaded() {
    let mut planner = AdapterPlanner::default();
    let engines = [AdapterEngine { id: name("e1"), free_mb: 10, utilization: 0.0 }];
    let place = |planner: &mut AdapterPlanner, ms: u64, adapter: &str| {
        let step = planner.plan(at(ms), &want(adapter), &engines, 2, 1);
        if let Some((engine, AdapterStep::Load)) = &step {
            planner.ordered(at(ms), engine, &want(adapter));
        }
        step.map(|(_, step)| step)
    };
    assert_eq!(place(&mut planner, 0, "a1"), Some(AdapterStep::Load));
    assert_eq!(place(&mut planner, 10, "a1"), None, "its load is ordered already");
    assert_eq!(place(&mut planner, 100, "a2"), Some(AdapterStep::Load));
    assert_eq!(place(&mut planner, 150, "a3"), None, "both were used too recently to be unloaded");
    planner.used(at(1_000), want("a1").key());
    assert_eq!(place(&mut planner, 1_100, "a3"), Some(AdapterStep::Unload(want("a2"))));
}

#[test]
fn placement_changes_are_sent_from_the_version_that_the_receiver_lacks() {
    let mut log = PlacementLog::default();
    let key = ShortKey::of("m1");
    assert!(log.note(&name("e1"), key, true));
    assert!(!log.note(&name("e1"), key, true), "the placement is known");
    assert!(log.note(&name("e2"), key, true));
    assert!(log.note(&name("e1"), key, false));
    let versions = |since: u64| {
        log.changes_since(since).iter().map(|change| change.version).collect::<Vec<_>>()
    };
    assert_eq!(versions(0), [2, 3], "only the last change of an engine and model is kept");
    assert_eq!(versions(2), [3]);
    assert_eq!(versions(3), [0_u64; 0]);
}

struct SyncCase {
    what: &'static str,
    /// The network delay of a message.
    delay_ms: u64,
    /// Until when all messages with placements are lost.
    lost_until_ms: u64,
    /// The most placements that may be sent in total.
    sent_max: usize,
}

/// The placements known to a host that takes over giving orders, and the number and interval of the
/// changes after that.
const INITIAL_PLACEMENTS: u32 = 900;
const CHANGES: u32 = 200;
const CHANGE_INTERVAL_MS: u64 = 10;
/// The most placements in a message, the interval between messages, and the interval between the
/// requests of the other host.
const MESSAGE_CHANGES_MAX: usize = 500;
const SEND_INTERVAL_MS: u64 = 8;
const REQUEST_INTERVAL_MS: u64 = 50;
const TOKEN: u64 = 7;

#[test]
fn changes_are_not_resent_many_times() {
    let cases = [
        SyncCase { what: "a fast network", delay_ms: 1, lost_until_ms: 0, sent_max: 1_500 },
        SyncCase { what: "a slow network", delay_ms: 60, lost_until_ms: 0, sent_max: 2_500 },
        SyncCase { what: "a congested network", delay_ms: 400, lost_until_ms: 0, sent_max: 9_000 },
        SyncCase { what: "lost messages", delay_ms: 1, lost_until_ms: 1_000, sent_max: 7_000 },
    ];
    for case in cases {
        let mut log = PlacementLog::default();
        for index in 0..INITIAL_PLACEMENTS {
            log.note(&name("engine"), ShortKey(index), true);
        }
        let (mut log_cursor, mut requester) = (LogCursor::default(), PlacementLog::default());
        let mut to_requester: Vec<(u64, u64, Vec<ReportedPlacement>)> = Vec::new();
        let mut to_holder: Vec<(u64, u64)> = Vec::new();
        let mut names = INITIAL_PLACEMENTS..INITIAL_PLACEMENTS + CHANGES;
        let mut sent = 0;
        for ms in 1..=5_000 {
            if ms % CHANGE_INTERVAL_MS == 0
                && let Some(index) = names.next()
            {
                log.note(&name("engine"), ShortKey(index), true);
            }
            if ms % REQUEST_INTERVAL_MS == 0 {
                to_holder.push((ms + case.delay_ms, requester.version()));
            }
            for (_, version) in to_holder.extract_if(.., |(at, _)| *at <= ms) {
                log_cursor.heard((TOKEN, version));
            }
            if ms % SEND_INTERVAL_MS == 0 {
                let (token, version) = log_cursor.after(at(ms));
                let version = if token == TOKEN { version } else { 0 };
                let changes = log.changes_since(version);
                let changes = changes[..changes.len().min(MESSAGE_CHANGES_MAX)].to_vec();
                if let Some(last) = changes.last() {
                    sent += changes.len();
                    log_cursor.tell(at(ms), (TOKEN, last.version));
                    if ms > case.lost_until_ms {
                        to_requester.push((ms + case.delay_ms, version, changes));
                    }
                }
            }
            for (_, after, changes) in to_requester.extract_if(.., |(at, _, _)| *at <= ms) {
                // Changes that follow a lost message are dropped, since they would leave a gap.
                if after <= requester.version() {
                    requester.take(&changes);
                }
            }
        }
        assert_eq!(requester.changes_since(0), log.changes_since(0), "{}", case.what);
        assert!(sent <= case.sent_max, "{}: {sent} placements sent", case.what);
    }
}
