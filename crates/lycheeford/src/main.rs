//! The command-line tool for operators of lycheeford.
//!
//! `lycheeford --help` lists the commands and the exit codes;
//! docs/OPERATING-CLI.md describes each command with an example.

mod args;
mod config_command;
mod daemons;
mod failure;
mod files;
mod key_command;
mod list_command;
mod log_command;
mod output;
mod table;

use std::process::ExitCode;

use argh::FromArgs;

use crate::args::{Args, Command};
use crate::daemons::Daemons;
use crate::failure::{Exit, Failure};
use crate::output::Output;

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(exit) => return exit.into(),
    };
    let output = if args.json { Output::Json } else { Output::Text };
    match async_std::task::block_on(run(args, output)) {
        Ok(()) => Exit::Done.into(),
        Err(failure) => {
            output.failure(&failure);
            failure.exit.into()
        }
    }
}

fn parse_args() -> Result<Args, Exit> {
    let arguments: Vec<String> =
        std::env::args_os().map(|argument| argument.to_string_lossy().into_owned()).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let arguments = arguments.get(1..).unwrap_or_default();
    Args::from_args(&["lycheeford"], arguments).map_err(|early| {
        if early.status.is_ok() {
            output::print(&early.output);
            return Exit::Done;
        }
        eprintln!("{}", early.output.trim_end());
        Exit::Usage
    })
}

async fn run(args: Args, output: Output) -> Result<(), Failure> {
    let daemons = Daemons::new(args.daemon);
    match args.command {
        Command::Config(config) => config_command::run(config.command, &daemons, output).await,
        Command::Key(key) => key_command::run(key.command, &daemons, output).await,
        Command::Hosts(_) => list_command::hosts(&daemons, output).await,
        Command::Targets(_) => list_command::targets(&daemons, output).await,
        Command::Models(_) => list_command::models(&daemons, output).await,
        Command::Customers(_) => list_command::customers(&daemons, output).await,
        Command::Drain(_) => list_command::drain(&daemons, output).await,
        Command::Explain(explain) => list_command::explain(explain.subject, &daemons, output).await,
        Command::Trace(trace) => log_command::trace(&trace),
        Command::WhyRefused(why) => log_command::why_refused(&why),
    }
}
