use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use lycheeford_config::LogLevel;
use slog::{Drain, Level, Logger, o};
use slog_async::{Async, AsyncGuard};
use slog_json::Json;

/// How long the last lines may take to be written when the process ends.
const FLUSH_MAX: Duration = Duration::from_millis(100);

/// Returns a logger that writes one JSON object a line to standard error.
///
/// Standard output stays free for what was asked of the program. Lines are
/// dropped and counted rather than let a slow reader stop the daemon.
///
/// The guard is for [`finish`].
pub(crate) fn logger(level: LogLevel, host: &str) -> (Logger, AsyncGuard) {
    // A line that can't be written is lost; the next one may be.
    let json = Json::default(std::io::stderr()).ignore_res();
    let (lines, guard) = Async::new(json).build_with_guard();
    let drain = lines.filter_level(slog_level(level)).fuse();
    (Logger::root(drain, o!("host" => host.to_owned())), guard)
}

/// Writes the lines that wait, which would be lost with the process.
///
/// A reader that stands still doesn't keep the process from ending.
pub(crate) fn finish(guard: AsyncGuard) {
    let (sender, written) = mpsc::channel();
    thread::spawn(move || {
        drop(guard);
        // Nobody listens any more if the reader stood still.
        let _ = sender.send(());
    });
    // The lines that are left after the wait are lost with the process.
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
