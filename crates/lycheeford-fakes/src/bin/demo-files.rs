//! Writes the files from which the demonstration starts a deployment.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use lycheeford_fakes::{Deployment, DeploymentKind, EnginePlan};
use snafu::{ResultExt, Whatever};

/// Write settings, configuration, host list and start lines of a deployment.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// small, northpass or regulator
    #[argh(option, default = "DeploymentKind::Small")]
    deployment: DeploymentKind,

    /// the network 127.NET.0.0/16 for every address, 0 by default
    #[argh(option, default = "0")]
    net: u8,

    /// number of daemons, instead of the deployment's default
    #[argh(option)]
    daemons: Option<u8>,

    /// the folder to write to
    #[argh(option)]
    out: PathBuf,
}

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let arguments: Arguments = argh::from_env();
    let mut deployment = Deployment::new(arguments.deployment, arguments.net);
    if let Some(daemons) = arguments.daemons {
        deployment = deployment.with_daemons(daemons);
    }
    let out = &arguments.out;
    fs::create_dir_all(out).whatever_context("can't make the folder; choose another --out")?;
    let base = serde_yaml_ng::to_string(&deployment.base).whatever_context("base as YAML")?;
    let overlay =
        serde_yaml_ng::to_string(&deployment.overlay).whatever_context("overlay as YAML")?;
    let hosts =
        serde_json::to_string_pretty(&deployment.hosts()).whatever_context("hosts as JSON")?;
    let customers = deployment.customers().join("\n") + "\n";
    write(out, "base.yaml", &base)?;
    write(out, "overlay.yaml", &overlay)?;
    write(out, "hosts.json", &hosts)?;
    write(out, "customers", &customers)?;
    write(out, "stand-ins", &stand_ins(&deployment))?;
    write(out, "daemons", &daemons(&deployment, out))?;
    for daemon in &deployment.daemons {
        write(
            out,
            &format!("{}.yaml", daemon.name),
            &deployment.settings_yaml(daemon, deployment.platform),
        )?;
    }
    Ok(())
}

fn write(out: &Path, name: &str, text: &str) -> Result<(), Whatever> {
    let path = out.join(name);
    let written: io::Result<()> = fs::write(&path, text);
    written.with_whatever_context(|_| format!("can't write {}", path.display()))
}

/// Returns a line `ROLE URL PROGRAM ARGUMENTS` for each stand-in, in the order of their start.
fn stand_ins(deployment: &Deployment) -> String {
    let (platform, store) = (deployment.platform, deployment.weight_store);
    let mut lines = format!("platform http://{platform} fake-platform --listen {platform}\n");
    // Writing to a string can't fail.
    let _ = writeln!(lines, "weight-store http://{store} fake-weight-store --listen {store}");
    for engine in &deployment.engines {
        let command = engine_command(engine);
        let address = engine.address;
        let _ = writeln!(lines, "engine http://{address} {command} --weight-store {store}");
    }
    for worker in &deployment.services {
        let address = worker.address;
        let _ = writeln!(lines, "service http://{address} fake-service --listen {address}");
    }
    lines
}

fn engine_command(engine: &EnginePlan) -> String {
    let mut command =
        format!("fake-engine --listen {} --memory-bytes {}", engine.address, engine.memory_bytes);
    if engine.checks_fence {
        command.push_str(" --checks-fence");
    }
    for name in &engine.disk_checkpoints {
        let _ = write!(command, " --disk-checkpoint {name}");
    }
    command
}

/// Returns a line `CALLER-ADDRESS OPERATOR-ADDRESS SETTINGS` for each daemon.
fn daemons(deployment: &Deployment, out: &Path) -> String {
    let mut lines = String::new();
    for daemon in &deployment.daemons {
        let settings = out.join(format!("{}.yaml", daemon.name));
        let _ = writeln!(lines, "{} {} {}", daemon.caller, daemon.operator, settings.display());
    }
    lines
}
