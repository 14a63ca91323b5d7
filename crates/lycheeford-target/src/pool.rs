use std::mem;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use async_std::task;

use crate::TargetLimits;
use crate::link::Link;

/// Unused connections to targets.
///
/// The newest connection is used first, so that the others age and close.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    table: Arc<Mutex<Table>>,
    idle_max: Duration,
    per_target_max: usize,
}

#[derive(Debug, Default)]
struct Table {
    /// Sorted by address; no shelf is empty.
    shelves: Vec<Shelf>,
    sweeper: Sweeper,
}

#[derive(Debug)]
struct Shelf {
    address: SocketAddr,
    /// The newest is the last.
    idle: Vec<Idle>,
}

#[derive(Debug)]
struct Idle {
    link: Link,
    since: Instant,
    /// How long it may stay unused.
    limit: Duration,
}

impl Idle {
    fn is_young(&self) -> bool {
        self.since.elapsed() < self.limit
    }
}

/// Whether a task closes the connections that are too old.
#[derive(Debug, Default, PartialEq, Eq)]
enum Sweeper {
    #[default]
    Stopped,
    Running,
}

impl Pool {
    pub(crate) fn new(limits: &TargetLimits) -> Pool {
        Pool {
            table: Arc::default(),
            idle_max: Duration::from_millis(limits.pool_idle_ms_max),
            per_target_max: limits.pool_per_target_max,
        }
    }

    /// Takes a connection to `address` that is young enough and still quiet.
    ///
    /// Bytes beyond the last answer would be taken for the next one, so that a
    /// connection with any is closed.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Link> {
        loop {
            let mut idle = self.pop(address)?;
            if idle.is_young() && idle.link.is_quiet() {
                return Some(idle.link);
            }
        }
    }

    /// Keeps a connection whose last answer was read whole, for `idle_ms_max` at most.
    pub(crate) fn put(&self, address: SocketAddr, link: Link, idle_ms_max: u64) {
        let mut table = lock(&self.table);
        let limit = self.idle_max.min(Duration::from_millis(idle_ms_max));
        let idle = Idle { link, since: Instant::now(), limit };
        match table.position(address) {
            Ok(index) if table.shelves[index].idle.len() >= self.per_target_max => return,
            Ok(index) => table.shelves[index].idle.push(idle),
            Err(_) if self.per_target_max == 0 => return,
            Err(index) => table.shelves.insert(index, Shelf { address, idle: vec![idle] }),
        }
        if mem::replace(&mut table.sweeper, Sweeper::Running) == Sweeper::Stopped {
            task::spawn(sweep(Arc::downgrade(&self.table), self.idle_max));
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        let mut table = lock(&self.table);
        let index = table.position(address).ok()?;
        let idle = table.shelves[index].idle.pop();
        if table.shelves[index].idle.is_empty() {
            table.shelves.remove(index);
        }
        idle
    }
}

impl Table {
    fn position(&self, address: SocketAddr) -> Result<usize, usize> {
        self.shelves.binary_search_by_key(&address, |shelf| shelf.address)
    }

    /// Takes out the connections that are too old.
    fn remove_old(&mut self) -> Vec<Idle> {
        let mut old = Vec::new();
        for shelf in &mut self.shelves {
            old.extend(shelf.idle.extract_if(.., |idle| !idle.is_young()));
        }
        self.shelves.retain(|shelf| !shelf.idle.is_empty());
        old
    }
}

/// Closes old connections until none is left.
async fn sweep(table: Weak<Mutex<Table>>, idle_max: Duration) {
    loop {
        task::sleep(idle_max).await;
        let Some(table) = table.upgrade() else { return };
        let mut table = lock(&table);
        let old = table.remove_old();
        if table.shelves.is_empty() {
            table.sweeper = Sweeper::Stopped;
            return;
        }
        // Sockets are closed without the lock.
        drop(table);
        drop(old);
    }
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
