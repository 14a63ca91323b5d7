use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the calls to the platform by operation.
#[derive(Debug, Default)]
pub struct CallCounters {
    gets: AtomicU64,
    lists: AtomicU64,
    puts: AtomicU64,
    deletes: AtomicU64,
    watches: AtomicU64,
    failures: AtomicU64,
}

impl CallCounters {
    /// Returns the counts so far.
    pub fn calls(&self) -> Calls {
        Calls {
            gets: self.gets.load(Ordering::Relaxed),
            lists: self.lists.load(Ordering::Relaxed),
            puts: self.puts.load(Ordering::Relaxed),
            deletes: self.deletes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn count(&self, operation: Operation) {
        let counter = match operation {
            Operation::Get => &self.gets,
            Operation::List => &self.lists,
            Operation::Put => &self.puts,
            Operation::Delete => &self.deletes,
            Operation::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }
}

/// A snapshot of [`CallCounters`]: the calls by operation, and how many got no answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of one object.
    pub gets: u64,
    /// Lists of a kind.
    pub lists: u64,
    /// Conditional puts.
    pub puts: u64,
    /// Conditional deletes.
    pub deletes: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
    /// Calls of any operation that got no answer.
    pub failures: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Operation {
    Get,
    List,
    Put,
    Delete,
    Watch,
}

impl Operation {
    pub(crate) fn is_write(self) -> bool {
        matches!(self, Operation::Put | Operation::Delete)
    }
}
