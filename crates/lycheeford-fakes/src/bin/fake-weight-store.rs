//! Runs the stand-in for the weight store as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use lycheeford_fakes::{FakeWeightStore, ProcessError, WeightStoreOptions, serve_until_signal};

/// Stand-in for the rate-limited weight store.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// bytes per millisecond that one model load receives at full speed
    #[argh(option)]
    bytes_per_ms: Option<u64>,

    /// number of concurrent model loads served at full speed
    #[argh(option)]
    models_at_once: Option<u64>,
}

#[async_std::main]
async fn main() -> Result<(), ProcessError> {
    let arguments: Arguments = argh::from_env();
    let default = WeightStoreOptions::default();
    let options = WeightStoreOptions {
        bytes_per_ms: arguments.bytes_per_ms.unwrap_or(default.bytes_per_ms),
        models_at_once: arguments.models_at_once.unwrap_or(default.models_at_once),
        ..default
    };
    let started = FakeWeightStore::start(arguments.listen, options);
    serve_until_signal(arguments.listen, started, FakeWeightStore::address).await
}
