//! Runs the stand-in for a plain service as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use lycheeford_fakes::{FakeService, OnCrash, ProcessError, ServiceOptions, serve_until_signal};

/// Stand-in for an application worker with plain services.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// text that no header, cookie or query may contain; may be repeated
    #[argh(option)]
    marker: Vec<String>,
}

#[async_std::main]
async fn main() -> Result<(), ProcessError> {
    let arguments: Arguments = argh::from_env();
    let options = ServiceOptions { on_crash: OnCrash::Abort, markers: arguments.marker };
    let started = FakeService::start(arguments.listen, options);
    serve_until_signal(arguments.listen, started, FakeService::address).await
}
