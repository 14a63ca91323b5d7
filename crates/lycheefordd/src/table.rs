use std::sync::{Mutex, MutexGuard, PoisonError};

/// A table that the tasks of a daemon share.
#[derive(Debug, Default)]
pub(crate) struct Table<T>(Mutex<T>);

impl<T> Table<T> {
    pub(crate) fn new(table: T) -> Table<T> {
        Table(Mutex::new(table))
    }

    /// Returns the table, which stays whole if a task that had it panicked.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
