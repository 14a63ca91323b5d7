//! Loaded never exceeds decided, memory is never overcommitted, and once faults
//! stop every byte that isn't used becomes free.
//!
//! Three daemons race over a store whose answers get lost and whose writes take
//! effect late; they pause between recording and sending an order and die.
//! Two targets restart, fail loads and take orders late; one ignores fences.

mod checks;
mod targets;
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{DAEMONS, NAMES, TARGETS, World};

#[derive(Debug, Clone)]
enum Op {
    Decide { daemon: usize, name: usize, target: usize, fate: Fate },
    Recover { daemon: usize },
    RecordLoad { daemon: usize, pick: usize, fate: Fate },
    RecordUnload { daemon: usize, name: usize, target: usize, fate: Fate },
    Reread { daemon: usize },
    Send { daemon: usize, pick: usize },
    GiveUp { daemon: usize, pick: usize },
    Deliver { pick: usize },
    LoseOrder { pick: usize },
    SetAside { daemon: usize, target: usize },
    ReadRecord { daemon: usize, target: usize },
    ReadStatus { daemon: usize, target: usize },
    Resolve { daemon: usize, target: usize, fate: Fate },
    Cancel { daemon: usize, name: usize, fate: Fate },
    Remove { daemon: usize, name: usize, fate: Fate },
    Clear { daemon: usize, name: usize, target: usize },
    TakeEffect { pick: usize },
    Crash { daemon: usize },
    Restart { daemon: usize },
    Progress { target: usize, succeeds: bool },
    RestartTarget { target: usize },
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
    let daemon = || 0..DAEMONS;
    let name = || 0..NAMES.len();
    let target = || 0..TARGETS;
    let pick = || 0..16_usize;
    let fate = || {
        prop_oneof![
            6 => Just(Fate::Answered),
            1 => Just(Fate::LostAfterEffect),
            1 => Just(Fate::LostBeforeEffect),
            1 => Just(Fate::TakesEffectLater),
        ]
    };
    let load =
        prop_oneof![
            (daemon(), name(), target(), fate())
                .prop_map(|(daemon, name, target, fate)| Op::Decide { daemon, name, target, fate }),
            daemon().prop_map(|daemon| Op::Recover { daemon }),
            (daemon(), pick(), fate()).prop_map(|(daemon, pick, fate)| Op::RecordLoad {
                daemon,
                pick,
                fate
            }),
            (daemon(), name(), target(), fate()).prop_map(|(daemon, name, target, fate)| {
                Op::RecordUnload { daemon, name, target, fate }
            }),
            daemon().prop_map(|daemon| Op::Reread { daemon }),
        ];
    let send = prop_oneof![
        4 => (daemon(), pick()).prop_map(|(daemon, pick)| Op::Send { daemon, pick }),
        1 => (daemon(), pick()).prop_map(|(daemon, pick)| Op::GiveUp { daemon, pick }),
        4 => pick().prop_map(|pick| Op::Deliver { pick }),
        1 => pick().prop_map(|pick| Op::LoseOrder { pick }),
        1 => pick().prop_map(|pick| Op::TakeEffect { pick }),
        4 => (target(), any::<bool>())
            .prop_map(|(target, succeeds)| Op::Progress { target, succeeds }),
    ];
    let settle = prop_oneof![
        3 => (daemon(), target()).prop_map(|(daemon, target)| Op::SetAside { daemon, target }),
        3 => (daemon(), target()).prop_map(|(daemon, target)| Op::ReadRecord { daemon, target }),
        3 => (daemon(), target()).prop_map(|(daemon, target)| Op::ReadStatus { daemon, target }),
        3 => (daemon(), target(), fate())
            .prop_map(|(daemon, target, fate)| Op::Resolve { daemon, target, fate }),
        3 => (daemon(), name(), fate())
            .prop_map(|(daemon, name, fate)| Op::Cancel { daemon, name, fate }),
        3 => (daemon(), name(), fate())
            .prop_map(|(daemon, name, fate)| Op::Remove { daemon, name, fate }),
        3 => (daemon(), name(), target())
            .prop_map(|(daemon, name, target)| Op::Clear { daemon, name, target }),
    ];
    let fault = prop_oneof![
        1 => daemon().prop_map(|daemon| Op::Crash { daemon }),
        2 => daemon().prop_map(|daemon| Op::Restart { daemon }),
        1 => target().prop_map(|target| Op::RestartTarget { target }),
    ];
    let op = prop_oneof![8 => load, 8 => send, 8 => settle, 1 => fault];
    prop::collection::vec(op, 50..500)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 250,
        rng_seed: RngSeed::Fixed(0x10ad),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn loaded_is_decided_and_fits(ops in ops()) {
        let mut world = World::new();
        for op in &ops {
            world.step(op);
            world.check();
        }
        world.settle();
    }
}
