use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use lycheeford_policy::Name;
use slog::{Discard, Drain, Logger, Never, OwnedKVList, Record, o};
use slog_async::{AsyncCore, AsyncGuard};
use slog_json::Json;

/// The most lines buffered for standard output.
const LINES_MAX: usize = 4_096;
/// The most lines per `WINDOW`.
const LINES_PER_S_MAX: u64 = 2_000;
/// The window of the line limit.
const WINDOW: Duration = Duration::from_secs(1);
/// The time-out for writing the last lines when the process ends.
const FLUSH_MAX: Duration = Duration::from_millis(100);

/// A gateway's log, with a count of the lines that were dropped.
#[derive(Debug, Clone)]
pub struct GatewayLog {
    pub(crate) logger: Logger,
    left_out: Arc<AtomicU64>,
    writer: Writer,
}

impl GatewayLog {
    /// Returns a log that writes one JSON object per line to standard output.
    ///
    /// Lines above the rate limit, and lines for which the buffer of a slow reader has no room, are
    /// dropped and counted, so that no task blocks on the log. docs/OPERATIONS.md lists the events
    /// with their fields.
    pub fn to_stdout(host: &Name) -> GatewayLog {
        // A closed standard output is no reason to stop serving.
        let json = Json::default(std::io::stdout()).ignore_res();
        let (core, guard) = AsyncCore::custom(json).chan_size(LINES_MAX).build_with_guard();
        let left_out = Arc::new(AtomicU64::new(0));
        let bounded = Bounded { core, left_out: Arc::clone(&left_out), window: Mutex::default() };
        let logger = Logger::root(bounded.fuse(), o!("host" => host.as_str().to_owned()));
        GatewayLog { logger, left_out, writer: Writer(Arc::new(Mutex::new(Some(guard)))) }
    }

    /// Returns a log that drops all lines.
    pub fn discard() -> GatewayLog {
        let logger = Logger::root(Discard, o!());
        GatewayLog { logger, left_out: Arc::default(), writer: Writer::default() }
    }

    /// Returns a logger for the lines of the process itself.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Flushes the buffered lines and closes the log.
    ///
    /// A process calls it before it ends, since its last lines would be lost otherwise. A blocked
    /// reader delays the end by a bounded time only.
    pub fn finish(&self) {
        let Some(guard) = lock(&self.writer.0).take() else { return };
        let (sender, written) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // Fails if the wait is over because the reader was blocked.
            let _ = sender.send(());
        });
        // Lines that are left after the time-out are lost.
        let _ = written.recv_timeout(FLUSH_MAX);
    }

    /// Returns how many lines were dropped since the start.
    pub(crate) fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

/// The writer thread, which ends when its guard is dropped.
#[derive(Clone, Default)]
struct Writer(Arc<Mutex<Option<AsyncGuard>>>);

impl fmt::Debug for Writer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("Writer").field(&lock(&self.0).is_some()).finish()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Drops lines rather than block the task that logs them.
struct Bounded {
    core: AsyncCore,
    left_out: Arc<AtomicU64>,
    window: Mutex<Option<(Instant, u64)>>,
}

impl Bounded {
    fn has_room(&self) -> bool {
        let mut window = lock(&self.window);
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
