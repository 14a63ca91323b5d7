use std::io::{self, Write};
use std::net::SocketAddr;

use futures_util::StreamExt;
use signal_hook::consts::SIGTERM;
use signal_hook_async_std::Signals;
use snafu::{ResultExt, Snafu};

/// Why a stand-in's process can't run.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// The signals can't be handled.
    #[snafu(display("can't handle signals: {source}"))]
    Signals {
        /// The cause.
        source: io::Error,
    },
    /// The address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}; choose a free address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The ready line can't be written.
    #[snafu(display("can't write to the standard output: {source}"))]
    Output {
        /// The cause.
        source: io::Error,
    },
}

/// Prints `ready ADDRESS` once `started` has an address, and runs until SIGTERM.
///
/// An interrupt is left to its default, so that one typed at a terminal doesn't
/// take the stand-ins away from daemons that drain.
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
