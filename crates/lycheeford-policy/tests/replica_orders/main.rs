//! Targets load only replicas that were decided, memory is never overcommitted, and once faults
//! stop all unused memory becomes free.
//!
//! Three daemons run concurrently on a store whose answers get lost and whose writes take effect
//! late; they pause between recording and sending an order, and crash. Two targets restart, fail
//! loads and get orders late; one of them ignores fences.

mod checks;
mod targets;
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{DAEMONS, NAMES, TARGETS, World};

#[derive(Debug, Clone)]
enum Op {
    Decide { daemon: usize, name: usize, target: usize, write: Write },
    Recover { daemon: usize },
    RecordLoad { daemon: usize, pick: usize, write: Write },
    RecordUnload { daemon: usize, name: usize, target: usize, write: Write },
    Reread { daemon: usize },
    Send { daemon: usize, pick: usize },
    GiveUp { daemon: usize, pick: usize },
    Deliver { pick: usize },
    LoseOrder { pick: usize },
    SetAside { daemon: usize, target: usize },
    ReadRecord { daemon: usize, target: usize },
    ReadStatus { daemon: usize, target: usize },
    Resolve { daemon: usize, target: usize, write: Write },
    Cancel { daemon: usize, name: usize, write: Write },
    Remove { daemon: usize, name: usize, write: Write },
    Clear { daemon: usize, name: usize, target: usize },
    TakeEffect { pick: usize },
    Crash { daemon: usize },
    Restart { daemon: usize },
    Progress { target: usize, succeeds: bool },
    RestartTarget { target: usize },
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
    let daemon = || 0..DAEMONS;
    let name = || 0..NAMES.len();
    let target = || 0..TARGETS;
    let pick = || 0..16_usize;
    let write = || {
        prop_oneof![
            6 => Just(Write::Answered),
            1 => Just(Write::LostAfterEffect),
            1 => Just(Write::LostBeforeEffect),
            1 => Just(Write::TakesEffectLater),
        ]
    };
    let load = prop_oneof![
        (daemon(), name(), target(), write()).prop_map(|(daemon, name, target, write)| {
            Op::Decide { daemon, name, target, write }
        }),
        daemon().prop_map(|daemon| Op::Recover { daemon }),
        (daemon(), pick(), write()).prop_map(|(daemon, pick, write)| Op::RecordLoad {
            daemon,
            pick,
            write
        }),
        (daemon(), name(), target(), write()).prop_map(|(daemon, name, target, write)| {
            Op::RecordUnload { daemon, name, target, write }
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
        3 => (daemon(), target(), write())
            .prop_map(|(daemon, target, write)| Op::Resolve { daemon, target, write }),
        3 => (daemon(), name(), write())
            .prop_map(|(daemon, name, write)| Op::Cancel { daemon, name, write }),
        3 => (daemon(), name(), write())
            .prop_map(|(daemon, name, write)| Op::Remove { daemon, name, write }),
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
    fn loaded_replicas_are_decided_and_fit_into_memory(ops in ops()) {
        let mut world = World::new();
        for op in &ops {
            world.step(op);
            world.check();
        }
        world.settle();
    }
}
