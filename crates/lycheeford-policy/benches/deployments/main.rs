//! Simulates both deployments in virtual time and measures the library's decisions.
//!
//! `cargo bench -p lycheeford-policy --bench deployments` prints the figures next to those of a
//! baseline policy and to bounds that no policy can beat. `-- --check` fails if an aim isn't met,
//! `-- --plots` draws the plots in docs/plots, and `-- --seed=N` uses another seed.

mod baseline;
mod coordination;
mod fleet;
mod measures;
mod plots;
mod report;
mod requests;
mod simulation;
mod workload;

use std::process::ExitCode;

use crate::report::Report;
use crate::workload::{NORTHPASS, REGULATOR};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let seed = arguments
        .iter()
        .find_map(|argument| argument.strip_prefix("--seed="))
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(report::SEED);
    let reports = [NORTHPASS, REGULATOR].map(|deployment| Report::new(deployment, seed));
    for report in &reports {
        println!("{report}");
    }
    let has_flag = |flag: &str| arguments.iter().any(|argument| argument == flag);
    if has_flag("--plots")
        && let Err(error) = plots::draw(&reports)
    {
        eprintln!("can't draw the plots in docs/plots: {error}");
        return ExitCode::FAILURE;
    }
    let missed = reports.iter().flat_map(Report::missed_aims).count();
    if has_flag("--check") && missed > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
