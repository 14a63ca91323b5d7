//! What a customer receives over every window stays within rate x time + burst.
//!
//! Six holders over a store and a network that lose, double, delay and cross
//! whatever they are given; holders are paused, die and come back empty.

mod bound;
mod fleet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fleet::{Fleet, HOSTS};

#[derive(Debug, Clone)]
enum Op {
    Advance(u16),
    Request { host: usize, tokens: u64, lenders: u8 },
    Consume { host: usize, pick: usize, tokens: u64 },
    TopUp { host: usize, pick: usize },
    Finish { host: usize, pick: usize },
    Deliver { pick: usize },
    DeliverAndKeep { pick: usize },
    Drop { pick: usize },
    AskOverdue { host: usize },
    AskInherited { host: usize },
    Claim { host: usize, fate: Fate },
    Give { host: usize, to: usize, ppm: u32, fate: Fate },
    RetryGive { host: usize, fate: Fate },
    Read { host: usize },
    ReadStale { host: usize, pick: usize },
    TakeEffect { pick: usize },
    Crash { host: usize },
    Restart { host: usize },
    Leave { host: usize },
    Join { host: usize },
}

/// What becomes of a write to the store.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    LostAfterEffect,
    LostBeforeEffect,
    TakesEffectLater,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let host = 0..HOSTS;
    let pick = 0..64_usize;
    let fate = prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::LostAfterEffect),
        1 => Just(Fate::LostBeforeEffect),
        1 => Just(Fate::TakesEffectLater),
    ];
    let op = prop_oneof![
        6 => prop_oneof![Just(0), 0..300_u16, 300..20_000_u16].prop_map(Op::Advance),
        12 => (host.clone(), 1..700_u64, any::<u8>())
            .prop_map(|(host, tokens, lenders)| Op::Request { host, tokens, lenders }),
        16 => (host.clone(), pick.clone(), 1..500_u64)
            .prop_map(|(host, pick, tokens)| Op::Consume { host, pick, tokens }),
        2 => (host.clone(), pick.clone()).prop_map(|(host, pick)| Op::TopUp { host, pick }),
        4 => (host.clone(), pick.clone()).prop_map(|(host, pick)| Op::Finish { host, pick }),
        24 => pick.clone().prop_map(|pick| Op::Deliver { pick }),
        6 => pick.clone().prop_map(|pick| Op::DeliverAndKeep { pick }),
        2 => pick.clone().prop_map(|pick| Op::Drop { pick }),
        3 => host.clone().prop_map(|host| Op::AskOverdue { host }),
        3 => host.clone().prop_map(|host| Op::AskInherited { host }),
        5 => (host.clone(), fate.clone()).prop_map(|(host, fate)| Op::Claim { host, fate }),
        5 => (host.clone(), 0..HOSTS, 1..500_000_u32, fate.clone())
            .prop_map(|(host, to, ppm, fate)| Op::Give { host, to, ppm, fate }),
        1 => (host.clone(), fate).prop_map(|(host, fate)| Op::RetryGive { host, fate }),
        3 => host.clone().prop_map(|host| Op::Read { host }),
        1 => (host.clone(), pick.clone()).prop_map(|(host, pick)| Op::ReadStale { host, pick }),
        3 => pick.prop_map(|pick| Op::TakeEffect { pick }),
        1 => host.clone().prop_map(|host| Op::Crash { host }),
        2 => host.clone().prop_map(|host| Op::Restart { host }),
        1 => host.clone().prop_map(|host| Op::Leave { host }),
        1 => host.prop_map(|host| Op::Join { host }),
    ];
    prop::collection::vec(op, 50..400)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(0x5afe),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_exceeds_rate_and_burst(ops in ops()) {
        let mut fleet = Fleet::new();
        for op in &ops {
            fleet.step(op);
            fleet.check();
        }
    }
}
