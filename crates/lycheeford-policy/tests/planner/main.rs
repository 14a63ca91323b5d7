//! The planner keeps its limits over random histories of demand, loads and target failures.

mod world;

use lycheeford_policy::{Activity, Demand, LoadLimits, Name, PlanAction, Planner, ReplicaState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{ADAPTERS, LOAD_REMOTE_MS, MODELS, World, name, step};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    #[test]
    fn limits_hold_and_every_demand_gets_an_answer(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::new();
        let mut planner = Planner::new(LoadLimits::default());
        planner.configure(&world.configuration);
        world.observe_all(&mut planner);
        for step in &steps {
            world.apply(step, &mut planner);
            let actions = planner.plan(world.now);
            world.execute(&actions);
        }
    }

    #[test]
    fn long_deadline_demand_is_served(names in prop::collection::vec(0..MODELS + ADAPTERS, 1..6)) {
        let mut world = World::new();
        let mut planner = Planner::new(LoadLimits::default());
        planner.configure(&world.configuration);
        world.observe_all(&mut planner);
        let demands: Vec<Demand> = names.iter().map(|index| Demand {
            name: name(*index),
            customer: Name::from("customer-0"),
            class: 0,
            waiting: 1,
            deadline_in_ms: 60_000,
            waited_ms: 0,
        }).collect();
        world.report(&mut planner, 0, demands, Vec::new());
        let mut waiting: Vec<Name> = names.iter().map(|index| name(*index)).collect();
        for _ in 0..1_000 {
            world.execute(&planner.plan(world.now));
            world.advance(&mut planner, 20);
            let ready: Vec<Name> = world.targets.iter().flat_map(|target| &target.replicas)
                .filter(|replica| replica.state == ReplicaState::Ready)
                .map(|replica| replica.name.clone()).collect();
            waiting.retain(|name| !ready.contains(name));
        }
        prop_assert!(waiting.is_empty(), "never ready: {:?}", waiting);
    }
}

fn configured(limits: LoadLimits, demands: Vec<Demand>) -> (World, Planner) {
    let world = World::new();
    let mut planner = Planner::new(limits);
    planner.configure(&world.configuration);
    world.observe_all(&mut planner);
    world.report(&mut planner, 0, demands, Vec::new());
    (world, planner)
}

fn demand(name: &str, customer: &str, deadline_in_ms: u64) -> Demand {
    let (name, customer) = (Name::from(name), Name::from(customer));
    Demand { name, customer, class: 0, waiting: 1, deadline_in_ms, waited_ms: 0 }
}

#[test]
fn a_burst_over_many_hosts_makes_one_load() {
    let (mut world, mut planner) = configured(LoadLimits::default(), Vec::new());
    let mut loads = 0;
    for host in 0..30 {
        world.report(&mut planner, host, vec![demand("model-5", "customer-0", 5_000)], Vec::new());
        let actions = planner.plan(world.now);
        world.execute(&actions);
        loads += actions.iter().filter(|a| matches!(a, PlanAction::Load { .. })).count();
        world.advance(&mut planner, 5);
    }
    assert_eq!(loads, 1);
}

#[test]
fn the_earliest_deadline_loads_first_and_the_others_get_expected_times() {
    let names = ["model-5", "model-6", "model-7"];
    let limits = LoadLimits { store_loads_at_once: 1, ..LoadLimits::default() };
    let demands = vec![
        demand(names[0], "customer-0", 5_000),
        demand(names[1], "customer-0", 2_000),
        demand(names[2], "customer-0", 900),
    ];
    let (world, mut planner) = configured(limits, demands);
    let actions = planner.plan(world.now);
    let loads: Vec<&str> = actions
        .iter()
        .filter_map(|action| match action {
            PlanAction::Load { name, .. } => Some(name.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(loads, ["model-7"]);
    for (name, at_least_ms) in [("model-6", 2 * LOAD_REMOTE_MS), ("model-5", 3 * LOAD_REMOTE_MS)] {
        let expected = actions.iter().find_map(|action| match action {
            PlanAction::Expect { name: other, ready_in_ms } if other.as_str() == name => {
                Some(*ready_in_ms)
            }
            _ => None,
        });
        assert!(expected.is_some_and(|ms| ms >= at_least_ms), "{name}: {expected:?}");
    }
}

#[test]
fn a_refusal_names_a_time_at_which_the_model_is_ready() {
    let limits = LoadLimits { store_loads_at_once: 1, ..LoadLimits::default() };
    let (mut world, mut planner) = configured(
        limits,
        vec![demand("model-5", "customer-0", 5_000), demand("model-6", "customer-1", 100)],
    );
    let actions = planner.plan(world.now);
    world.execute(&actions);
    let retry_after_ms = actions
        .iter()
        .find_map(|action| match action {
            PlanAction::Refuse { retry_after_ms, .. } => Some(*retry_after_ms),
            _ => None,
        })
        .expect("a refusal");
    world.report(&mut planner, 0, Vec::new(), Vec::new());
    for _ in 0..retry_after_ms.div_ceil(20) {
        world.advance(&mut planner, 20);
        world.execute(&planner.plan(world.now));
    }
    let replicas = world.targets.iter().flat_map(|target| &target.replicas);
    let mut ready: Vec<&str> = replicas
        .filter(|replica| replica.state == ReplicaState::Ready)
        .map(|replica| replica.name.as_str())
        .collect();
    ready.sort_unstable();
    assert_eq!(ready, ["model-5", "model-6"]);
}

#[test]
fn an_idle_replica_is_unloaded_and_one_with_running_requests_stays() {
    let (mut world, mut planner) =
        configured(LoadLimits::default(), vec![demand("model-5", "customer-0", 5_000)]);
    let running = Activity { name: name(5), served: 1, running: 1 };
    let mut unloads_at = Vec::new();
    for second in 0..20_000u64 {
        if second == 2 {
            world.report(&mut planner, 0, Vec::new(), vec![running.clone()]);
        }
        if second == 10_000 {
            world.report(&mut planner, 0, Vec::new(), Vec::new());
        }
        let actions = planner.plan(world.now);
        world.execute(&actions);
        if actions.iter().any(|action| matches!(action, PlanAction::Unload { .. })) {
            unloads_at.push(second);
        }
        world.advance(&mut planner, 1_000);
    }
    assert_eq!(unloads_at.len(), 1, "{unloads_at:?}");
    assert!((10_002..13_600).contains(&unloads_at[0]), "{unloads_at:?}");
}

struct OrderCase {
    what: &'static str,
    /// Name, customer, class and deadline of each demand.
    demands: [(&'static str, &'static str, u8, u64); 2],
    first: &'static str,
}

const ORDER_CASES: &[OrderCase] = &[
    OrderCase {
        what: "the lowest class loads first",
        demands: [("model-5", "customer-0", 1, 2_000), ("model-6", "customer-0", 0, 5_000)],
        first: "model-6",
    },
    OrderCase {
        what: "a demand that can't meet its deadline doesn't delay the others",
        demands: [("model-5", "customer-0", 0, 300), ("model-6", "customer-0", 0, 800)],
        first: "model-6",
    },
    OrderCase {
        what: "a customer above its part of the loads goes last",
        demands: [("model-5", "customer-1", 0, 5_000), ("model-6", "customer-2", 0, 5_200)],
        first: "model-6",
    },
];

#[test]
fn loads_start_in_order() {
    for case in ORDER_CASES {
        let limits = LoadLimits { store_loads_at_once: 1, ..LoadLimits::default() };
        let used = vec![demand("model-7", "customer-1", 5_000)];
        let (mut world, mut planner) = configured(limits, used);
        world.execute(&planner.plan(world.now));
        world.report(&mut planner, 0, Vec::new(), Vec::new());
        world.advance(&mut planner, LOAD_REMOTE_MS);
        let demands = case.demands.map(|(name, customer, class, deadline_in_ms)| Demand {
            class,
            ..demand(name, customer, deadline_in_ms)
        });
        world.report(&mut planner, 0, demands.to_vec(), Vec::new());
        let actions = planner.plan(world.now);
        let first = actions.iter().find_map(|action| match action {
            PlanAction::Load { name, .. } => Some(name.as_str()),
            _ => None,
        });
        assert_eq!(first, Some(case.first), "{}", case.what);
    }
}

/// A model that is used every hour is loaded before each use and not kept loaded in between.
#[test]
fn a_periodic_model_is_ready_when_it_is_used() {
    const PERIOD_S: u64 = 3_600;
    const PERIODS: u64 = 20;
    let (mut world, mut planner) = configured(LoadLimits::default(), Vec::new());
    let (mut ready_s, mut ready_at_use) = (0, 0);
    for second in 0..PERIOD_S * PERIODS {
        let is_settled = second >= PERIOD_S * PERIODS / 2;
        let replicas = world.targets.iter().flat_map(|target| &target.replicas);
        let is_ready = replicas.clone().any(|replica| replica.state == ReplicaState::Ready);
        ready_s += u64::from(is_ready && is_settled);
        if second % PERIOD_S == 0 {
            ready_at_use += u64::from(is_ready && is_settled);
            let demands = vec![demand("model-5", "customer-0", 5_000)];
            world.report(&mut planner, 0, demands, Vec::new());
        } else if second % PERIOD_S == 1 {
            world.report(&mut planner, 0, Vec::new(), Vec::new());
        }
        world.execute(&planner.plan(world.now));
        world.advance(&mut planner, 1_000);
    }
    assert_eq!(ready_at_use, PERIODS / 2);
    assert!(ready_s < PERIOD_S * PERIODS / 2 / 5, "ready for {ready_s} s");
}
