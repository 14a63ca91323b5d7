use lycheeford_config::LogLevel;
use slog::{Drain, Level, Logger, o};
use slog_async::Async;
use slog_json::Json;

/// Returns a logger that writes one JSON object a line to standard error.
///
/// Standard output stays free for what was asked of the program. Lines are
/// dropped and counted rather than let a slow reader stop the daemon.
pub(crate) fn logger(level: LogLevel, host: &str) -> Logger {
    let json = Json::default(std::io::stderr()).fuse();
    let drain = Async::new(json).build().filter_level(slog_level(level)).fuse();
    Logger::root(drain, o!("host" => host.to_owned()))
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
