use lycheeford_policy::Name;
use slog::{Drain, Logger, o};
use slog_async::{Async, OverflowStrategy};
use slog_json::Json;

/// Lines that may wait for the reader of standard output.
const LINES_MAX: usize = 4_096;

/// Returns a logger that writes one JSON object a line to standard output.
///
/// Lines are dropped and counted rather than let a slow reader stop the host;
/// docs/OPERATIONS.md lists the events with their fields.
pub fn logger(host: &Name) -> Logger {
    let json = Json::default(std::io::stdout()).fuse();
    let drain = Async::new(json)
        .chan_size(LINES_MAX)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("host" => host.as_str().to_owned()))
}
