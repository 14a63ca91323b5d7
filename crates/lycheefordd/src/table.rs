use std::sync::{Mutex, MutexGuard, PoisonError};

/// Mutable state that the tasks of a daemon share, behind a mutex.
#[derive(Debug, Default)]
pub(crate) struct Table<T>(Mutex<T>);

impl<T> Table<T> {
    pub(crate) fn new(table: T) -> Table<T> {
        Table(Mutex::new(table))
    }

    /// Locks the table. A panic in a task that held the lock does not make the table unusable.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
