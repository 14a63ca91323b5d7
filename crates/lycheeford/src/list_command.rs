use lycheeford_operator::{ExplainRequest, ModelReport, ReplicaState};
use lycheeford_policy::{HostState, Name};

use crate::daemons::Daemons;
use crate::failure::Failure;
use crate::output::Output;
use crate::table::{Table, format_bytes, join_names, yes_no};

pub(crate) async fn hosts(daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let hosts = daemons.call(async |client| client.hosts().await).await?;
    let mut table = Table::new(&[
        "HOST",
        "FAILURE DOMAIN",
        "ADDRESS",
        "STATE",
        "REACHABLE",
        "CONNECTIONS",
        "BUILD",
    ]);
    for report in &hosts {
        table.add_row(vec![
            report.host.name.to_string(),
            report.host.failure_domain.to_string(),
            report.host.address.to_string(),
            state_name(report.host.state).to_owned(),
            yes_no(report.reachable),
            report.connections.map_or_else(|| "-".to_owned(), |count| count.to_string()),
            report.build.as_ref().map_or_else(|| "-".to_owned(), Name::to_string),
        ]);
    }
    output.result(&hosts, table);
    Ok(())
}

pub(crate) async fn targets(daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let targets = daemons.call(async |client| client.targets().await).await?;
    let mut table = Table::new(&[
        "TARGET",
        "FAILURE DOMAIN",
        "STATE",
        "HEALTHY",
        "MEMORY",
        "RESERVED",
        "RUNNING",
        "READY",
    ]);
    for target in &targets {
        table.add_row(vec![
            target.name.to_string(),
            target.failure_domain.to_string(),
            state_name(target.state).to_owned(),
            yes_no(target.healthy),
            format_bytes(target.memory_bytes),
            format_bytes(target.memory_reserved_bytes),
            target.requests_running.to_string(),
            join_names(&target.ready),
        ]);
    }
    output.result(&targets, table);
    Ok(())
}

pub(crate) async fn models(daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let models = daemons.call(async |client| client.models().await).await?;
    let mut table = Table::new(&["MODEL", "BASE", "REPLICAS", "WAITING", "TARGETS"]);
    for model in &models {
        table.add_row(vec![
            model.name.to_string(),
            model.base.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string),
            format!("{} of {}", model.replicas.len(), model.replicas_max),
            model.requests_waiting.to_string(),
            join_names(&describe_replicas(model)),
        ]);
    }
    output.result(&models, table);
    Ok(())
}

pub(crate) async fn customers(daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let customers = daemons.call(async |client| client.customers().await).await?;
    let mut table = Table::new(&[
        "CUSTOMER",
        "RATE",
        "BURST",
        "SHARE HERE",
        "AVAILABLE",
        "ADMITTED",
        "REFUSED",
    ]);
    for customer in &customers {
        table.add_row(vec![
            customer.name.to_string(),
            format!("{} tokens/s", customer.rate_tokens_per_s),
            format!("{} tokens", customer.burst_tokens),
            format!("{:.1}%", f64::from(customer.share_ppm) / PPM_PER_PERCENT),
            format!("{} tokens", customer.available_tokens),
            customer.admitted.to_string(),
            customer.refused.to_string(),
        ]);
    }
    output.result(&customers, table);
    Ok(())
}

/// Drains the single named daemon and never falls back to another.
pub(crate) async fn drain(daemons: &Daemons, output: Output) -> Result<(), Failure> {
    let report = daemons.single()?.drain().await?;
    let text =
        format!("{} drains, with {} requests under way", report.host, report.requests_running);
    output.result(&report, text);
    Ok(())
}

/// Asks the daemons in order, since only the daemon that handled a request knows it.
pub(crate) async fn explain(
    subject: String,
    daemons: &Daemons,
    output: Output,
) -> Result<(), Failure> {
    let request = ExplainRequest { subject };
    let explanation =
        daemons.call_until_found(async |client| client.explain(&request).await).await?;
    let mut table = Table::new(&["WEIGHED", "FOUND"]);
    for fact in &explanation.facts {
        table.add_row(vec![fact.about.clone(), fact.finding.clone()]);
    }
    let text = format!("{}: {}\n{table}", explanation.subject, explanation.summary);
    output.result(&explanation, text);
    Ok(())
}

const PPM_PER_PERCENT: f64 = 10_000.0;

fn state_name(state: HostState) -> &'static str {
    match state {
        HostState::Live => "live",
        HostState::Leaving => "leaving",
    }
}

fn describe_replicas(model: &ModelReport) -> Vec<String> {
    let replicas = model.replicas.iter().map(|replica| match replica.state {
        ReplicaState::Ready => replica.target.to_string(),
        ReplicaState::Loading => format!("{} (loading)", replica.target),
        ReplicaState::Unloading => format!("{} (unloading)", replica.target),
    });
    replicas.collect()
}
