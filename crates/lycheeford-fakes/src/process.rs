use std::io::{self, Write};
use std::net::SocketAddr;

use futures_util::StreamExt;
use signal_hook::consts::SIGTERM;
use signal_hook_async_std::Signals;
use snafu::{ResultExt, Snafu};

/// Why the process of a stand-in can't run.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The SIGTERM handler can't be installed.
    #[snafu(display("can't handle signals: {source}"))]
    Signals {
        /// Why the handler can't be installed.
        source: io::Error,
    },
    /// The listener can't be bound to the address.
    #[snafu(display("can't listen on {address}: {source}; choose a free address"))]
    Listen {
        /// The address given by `--listen`.
        address: SocketAddr,
        /// Why the address can't be bound, such as that it is in use.
        source: io::Error,
    },
    /// The `ready ADDRESS` line can't be written to the standard output.
    #[snafu(display("can't write to the standard output: {source}"))]
    Output {
        /// Why the line can't be written, such as that the reader closed the pipe.
        source: io::Error,
    },
}

/// Waits for `started`, prints `ready ADDRESS` and runs until SIGTERM.
///
/// SIGINT is not handled here. A shell script makes the programs that it starts in
/// the background ignore SIGINT, and a handler would undo that: Ctrl-C in a terminal
/// would then stop the stand-ins while daemons are still draining.
///
/// # Errors
///
/// Fails if the stand-in can't listen, print or handle signals.
pub async fn serve_until_signal<T>(
    listen: SocketAddr,
    started: impl Future<Output = io::Result<T>>,
    address: impl Fn(&T) -> SocketAddr,
) -> Result<(), ProcessError> {
    let mut signals = Signals::new([SIGTERM]).context(SignalsSnafu)?;
    let server = started.await.context(ListenSnafu { address: listen })?;
    let mut output = io::stdout().lock();
    writeln!(output, "ready {}", address(&server)).context(OutputSnafu)?;
    output.flush().context(OutputSnafu)?;
    drop(output);
    signals.next().await;
    Ok(())
}
