use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

use async_std::task;
use lycheeford_config::{CustomerEntry, Document};
use lycheeford_operator::ApplyRequest;
use lycheeford_policy::Name;
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever};

use crate::fleet::Fleet;
use crate::row;

/// High enough that no request of a measurement exceeds its customer's rate.
const RATE_TOKENS_PER_S: u64 = 10_000_000;
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The size of a configuration.
#[derive(Debug)]
pub(crate) struct Sizes {
    pub(crate) models: usize,
    pub(crate) adapters: usize,
    pub(crate) customers: usize,
}

impl Display for Sizes {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Sizes { models, adapters, customers } = self;
        write!(formatter, "{models} models, {adapters} adapters, {customers} customers")
    }
}

/// Raises every customer's rate and prints how long it takes until that is in force everywhere.
pub(crate) async fn raise_rates(fleet: &Fleet) -> Result<(), Whatever> {
    let in_force = apply(fleet, |document| {
        for customer in &mut document.customers {
            customer.rate_tokens_per_s = Some(RATE_TOKENS_PER_S);
            customer.burst_tokens = Some(RATE_TOKENS_PER_S);
        }
        Ok(())
    })
    .await?;
    row("from apply to in force on every daemon", &in_force);
    Ok(())
}

/// Grows the configuration to a size, then changes one adapter, and prints how long each change
/// takes until it is in force everywhere.
pub(crate) async fn report_growth(fleet: &Fleet, sizes: &Sizes) -> Result<(), Whatever> {
    let grown = apply(fleet, |document| grow(document, sizes)).await?;
    row(&format!("{sizes}: from apply of all to in force"), &grown);
    let changed = change_one_adapter(fleet).await?;
    row(&format!("{sizes}: from apply of one adapter to in force"), &changed);
    Ok(())
}

/// Changes one adapter and returns, as text, how long it takes until that is in force everywhere.
pub(crate) async fn change_one_adapter(fleet: &Fleet) -> Result<String, Whatever> {
    apply(fleet, |document| {
        let adapter = document
            .adapters
            .last_mut()
            .whatever_context("the configuration has no adapter to change")?;
        adapter.memory_bytes = adapter.memory_bytes.map(|bytes| bytes + 1);
        Ok(())
    })
    .await
}

async fn apply(
    fleet: &Fleet,
    change: impl FnOnce(&mut Document) -> Result<(), Whatever>,
) -> Result<String, Whatever> {
    let client = fleet.operator();
    let stored = client
        .configuration()
        .await
        .whatever_context("can't read the configuration from the first daemon")?;
    let mut document = stored.document;
    change(&mut document)?;
    let stamp = format!("measure-{:x}", rand::random::<u64>());
    let request = ApplyRequest { base_revision: stored.revision, stamp, document };
    let start = Instant::now();
    let applied = client
        .apply(&request)
        .await
        .whatever_context("the change of the configuration was not accepted")?;
    let accepted_ms = start.elapsed().as_millis();
    loop {
        let hosts =
            client.in_force().await.whatever_context("can't read which revision is in force")?;
        if hosts.iter().all(|host| host.reachable && host.revision >= applied.revision) {
            let in_force_ms = start.elapsed().as_millis();
            return Ok(format!("{in_force_ms} ms, accepted after {accepted_ms} ms"));
        }
        ensure_whatever!(
            start.elapsed() < IN_FORCE_TIMEOUT,
            "the change is not in force on every host: {hosts:?}"
        );
        task::sleep(POLL_INTERVAL).await;
    }
}

fn grow(document: &mut Document, sizes: &Sizes) -> Result<(), Whatever> {
    let model =
        document.models.first().whatever_context("the configuration has no model to copy")?.clone();
    let adapter = document
        .adapters
        .first()
        .whatever_context("the configuration has no adapter to copy")?
        .clone();
    let customer = document
        .customers
        .first()
        .whatever_context("the configuration has no customer to copy")?
        .clone();
    for index in document.models.len()..sizes.models {
        document.models.push(lycheeford_config::ModelEntry {
            name: Name::from(format!("model-{index:03}")),
            ..model.clone()
        });
    }
    for index in document.adapters.len()..sizes.adapters {
        document.adapters.push(lycheeford_config::AdapterEntry {
            name: Name::from(format!("adapter-{index:05}")),
            model: Some(document.models[index % sizes.models].name.clone()),
            ..adapter.clone()
        });
    }
    for index in document.customers.len()..sizes.customers {
        let name = Name::from(format!("customer-{index:03}"));
        document.customers.push(CustomerEntry { name, ..customer.clone() });
    }
    // Every list of a document must be sorted by name.
    document.models.sort_by(|a, b| a.name.cmp(&b.name));
    document.adapters.sort_by(|a, b| a.name.cmp(&b.name));
    document.customers.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(())
}
