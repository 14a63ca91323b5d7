use std::path::Path;
use std::time::{Duration, Instant};

use async_std::task;
use serde::Serialize;

use lycheeford_config::{Document, diff};
use lycheeford_operator::{
    ApplyRequest, ClientCategory, ClientError, ConfigurationReport, HostRevision, OperatorErrorCode,
};

use crate::args::{Apply, ConfigCommand};
use crate::daemons::Daemons;
use crate::failure::{Exit, Failure};
use crate::files;
use crate::output::Output;
use crate::table::{Table, yes_no};

/// The number of times that a change with an unknown outcome is sent before the tool gives up.
const APPLY_ATTEMPTS_MAX: u32 = 5;
const APPLY_RETRY_PAUSE: Duration = Duration::from_millis(200);
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) async fn run(
    command: ConfigCommand,
    daemons: &Daemons,
    output: Output,
) -> Result<(), Failure> {
    match command {
        ConfigCommand::Check(check) => {
            let document = load(&check.base, check.overlay.as_deref())?;
            output.result(&document, format!("the files are good: {}", summary(&document)));
            Ok(())
        }
        ConfigCommand::Diff(diff) => {
            print_diff(&load(&diff.base, diff.overlay.as_deref())?, daemons, output).await
        }
        ConfigCommand::Apply(command) => apply(command, daemons, output).await,
        ConfigCommand::Show(_) => show(daemons, output).await,
    }
}

fn load(base: &Path, overlay: Option<&Path>) -> Result<Document, Failure> {
    Ok(Document::from(&files::load(base, overlay)?))
}

fn summary(document: &Document) -> String {
    format!(
        "{} models, {} adapters, {} services, {} routes, {} customers",
        document.models.len(),
        document.adapters.len(),
        document.services.len(),
        document.routes.len(),
        document.customers.len()
    )
}

async fn show(daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let report = stored_configuration(daemons).await?;
    let text = format!("# revision {}\n{}", report.revision, report.document.to_yaml());
    output.result(&report, text);
    Ok(())
}

async fn print_diff(document: &Document, daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let report = stored_configuration(daemons).await?;
    let differences: Vec<String> =
        diff(&report.document, document).iter().map(ToString::to_string).collect();
    let text = if differences.is_empty() {
        format!("the files match revision {}", report.revision)
    } else {
        format!("changes to revision {}:\n{}", report.revision, differences.join("\n"))
    };
    output.result(&DiffReport { revision: report.revision, differences: &differences }, text);
    Ok(())
}

async fn apply(command: Apply, daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let document = load(&command.base, command.overlay.as_deref())?;
    let base_revision = match command.revision {
        Some(revision) => revision,
        None => stored_configuration(daemons).await?.revision,
    };
    let stamp = format!("{:032x}", rand::random::<u128>());
    let request = ApplyRequest { base_revision, stamp, document };
    let revision = commit(&request, daemons).await?;
    if !command.wait {
        output.result(&AppliedReport { revision }, format!("applied as revision {revision}"));
        return Ok(());
    }
    wait_until_in_force(revision, Duration::from_millis(command.wait_ms), daemons, output).await
}

/// Sends a change until its outcome is known, at most [`APPLY_ATTEMPTS_MAX`] times, and returns
/// its revision.
///
/// If the response is lost, the stored configuration is read back. The same
/// request is sent again only if the stored configuration isn't this change. As
/// the request is conditional on the same base revision, it can't take effect
/// twice or revert another change.
async fn commit(request: &ApplyRequest, daemons: &Daemons) -> Result<u64, Failure> {
    let mut lost_error = None;
    for _ in 0..APPLY_ATTEMPTS_MAX {
        let error = match daemons.call(async |client| client.apply(request).await).await {
            Ok(report) => return Ok(report.revision),
            Err(error) => error,
        };
        match classify(&error) {
            Outcome::Unknown => {
                lost_error = Some(error);
                task::sleep(APPLY_RETRY_PAUSE).await;
            }
            Outcome::Conflict if lost_error.is_some() => {
                return read_back(request, daemons).await?.ok_or_else(|| error.into());
            }
            _ => return Err(error.into()),
        }
        if let Some(revision) = read_back(request, daemons).await? {
            return Ok(revision);
        }
    }
    let cause = lost_error.map(|error| error.to_string()).unwrap_or_default();
    Err(Failure::new(Exit::Refused, format!("{cause}; run `config diff` to see what is stored")))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Failed,
    Conflict,
    Unknown,
}

fn classify(error: &ClientError) -> Outcome {
    match error.refusal().map(|refusal| refusal.code) {
        Some(OperatorErrorCode::Conflict) => Outcome::Conflict,
        Some(OperatorErrorCode::OutcomeUnknown | OperatorErrorCode::Internal) => Outcome::Unknown,
        None if error.category() == ClientCategory::AnswerLost => Outcome::Unknown,
        _ => Outcome::Failed,
    }
}

/// Returns the stored revision if it contains this change.
async fn read_back(request: &ApplyRequest, daemons: &Daemons) -> Result<Option<u64>, Failure> {
    let report = stored_configuration(daemons).await.map_err(|failure| {
        let remedy = "the change may have taken effect, so run `config diff` later";
        Failure::new(failure.exit, format!("{}; {remedy}", failure.message))
    })?;
    let is_same_write = report.stamp == request.stamp;
    let is_same_document =
        report.revision > request.base_revision && report.document == request.document;
    Ok((is_same_write || is_same_document).then_some(report.revision))
}

async fn stored_configuration(daemons: &Daemons) -> Result<ConfigurationReport, Failure> {
    Ok(daemons.call(async |client| client.configuration().await).await?)
}

/// Waits until `revision` is in force on every host, and prints a row for each host.
async fn wait_until_in_force(
    revision: u64,
    limit: Duration,
    daemons: &Daemons,
    output: Output,
) -> Result<(), Failure> {
    let start = Instant::now();
    loop {
        let hosts = daemons.call(async |client| client.in_force().await).await;
        let is_done = hosts
            .as_ref()
            .is_ok_and(|hosts| !hosts.is_empty() && is_in_force_everywhere(hosts, revision));
        if is_done || start.elapsed() >= limit {
            return report_wait(revision, hosts?, start.elapsed(), output);
        }
        task::sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

fn is_in_force_everywhere(hosts: &[HostRevision], revision: u64) -> bool {
    hosts.iter().all(|host| host.reachable && host.revision >= revision)
}

fn report_wait(
    revision: u64,
    hosts: Vec<HostRevision>,
    waited: Duration,
    output: Output,
) -> Result<(), Failure> {
    let waited_ms = waited.as_millis() as u64;
    let in_force = !hosts.is_empty() && is_in_force_everywhere(&hosts, revision);
    let mut table = Table::new(&["HOST", "REVISION", "IN FORCE", "REACHABLE", "CONFIRMED"]);
    for host in &hosts {
        table.add_row(vec![
            host.host.to_string(),
            host.revision.to_string(),
            yes_no(host.reachable && host.revision >= revision),
            yes_no(host.reachable),
            format!("{} ms ago", host.confirmed_age_ms),
        ]);
    }
    let text = format!("applied as revision {revision}, waited {waited_ms} ms\n{table}");
    output.result(&WaitReport { revision, in_force, waited_ms, hosts }, text);
    if in_force {
        return Ok(());
    }
    let message = format!(
        "revision {revision} is stored, but not in force on every host after {waited_ms} ms; \
         check the hosts listed above"
    );
    Err(Failure::new(Exit::WaitTimedOut, message))
}

#[derive(Debug, Serialize)]
struct DiffReport<'a> {
    revision: u64,
    differences: &'a [String],
}

#[derive(Debug, Serialize)]
struct AppliedReport {
    revision: u64,
}

#[derive(Debug, Serialize)]
struct WaitReport {
    revision: u64,
    in_force: bool,
    waited_ms: u64,
    hosts: Vec<HostRevision>,
}
