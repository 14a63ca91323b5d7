use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limits the memory that all bodies take together.
///
/// A limit for each body isn't enough, since many connections may each hold a
/// body at the same time.
///
/// ```
/// use std::sync::Arc;
///
/// use lycheeford_http::BodyBudget;
///
/// let budget = Arc::new(BodyBudget::new(100));
/// let mut first = budget.reservation();
/// assert_eq!(first.grow(80), Some(()));
/// assert_eq!(budget.reservation().grow(80), None);
/// drop(first);
/// assert_eq!(budget.reservation().grow(80), Some(()));
/// ```
#[derive(Debug)]
pub struct BodyBudget {
    free_bytes: AtomicUsize,
}

impl BodyBudget {
    /// Returns a budget with `total_bytes` available.
    pub fn new(total_bytes: usize) -> BodyBudget {
        BodyBudget { free_bytes: AtomicUsize::new(total_bytes) }
    }

    /// Returns an empty reservation, which releases its bytes when it is dropped.
    pub fn reservation(self: &Arc<BodyBudget>) -> Reservation {
        Reservation { budget: Arc::clone(self), held_bytes: 0 }
    }
}

/// The memory reserved for one body.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<BodyBudget>,
    held_bytes: usize,
}

impl Reservation {
    /// Returns how many bytes are reserved.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Reserves `bytes` more, or returns `None` if that many aren't available.
    pub fn grow(&mut self, bytes: usize) -> Option<()> {
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
