use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lycheeford_policy::Name;
use slog::{Discard, Drain, Logger, Never, OwnedKVList, Record, o};
use slog_async::AsyncCore;
use slog_json::Json;

/// Lines that may wait for the reader of standard output.
const LINES_MAX: usize = 4_096;
/// Lines that a host writes in a second at most.
const LINES_PER_S_MAX: u64 = 2_000;
/// The time over which that is counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Where a gateway writes its lines, and how many it left out.
#[derive(Debug, Clone)]
pub struct GatewayLog {
    pub(crate) logger: Logger,
    left_out: Arc<AtomicU64>,
}

impl GatewayLog {
    /// Returns a log of one JSON object a line on standard output.
    ///
    /// Lines beyond a bound, and those that a slow reader has no room for, are
    /// left out and counted, so that nobody waits for the log;
    /// docs/OPERATIONS.md lists the events with their fields.
    pub fn to_stdout(host: &Name) -> GatewayLog {
        // A reader that is gone is no reason to stop.
        let json = Json::default(std::io::stdout()).ignore_res();
        let core = AsyncCore::custom(json).chan_size(LINES_MAX).build();
        let left_out = Arc::new(AtomicU64::new(0));
        let bounded = Bounded { core, left_out: Arc::clone(&left_out), window: Mutex::default() };
        let logger = Logger::root(bounded.fuse(), o!("host" => host.as_str().to_owned()));
        GatewayLog { logger, left_out }
    }

    /// Returns a log that keeps nothing.
    pub fn discard() -> GatewayLog {
        GatewayLog { logger: Logger::root(Discard, o!()), left_out: Arc::default() }
    }

    /// Returns a logger for the lines of the process itself.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns how many lines were left out since the start.
    pub(crate) fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

/// Leaves lines out rather than let anybody wait.
struct Bounded {
    core: AsyncCore,
    left_out: Arc<AtomicU64>,
    window: Mutex<Option<(Instant, u64)>>,
}

impl Bounded {
    fn has_room(&self) -> bool {
        let mut window = self.window.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (since, lines) = window.get_or_insert((Instant::now(), 0));
        if since.elapsed() >= WINDOW {
            (*since, *lines) = (Instant::now(), 0);
        }
        *lines += 1;
        *lines <= LINES_PER_S_MAX
    }
}

impl Drain for Bounded {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if !self.has_room() || self.core.log(record, values).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
