//! The tokens that a customer receives in any window stay within rate x time + burst.
//!
//! Six hosts hold shares, over a store that loses answers and delays writes and a network that
//! loses, duplicates, delays and reorders messages; hosts are paused, crash, restart without state,
//! leave and join.

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
    Claim { host: usize, write: Write },
    Give { host: usize, to: usize, ppm: u32, write: Write },
    RetryGive { host: usize, write: Write },
    Read { host: usize },
    ReadStale { host: usize, pick: usize },
    TakeEffect { pick: usize },
    Crash { host: usize },
    Restart { host: usize },
    Leave { host: usize },
    Join { host: usize },
}

/// How a write to the store ends.
#[derive(Debug, Clone, Copy)]
enum Write {
    Answered,
    LostAfterEffect,
    LostBeforeEffect,
    TakesEffectLater,
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let host = 0..HOSTS;
    let pick = 0..64_usize;
    let write = prop_oneof![
        4 => Just(Write::Answered),
        1 => Just(Write::LostAfterEffect),
        1 => Just(Write::LostBeforeEffect),
        1 => Just(Write::TakesEffectLater),
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
        5 => (host.clone(), write.clone()).prop_map(|(host, write)| Op::Claim { host, write }),
        5 => (host.clone(), 0..HOSTS, 1..500_000_u32, write.clone())
            .prop_map(|(host, to, ppm, write)| Op::Give { host, to, ppm, write }),
        1 => (host.clone(), write).prop_map(|(host, write)| Op::RetryGive { host, write }),
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
