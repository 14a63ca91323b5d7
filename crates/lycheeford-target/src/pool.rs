use std::mem;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use async_std::task;

use crate::TargetLimits;
use crate::link::Link;

/// A pool of idle connections to targets.
///
/// The connection that became idle last is used first, so that surplus ones expire and close.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    table: Arc<Mutex<Table>>,
    idle_max: Duration,
    per_target_max: usize,
}

#[derive(Debug, Default)]
struct Table {
    /// Sorted by address; each target has at least one idle connection.
    targets: Vec<IdlePerTarget>,
    sweeper: Sweeper,
}

#[derive(Debug)]
struct IdlePerTarget {
    address: SocketAddr,
    /// In the order in which the connections became idle.
    idle: Vec<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    link: Link,
    since: Instant,
    /// How long the connection may stay idle.
    limit: Duration,
}

impl IdleConnection {
    fn is_unexpired(&self) -> bool {
        self.since.elapsed() < self.limit
    }
}

/// Whether the task that closes expired connections is running.
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

    /// Removes and returns a connection to `address` that hasn't expired and can be reused.
    ///
    /// Bytes after the last answer would be read as the next answer, so a
    /// connection with any is closed instead. A connection that has carried the
    /// request with this id stays in the pool for other requests.
    pub(crate) fn take(&self, address: SocketAddr, id: Option<&str>) -> Option<Link> {
        loop {
            let mut idle = self.remove_last(address, id)?;
            if idle.is_unexpired() && idle.link.is_reusable() {
                return Some(idle.link);
            }
        }
    }

    /// Adds a connection whose last answer was read completely.
    ///
    /// It expires after `idle_ms_max` or the pool's own limit, whichever is shorter.
    /// Closes it instead if it has carried as many requests as it may, or if the pool already holds
    /// the most connections to the target.
    pub(crate) fn put(&self, address: SocketAddr, link: Link, idle_ms_max: u64) {
        if link.is_worn_out() {
            return;
        }
        let mut table = lock(&self.table);
        let limit = self.idle_max.min(Duration::from_millis(idle_ms_max));
        let idle = IdleConnection { link, since: Instant::now(), limit };
        match table.position(address) {
            Ok(index) if table.targets[index].idle.len() >= self.per_target_max => return,
            Ok(index) => table.targets[index].idle.push(idle),
            Err(_) if self.per_target_max == 0 => return,
            Err(index) => table.targets.insert(index, IdlePerTarget { address, idle: vec![idle] }),
        }
        if mem::replace(&mut table.sweeper, Sweeper::Running) == Sweeper::Stopped {
            task::spawn(sweep(Arc::downgrade(&self.table), self.idle_max));
        }
    }

    /// Removes the idle connections to `address` that the target has closed before they expired, and
    /// returns whether there were any.
    pub(crate) fn remove_closed(&self, address: SocketAddr) -> bool {
        let mut table = lock(&self.table);
        let Ok(index) = table.position(address) else { return false };
        let idle = &mut table.targets[index].idle;
        let is_closed = |idle: &mut IdleConnection| idle.is_unexpired() && !idle.link.is_reusable();
        let closed: Vec<_> = idle.extract_if(.., is_closed).collect();
        if idle.is_empty() {
            table.targets.remove(index);
        }
        // Sockets are closed after the lock is released.
        drop(table);
        !closed.is_empty()
    }

    fn remove_last(&self, address: SocketAddr, id: Option<&str>) -> Option<IdleConnection> {
        let mut table = lock(&self.table);
        let target = table.position(address).ok()?;
        let connections = &mut table.targets[target].idle;
        let is_usable = |idle: &IdleConnection| id.is_none_or(|id| !idle.link.has_carried(id));
        let last = connections.iter().rposition(is_usable)?;
        let idle = connections.remove(last);
        if connections.is_empty() {
            table.targets.remove(target);
        }
        Some(idle)
    }
}

impl Table {
    fn position(&self, address: SocketAddr) -> Result<usize, usize> {
        self.targets.binary_search_by_key(&address, |target| target.address)
    }

    /// Removes and returns the expired connections.
    fn remove_expired(&mut self) -> Vec<IdleConnection> {
        let mut expired = Vec::new();
        for target in &mut self.targets {
            expired.extend(target.idle.extract_if(.., |idle| !idle.is_unexpired()));
        }
        self.targets.retain(|target| !target.idle.is_empty());
        expired
    }
}

/// Closes expired connections until the pool is empty.
async fn sweep(table: Weak<Mutex<Table>>, idle_max: Duration) {
    loop {
        task::sleep(idle_max).await;
        let Some(table) = table.upgrade() else { return };
        let mut table = lock(&table);
        let expired = table.remove_expired();
        if table.targets.is_empty() {
            table.sweeper = Sweeper::Stopped;
            return;
        }
        // Sockets are closed after the lock is released.
        drop(table);
        drop(expired);
    }
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
