use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// How far this daemon has come in finding the others.
#[derive(Debug, Default)]
pub(crate) struct Presence {
    met_peers: AtomicBool,
    fleet_revision: AtomicU64,
}

impl Presence {
    /// Returns the revision at which the list of hosts was last known to be whole.
    pub(crate) fn fleet_revision(&self) -> u64 {
        self.fleet_revision.load(Ordering::Acquire)
    }

    pub(crate) fn set_fleet_revision(&self, revision: u64) {
        self.fleet_revision.store(revision, Ordering::Release);
    }

    pub(super) fn has_met_peers(&self) -> bool {
        self.met_peers.load(Ordering::Acquire)
    }

    pub(super) fn set_met_peers(&self) {
        self.met_peers.store(true, Ordering::Release);
    }
}
