//! Tests of the choice of targets, the readiness estimates and the retry budget.

use lycheeford_policy::{Configuration, Model, Name, Readiness, RetryBudget, Router, TimeMs};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: TimeMs = TimeMs::from_ms(10_000);

fn router(targets: &[&str]) -> Router {
    let mut router = Router::new();
    for target in targets {
        router.set_replica("model", target);
    }
    router
}

fn choose(router: &mut Router, hashes: &[u64]) -> String {
    let target = router.choose(NOW, "model", hashes, &[]).expect("a target");
    router.started(&target);
    target.to_string()
}

#[test]
fn a_prompt_is_routed_to_the_target_that_has_its_prefix_cached() {
    let mut router = router(&["a", "b", "c", "d"]);
    let first = choose(&mut router, &[1, 2, 3]);
    for hash in 10..20 {
        router.finished(&first);
        assert_eq!(choose(&mut router, &[1, 2, hash]), first);
    }
}

#[test]
fn a_loaded_target_is_not_chosen_for_its_cached_prefix() {
    let mut router = router(&["a", "b"]);
    let first = choose(&mut router, &[1]);
    for _ in 0..10 {
        router.started(&first);
    }
    assert_ne!(choose(&mut router, &[1]), first);
}

#[test]
fn hosts_with_the_same_outdated_report_spread_their_requests() {
    let choose_once = |seed: u64| {
        let mut router = Router::with_seed(seed);
        for (target, running) in [("a", 0), ("b", 5), ("c", 5), ("d", 5)] {
            router.set_replica("model", target);
            router.observe_load(NOW, target, running, 0);
        }
        choose(&mut router, &[])
    };
    let to_idle = (0..40).map(choose_once).filter(|target| target == "a").count();
    assert!((8..=30).contains(&to_idle), "{to_idle} of 40 requests went to the idle target");
}

#[test]
fn a_host_counts_the_requests_it_started_since_the_report() {
    let mut router = router(&["a", "b"]);
    router.observe_load(NOW, "a", 0, 0);
    router.observe_load(NOW, "b", 5, 0);
    let chosen: Vec<String> = (0..15).map(|_| choose(&mut router, &[])).collect();
    let to_idle = chosen.iter().filter(|target| *target == "a").count();
    assert!((9..=11).contains(&to_idle), "{to_idle} of 15 requests went to the idle target");
}

#[test]
fn the_coordinators_readiness_estimate_is_used_until_it_expires() {
    let mut readiness = Readiness::new();
    let model = Model {
        name: Name::from("model"),
        memory_bytes: 1,
        replicas_max: 1,
        load_remote_ms: 500,
        load_disk_ms: 100,
        min_bytes_per_token: 1,
        customers: Vec::new(),
    };
    readiness.configure(&Configuration { models: vec![model], ..Configuration::default() });
    let cold_ms = readiness.ready_in_ms(NOW, "model");
    assert!(cold_ms >= Some(500), "{cold_ms:?}");
    readiness.expect(NOW, "model", 2_000);
    assert_eq!(readiness.ready_in_ms(NOW + 500, "model"), Some(1_500));
    assert_eq!(readiness.ready_in_ms(NOW + 2_500, "model"), Some(0));
    assert_eq!(readiness.ready_in_ms(NOW + 60_000, "model"), cold_ms);
    assert_eq!(readiness.ready_in_ms(NOW, "unknown"), None);
}

#[test]
fn retries_stay_within_the_budgeted_share_of_requests() {
    let mut budget = RetryBudget::new(0.1);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw(NOW));
    }
    assert!((90..=100).contains(&retries), "{retries} retries of 1,000 requests");
    assert!(!budget.withdraw(NOW));
    assert!(budget.withdraw(NOW + 1_000));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// A chosen target has the replica and isn't excluded, and one is chosen if any such target
    /// exists.
    #[test]
    fn a_choice_is_a_usable_replica(
        steps in prop::collection::vec((0..5u8, 0..4usize, 0..6usize), 1..200),
    ) {
        let names: Vec<Name> = (0..4).map(|index| Name::from(format!("model-{index}"))).collect();
        let targets: Vec<Name> =
            (0..6).map(|index| Name::from(format!("target-{index}"))).collect();
        let mut router = Router::new();
        let mut replicas: Vec<(usize, usize)> = Vec::new();
        for (kind, name, target) in steps {
            match kind {
                0 | 1 => {
                    router.set_replica(&names[name], &targets[target]);
                    replicas.push((name, target));
                }
                2 => {
                    router.remove_replica(&names[name], &targets[target]);
                    replicas.retain(|replica| *replica != (name, target));
                }
                3 => {
                    router.remove_target(&targets[target]);
                    replicas.retain(|replica| replica.1 != target);
                }
                _ => router.observe_load(NOW, &targets[target], name as u32, 1),
            }
            let excluded = [targets[target].clone()];
            let usable = replicas.iter().filter(|replica| replica.0 == name && replica.1 != target);
            let usable: Vec<&Name> = usable.map(|replica| &targets[replica.1]).collect();
            match router.choose(NOW, &names[name], &[name as u64], &excluded) {
                Some(chosen) => prop_assert!(usable.contains(&&chosen)),
                None => prop_assert!(usable.is_empty()),
            }
        }
    }
}
