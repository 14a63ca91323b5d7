use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The requests that run, and whether the daemon takes new ones.
#[derive(Debug, Default)]
pub(crate) struct Running {
    draining: AtomicBool,
    requests: Arc<AtomicU64>,
}

/// Counts a request as running while it lives.
#[derive(Debug)]
pub(crate) struct RunningRequest(Arc<AtomicU64>);

impl Running {
    /// Starts to drain and returns whether this call started it.
    pub(crate) fn start_draining(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn request_started(&self) -> RunningRequest {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RunningRequest(Arc::clone(&self.requests))
    }

    pub(crate) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Acquire)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
