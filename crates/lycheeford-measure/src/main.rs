//! Measures a running fleet and prints each figure as a row of a table.
//!
//! `scripts/measure.sh` starts the fleet. docs/MEASUREMENTS.md explains the rows.

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

/// The models that requests are sent for. Measurements of a single model use the first one.
const MODELS: [&str; 6] =
    ["model-000", "model-001", "model-002", "model-003", "model-004", "model-005"];

/// The configuration sizes whose cost is measured, smallest first, because entries are only
/// added.
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
    #[argh(option, from_str_fn(parse_phases))]
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
    /// The cost of requests.
    Requests,
    /// The cost of idle daemons.
    Control,
    /// The cost of idle daemons as the configuration grows.
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
        Phases::Requests => report_requests(&fleet).await,
        Phases::Sizes => report_sizes(&fleet).await,
    }
}

async fn report_requests(fleet: &Fleet) -> Result<(), Whatever> {
    latency::report(fleet).await?;
    operations::report(fleet).await?;
    load::report(fleet, "one daemon", &fleet.callers()[..1]).await?;
    load::report(fleet, "all daemons", &fleet.callers()).await?;
    load::report(fleet, "no daemon", &[]).await?;
    streams::report(fleet).await
}

async fn report_sizes(fleet: &Fleet) -> Result<(), Whatever> {
    for sizes in SIZES {
        change::report_growth(fleet, &sizes).await?;
        control::report(fleet, &sizes.to_string()).await?;
    }
    Ok(())
}

/// Prints one row of the Markdown table.
fn row(figure: &str, value: &str) {
    println!("| {figure} | {value} |");
}

fn print_machine(fleet: &Fleet) -> Result<(), Whatever> {
    let cores =
        thread::available_parallelism().whatever_context("can't determine the number of cores")?;
    let load = fs::read_to_string("/proc/loadavg").whatever_context("can't read /proc/loadavg")?;
    let load = load.split(' ').next().unwrap_or_default();
    println!("{cores} cores, load average {load}, {} daemons\n", fleet.daemons.len());
    Ok(())
}

fn parse_phases(text: &str) -> Result<Phases, String> {
    match text {
        "requests" => Ok(Phases::Requests),
        "control" => Ok(Phases::Control),
        "sizes" => Ok(Phases::Sizes),
        _ => Err(format!("unknown value {text}; use requests, control or sizes")),
    }
}
