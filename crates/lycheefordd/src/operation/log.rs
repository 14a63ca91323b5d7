use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use lycheeford_config::LogLevel;
use slog::{Drain, Level, Logger, o};
use slog_async::{Async, AsyncGuard};
use slog_json::Json;

/// The time limit for writing the remaining lines when the process ends.
const FLUSH_MAX: Duration = Duration::from_millis(100);

/// Returns a logger that writes one JSON object per line to standard error.
///
/// Standard output is reserved for the program's own output. If the reader is slow, lines are
/// dropped and counted instead of blocking the daemon.
///
/// The guard has to be passed to [`finish`] before the process ends.
pub(crate) fn logger(level: LogLevel, host: &str) -> (Logger, AsyncGuard) {
    // A line that can't be written is lost; later lines may still be written.
    let json = Json::default(std::io::stderr()).ignore_res();
    let (lines, guard) = Async::new(json).build_with_guard();
    let drain = lines.filter_level(slog_level(level)).fuse();
    (Logger::root(drain, o!("host" => host.to_owned())), guard)
}

/// Writes the buffered lines, which would otherwise be lost when the process ends.
///
/// A stalled reader delays the end of the process by at most the time limit.
pub(crate) fn finish(guard: AsyncGuard) {
    let (sender, written) = mpsc::channel();
    thread::spawn(move || {
        drop(guard);
        // The receiver is gone if the time limit has passed.
        let _ = sender.send(());
    });
    // Lines that are still unwritten after the time limit are lost.
    let _ = written.recv_timeout(FLUSH_MAX);
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
