//! Checks that hold after each step, and once faults have stopped.

use lycheeford_policy::Name;

use crate::world::{CAPACITY_BYTES, DAEMONS, NAMES, TARGETS, World, model, target_name};
use crate::{Op, Write};

/// The rounds after which all unused memory must be free.
const SETTLE_ROUNDS: usize = 2;

impl World {
    pub fn check(&self) {
        for (target, engine) in self.engines.iter().enumerate() {
            let used: u64 = engine.status.loaded.iter().map(|loaded| loaded.memory_bytes).sum();
            assert!(used <= CAPACITY_BYTES, "memory of engine-{target} is overcommitted");
        }
        for (name, (_, set)) in self.sets.iter().enumerate() {
            assert!(set.replicas.len() <= NAMES[name].2 as usize, "too many replicas decided");
            for (target, engine) in self.engines.iter().enumerate() {
                let is_loaded = engine.status.loaded.iter().any(|held| held.name == model(name));
                let is_decided = set.on_target(&target_name(target)).is_some();
                assert!(
                    is_decided || !is_loaded,
                    "name {name} is loaded on target {target} but not decided"
                );
            }
        }
    }

    /// Stops all faults and checks that the memory of names that aren't loaded becomes free.
    pub fn settle(&mut self) {
        self.delayed.clear();
        for daemon in 0..DAEMONS {
            self.crash(daemon);
            self.restart(daemon);
        }
        (0..TARGETS).for_each(|target| self.progress(target, true));
        for _ in 0..SETTLE_ROUNDS {
            for target in 0..TARGETS {
                for op in [
                    Op::ReadRecord { daemon: 0, target },
                    Op::ReadStatus { daemon: 0, target },
                    Op::Resolve { daemon: 0, target, write: Write::Answered },
                ] {
                    self.step(&op);
                }
            }
            for name in 0..NAMES.len() {
                self.cancel(name, Write::Answered);
                self.remove(name, Write::Answered);
                for target in 0..TARGETS {
                    self.step(&Op::Clear { daemon: 0, name, target });
                }
            }
            self.check();
        }
        for (target, (_, record)) in self.records.iter().enumerate() {
            let status = &self.engines[target].status;
            let mut loaded: Vec<&Name> = status.loaded.iter().map(|held| &held.name).collect();
            loaded.sort_unstable();
            let reserved: Vec<&Name> = record.reservations.iter().map(|held| &held.name).collect();
            assert_eq!(
                reserved, loaded,
                "engine-{target} has reservations for names that aren't loaded"
            );
            assert_eq!(record.orders().count() + record.cancelled.len(), 0);
        }
        let decided: usize = self.sets.iter().map(|(_, set)| set.replicas.len()).sum();
        let loaded: usize = self.engines.iter().map(|engine| engine.status.loaded.len()).sum();
        assert_eq!(decided, loaded, "replicas that aren't loaded are still decided");
    }
}
