//! The daemon of lycheeford, which runs on every entry host.
//!
//! All daemons are equal. Each takes callers, checks keys, keeps its part of
//! every customer's rate, routes requests to targets and does a share of the
//! control work. docs/DESIGN.md explains how they agree; docs/OPERATING.md how
//! to run them. Each folder is one concern and owns its tables:
//!
//! - `request`: who asks for what, and the answer of an engine.
//! - `service`: the answer of a plain service, and the ledger.
//! - `rates`: the customer's tokens.
//! - `placement`: a target with the model ready, or a wait.
//! - `loads`: loads and unloads.
//! - `configuration`, `membership`: what the daemons know of what is declared, of the fleet and
//!   of each other.
//! - `operation`: what operators see.
//!
//! `state` holds the tables, with their lock order; files import each other in one direction.

#![allow(clippy::default_trait_access, reason = "limits read better without their type")]

mod clock;
mod configuration;
mod daemon;
mod handover;
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
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// The exit code after bad usage or faulty settings.
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
    let ended = task::block_on(run(settings, log));
    operation::log::finish(guard);
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings, log: slog::Logger) -> Result<(), String> {
    let stop = Stop::new();
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(|error| format!("can't take signals: {error}"))?;
    let stopped = stop.clone();
    task::spawn(async move {
        if signals.next().await.is_some() {
            stopped.trigger();
        }
    });
    daemon::run(settings, log, stop).await.map_err(|error| error.to_string())
}

fn read_settings(path: &PathBuf) -> Result<Settings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{name}: {error}; give a readable file with --settings"))?;
    Settings::from_yaml(&text, &name).map_err(|faults| faults.to_string())
}
