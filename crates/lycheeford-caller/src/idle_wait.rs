use std::time::{Duration, Instant};

/// The interval at which an idle connection is checked for a changed idle limit, and the time for
/// which its caller may still go by a higher one.
const CHECK: Duration = Duration::from_secs(5);

/// How long a connection may wait for a request while the idle limit may change.
#[derive(Debug)]
pub(crate) struct IdleWait {
    since: Instant,
    limit: Duration,
    close_at: Instant,
}

impl IdleWait {
    /// Returns the wait of a connection that is idle from `now` on.
    pub(crate) fn new(now: Instant, limit_ms: u64) -> IdleWait {
        let limit = Duration::from_millis(limit_ms);
        IdleWait { since: now, limit, close_at: now + limit }
    }

    /// Applies the limit in force.
    ///
    /// A caller that doesn't know a lowered limit yet may just be using the connection again, so
    /// that it is closed no sooner than after another check, as far as the limit before allows.
    pub(crate) fn apply(&mut self, now: Instant, limit_ms: u64) {
        let limit = Duration::from_millis(limit_ms);
        let close_at = self.since + limit;
        if limit < self.limit {
            self.close_at = close_at.max(now + CHECK).min(self.close_at);
        } else if limit > self.limit {
            self.close_at = close_at;
        }
        self.limit = limit;
    }

    /// Returns how long to wait until the limit is applied again; zero if the time is over.
    pub(crate) fn next_check_ms(&self, now: Instant) -> u64 {
        let left = self.close_at.saturating_duration_since(now).min(CHECK);
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }
}
