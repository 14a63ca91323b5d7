use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Operate a fleet of lycheeford daemons.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Global options go before the command, as in `{command_name} --json hosts`.",
    error_code(0, "done"),
    error_code(1, "refused or failed"),
    error_code(2, "bad usage or files"),
    error_code(3, "conflict: the configuration changed since it was read"),
    error_code(4, "no daemon can be reached"),
    error_code(5, "not in force on every host within the limit")
)]
pub(crate) struct Args {
    /// a daemon's operator address, 127.0.1.1:7201 by default; repeat the
    /// option to name more, of which the next is tried if one can't be reached
    #[argh(option, arg_name = "addr")]
    pub(crate) daemon: Vec<SocketAddr>,

    /// print results and errors as JSON
    #[argh(switch)]
    pub(crate) json: bool,

    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Config(Config),
    Key(Key),
    Hosts(Hosts),
    Targets(Targets),
    Models(Models),
    Customers(Customers),
    Drain(Drain),
    Explain(Explain),
    Trace(Trace),
    WhyRefused(WhyRefused),
}

/// Show one request's log lines, and the host events around it, from gateway logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// the request's id, as in the logs
    #[argh(positional)]
    pub(crate) id: String,

    /// a log file, standard input by default; repeat the option for more hosts
    #[argh(option, arg_name = "file")]
    pub(crate) log: Vec<PathBuf>,
}

/// Count refused requests and aborted streams in gateway logs by cause.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "why-refused")]
pub(crate) struct WhyRefused {
    /// a log file, standard input by default; repeat the option for more hosts
    #[argh(option, arg_name = "file")]
    pub(crate) log: Vec<PathBuf>,
}

/// Check, compare, apply or show the fleet's configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct Config {
    #[argh(subcommand)]
    pub(crate) command: ConfigCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ConfigCommand {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Show(Show),
}

/// Check the files without a daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the base file
    #[argh(option, arg_name = "file")]
    pub(crate) base: PathBuf,

    /// the site's overlay
    #[argh(option, arg_name = "file")]
    pub(crate) overlay: Option<PathBuf>,
}

/// List the differences between the stored configuration and the files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// the base file
    #[argh(option, arg_name = "file")]
    pub(crate) base: PathBuf,

    /// the site's overlay
    #[argh(option, arg_name = "file")]
    pub(crate) overlay: Option<PathBuf>,
}

/// Replace the declared configuration, unless it changed since it was read.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// the base file
    #[argh(option, arg_name = "file")]
    pub(crate) base: PathBuf,

    /// the site's overlay
    #[argh(option, arg_name = "file")]
    pub(crate) overlay: Option<PathBuf>,

    /// the revision that the files are based on, by default the stored one
    #[argh(option)]
    pub(crate) revision: Option<u64>,

    /// wait until the revision is in force on every host, and list the hosts
    #[argh(switch)]
    pub(crate) wait: bool,

    /// the maximum wait in milliseconds, 7000 by default
    #[argh(option, default = "WAIT_MS_DEFAULT")]
    pub(crate) wait_ms: u64,
}

/// The time limit for an accepted configuration to be in force on every host.
const WAIT_MS_DEFAULT: u64 = 7_000;

/// Show the stored configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {}

/// Grant, withdraw or list customers' keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct Key {
    #[argh(subcommand)]
    pub(crate) command: KeyCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeyCommand {
    Grant(Grant),
    Withdraw(Withdraw),
    List(List),
}

/// Grant a key and print its secret, which can't be shown again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "grant")]
pub(crate) struct Grant {
    /// the customer that the key is for
    #[argh(positional)]
    pub(crate) customer: String,
}

/// Withdraw a key, which also ends the open streams of its callers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct Withdraw {
    /// the public part of the key, as `key list` shows it
    #[argh(positional)]
    pub(crate) id: String,
}

/// List the keys, without their secrets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// List the entry hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hosts")]
pub(crate) struct Hosts {}

/// List the targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct Targets {}

/// List the models and adapters with their replicas.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "models")]
pub(crate) struct Models {}

/// List the customers with their limits and request counts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "customers")]
pub(crate) struct Customers {}

/// Start the graceful shutdown of the single daemon named by --daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {}

/// Explain why a request was refused, why a replica is placed on its target,
/// or why a customer is served as it is.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// a request's id, or the name of a model, adapter or customer
    #[argh(positional, arg_name = "REQUEST-ID|MODEL|CUSTOMER")]
    pub(crate) subject: String,
}
