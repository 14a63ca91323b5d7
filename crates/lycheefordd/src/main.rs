//! The daemon of lycheeford, which runs on every entry host.
//!
//! All daemons are equal. Each accepts callers, checks keys, holds a share of
//! every customer's rate, routes requests to targets and does a part of the
//! control work. docs/DESIGN.md explains how they agree; docs/OPERATING.md how
//! to run them. Each folder covers one concern and owns its tables:
//!
//! - `request`: authentication and validation of requests, and completions at engines.
//! - `service`: calls to plain services, and the ledger of at-most-once calls.
//! - `rates`: rate limits, as token shares, reservations and loans.
//! - `placement`: routing to a target with the model ready, and the queue of waiting requests.
//! - `loads`: planning and ordering of loads and unloads.
//! - `configuration`, `membership`: the declared configuration, the list of hosts, and the state
//!   of the other daemons.
//! - `operation`: admin API, explanations, metrics and logs.
//!
//! `state` holds the tables and defines their lock order; imports between files form no cycles.

#![allow(clippy::default_trait_access, reason = "limits read better without their type")]

mod clock;
mod configuration;
mod daemon;
mod dispatch_gate;
mod loads;
mod membership;
mod objects;
mod operation;
mod placement;
mod rates;
mod request;
mod running;
mod service;
mod state;
mod table;
mod versioned;
mod wake;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use async_std::stream::StreamExt;
use async_std::task;
use lycheeford_caller::Stop;
use lycheeford_config::Settings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use slog::{Logger, info, warn};

/// The exit code after invalid usage or settings.
const EXIT_USAGE: u8 = 2;

/// Serve rarely used language models; one daemon runs on each entry host.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// file with the daemon's settings, in YAML
    #[argh(option)]
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match read_settings(&arguments.settings) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    let (log, guard) = operation::log::logger(settings.log_level, &settings.host);
    let ended = task::block_on(run(settings, arguments.settings, log));
    operation::log::finish(guard);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings, path: PathBuf, log: Logger) -> Result<(), String> {
    let stop = Stop::new();
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|error| format!("can't install signal handlers: {error}"))?;
    task::spawn(handle_signals(signals, settings.clone(), path, stop.clone(), log.clone()));
    daemon::run(settings, log, stop).await.map_err(|error| error.to_string())
}

/// Stops the daemon on SIGTERM and SIGINT, and checks the settings file on SIGHUP, which would end
/// the process if it weren't handled.
async fn handle_signals(
    mut signals: Signals,
    current: Settings,
    path: PathBuf,
    stop: Stop,
    log: Logger,
) {
    while let Some(signal) = signals.next().await {
        if signal != SIGHUP {
            return stop.trigger();
        }
        match read_settings(&path) {
            // Settings are fixed while the process runs; a change is only logged.
            Ok(settings) => info!(log, "settings_reread"; "changed" => settings != current),
            Err(message) => warn!(log, "settings_unreadable"; "error" => message),
        }
    }
}

fn read_settings(path: &PathBuf) -> Result<Settings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{name}: {error}; give a readable file with --settings"))?;
    Settings::from_yaml(&text, &name).map_err(|faults| faults.to_string())
}
