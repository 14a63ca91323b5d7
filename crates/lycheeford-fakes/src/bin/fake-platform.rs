//! Runs the stand-in for the platform as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use lycheeford_fakes::{FakePlatform, ProcessError, serve_until_signal};

/// Stand-in for the platform's object API.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

#[async_std::main]
async fn main() -> Result<(), ProcessError> {
    let arguments: Arguments = argh::from_env();
    let started = FakePlatform::start(arguments.listen);
    serve_until_signal(arguments.listen, started, FakePlatform::address).await
}
