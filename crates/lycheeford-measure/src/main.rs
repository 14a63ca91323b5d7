//! Measures a running fleet and prints each figure as a row of a table.
//!
//! `scripts/measure.sh` starts the fleet; docs/MEASUREMENTS.md explains the rows.

mod change;
mod control;
mod fleet;
mod latency;
mod load;
mod operations;
mod platform_calls;
mod process;
mod request;
mod sockets;
mod streams;

use std::fs;
use std::net::SocketAddr;
use std::thread;

use argh::FromArgs;
use snafu::{ResultExt, Whatever};

use crate::change::Sizes;
use crate::fleet::Fleet;

/// The models that requests ask for; single requests ask for the first one.
const MODELS: [&str; 6] =
    ["model-000", "model-001", "model-002", "model-003", "model-004", "model-005"];

/// The sizes of configuration whose cost is measured, smallest first.
const SIZES: [Sizes; 4] = [
    Sizes { models: 240, adapters: 1_000, customers: 5 },
    Sizes { models: 240, adapters: 5_000, customers: 5 },
    Sizes { models: 240, adapters: 17_000, customers: 5 },
    Sizes { models: 240, adapters: 17_000, customers: 105 },
];

/// Measure a running fleet; every list names its daemons in the same order.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// which figures: requests, control or sizes
    #[argh(option, from_str_fn(phases))]
    phases: Phases,

    /// a daemon's address for callers; given once for each daemon
    #[argh(option)]
    caller: Vec<SocketAddr>,

    /// a daemon's address for operators; given once for each daemon
    #[argh(option)]
    operator: Vec<SocketAddr>,

    /// a daemon's process id; given once for each daemon
    #[argh(option)]
    pid: Vec<u32>,

    /// the platform's address
    #[argh(option)]
    platform: SocketAddr,

    /// a customer's key
    #[argh(option)]
    key: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phases {
    /// What requests cost.
    Requests,
    /// What idle daemons cost.
    Control,
    /// What idle daemons cost as the configuration grows.
    Sizes,
}

#[async_std::main]
async fn main() {
    let arguments: Arguments = argh::from_env();
    if let Err(error) = measure(arguments).await {
        eprintln!("measure: {}", snafu::Report::from_error(error));
        std::process::exit(1);
    }
}

async fn measure(arguments: Arguments) -> Result<(), Whatever> {
    let phases = arguments.phases;
    let fleet = Fleet::new(arguments)?;
    print_machine(&fleet)?;
    println!("| figure | value |\n| --- | --- |");
    change::raise_rates(&fleet).await?;
    control::report(&fleet, "idle").await?;
    match phases {
        Phases::Control => Ok(()),
        Phases::Requests => requests(&fleet).await,
        Phases::Sizes => sizes(&fleet).await,
    }
}

async fn requests(fleet: &Fleet) -> Result<(), Whatever> {
    latency::report(fleet).await?;
    operations::report(fleet).await?;
    load::report(fleet, "one daemon", &fleet.callers()[..1]).await?;
    load::report(fleet, "all daemons", &fleet.callers()).await?;
    load::report(fleet, "no daemon", &[]).await?;
    streams::report(fleet).await
}

async fn sizes(fleet: &Fleet) -> Result<(), Whatever> {
    for sizes in SIZES {
        change::report(fleet, &sizes).await?;
        control::report(fleet, &sizes.to_string()).await?;
    }
    Ok(())
}

/// Prints one row of the table.
fn row(figure: &str, value: &str) {
    println!("| {figure} | {value} |");
}

fn print_machine(fleet: &Fleet) -> Result<(), Whatever> {
    let cores = thread::available_parallelism().whatever_context("can't count the cores")?;
    let load = fs::read_to_string("/proc/loadavg").whatever_context("can't read the load")?;
    let load = load.split(' ').next().unwrap_or_default();
    println!("{cores} cores, load average {load}, {} daemons\n", fleet.daemons.len());
    Ok(())
}

fn phases(text: &str) -> Result<Phases, String> {
    match text {
        "requests" => Ok(Phases::Requests),
        "control" => Ok(Phases::Control),
        "sizes" => Ok(Phases::Sizes),
        _ => Err(format!("{text} names no figures; use requests, control or sizes")),
    }
}
