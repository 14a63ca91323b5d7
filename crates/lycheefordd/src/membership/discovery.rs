use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Progress of discovering the hosts and peers after the start of this daemon.
#[derive(Debug, Default)]
pub(crate) struct Discovery {
    contacted_peers: AtomicBool,
    fleet_revision: AtomicU64,
}

impl Discovery {
    /// Returns the platform revision up to which the host list is known to be complete.
    pub(crate) fn fleet_revision(&self) -> u64 {
        self.fleet_revision.load(Ordering::Acquire)
    }

    pub(crate) fn set_fleet_revision(&self, revision: u64) {
        self.fleet_revision.store(revision, Ordering::Release);
    }

    pub(super) fn has_contacted_peers(&self) -> bool {
        self.contacted_peers.load(Ordering::Acquire)
    }

    pub(super) fn set_contacted_peers(&self) {
        self.contacted_peers.store(true, Ordering::Release);
    }
}
