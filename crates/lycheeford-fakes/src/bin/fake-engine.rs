//! Runs the stand-in for a model engine as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use lycheeford_fakes::{
    EngineOptions, FakeEngine, FenceCheck, OnCrash, ProcessError, serve_until_signal,
};

/// Stand-in for a model engine.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// memory for weights and adapters, in bytes
    #[argh(option)]
    memory_bytes: Option<u64>,

    /// refuse orders with an outdated fencing number
    #[argh(switch)]
    checks_fence: bool,

    /// accept orders that overcommit the memory
    #[argh(switch)]
    trusting: bool,

    /// address of the weight store
    #[argh(option)]
    weight_store: Option<SocketAddr>,

    /// load speed in bytes per millisecond without a weight store
    #[argh(option)]
    load_bytes_per_ms: Option<u64>,

    /// load speed in bytes per millisecond from disk
    #[argh(option)]
    disk_bytes_per_ms: Option<u64>,

    /// model or adapter whose checkpoint is on disk at the start; may be repeated
    #[argh(option)]
    disk_checkpoint: Vec<String>,

    /// time to the first token, in milliseconds
    #[argh(option)]
    first_token_ms: Option<u64>,

    /// time between tokens, in milliseconds
    #[argh(option)]
    token_interval_ms: Option<u64>,

    /// maximum number of running requests
    #[argh(option)]
    batch_max: Option<usize>,

    /// a prompt that contains this text aborts the process
    #[argh(option)]
    crash_marker: Option<String>,

    /// text that no header, cookie or query may contain; may be repeated
    #[argh(option)]
    marker: Vec<String>,
}

impl From<Arguments> for EngineOptions {
    fn from(arguments: Arguments) -> EngineOptions {
        let default = EngineOptions::default();
        EngineOptions {
            memory_bytes: arguments.memory_bytes.unwrap_or(default.memory_bytes),
            fence_check: if arguments.checks_fence {
                FenceCheck::Refuse
            } else {
                FenceCheck::Ignore
            },
            trusting: arguments.trusting,
            weight_store: arguments.weight_store,
            load_bytes_per_ms: arguments.load_bytes_per_ms.unwrap_or(default.load_bytes_per_ms),
            disk_bytes_per_ms: arguments.disk_bytes_per_ms.unwrap_or(default.disk_bytes_per_ms),
            disk_checkpoints: arguments.disk_checkpoint,
            first_token_ms: arguments.first_token_ms.unwrap_or(default.first_token_ms),
            token_interval_ms: arguments.token_interval_ms.unwrap_or(default.token_interval_ms),
            batch_max: arguments.batch_max.unwrap_or(default.batch_max),
            crash_marker: arguments.crash_marker,
            on_crash: OnCrash::Abort,
            markers: arguments.marker,
            ..default
        }
    }
}

#[async_std::main]
async fn main() -> Result<(), ProcessError> {
    let arguments: Arguments = argh::from_env();
    let listen = arguments.listen;
    let started = FakeEngine::start(listen, EngineOptions::from(arguments));
    serve_until_signal(listen, started, FakeEngine::address).await
}
