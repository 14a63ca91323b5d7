use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bounds the memory that all request bodies hold together.
///
/// A bound for each body isn't enough: many connections at once could still
/// hold as many bodies.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    free_bytes: AtomicUsize,
}

impl BodyBudget {
    pub(crate) fn new(total_bytes: usize) -> BodyBudget {
        BodyBudget { free_bytes: AtomicUsize::new(total_bytes) }
    }

    /// Returns an empty reservation, which gives its bytes back when dropped.
    pub(crate) fn reservation(self: &Arc<BodyBudget>) -> Reservation {
        Reservation { budget: Arc::clone(self), held_bytes: 0 }
    }
}

/// The memory that one body holds.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<BodyBudget>,
    held_bytes: usize,
}

impl Reservation {
    /// Returns the bytes held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Takes `bytes` more, or returns `None` if that many aren't free.
    pub(crate) fn grow(&mut self, bytes: usize) -> Option<()> {
        self.budget
            .free_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| free.checked_sub(bytes))
            .ok()?;
        self.held_bytes += bytes;
        Some(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.free_bytes.fetch_add(self.held_bytes, Ordering::Relaxed);
    }
}
