use lycheeford_config::{
    AdapterEntry, CustomerEntry, Document, ModelEntry, RouteEntry, ServiceEntry, WeightsEntry,
};
use lycheeford_policy::{Access, Name, Repeat};

use super::DeploymentKind;
use super::plan::{Sizes, model_name};

/// The speed at which the stand-ins load from the weight store.
const REMOTE_BYTES_PER_MS: u64 = 20_000_000;
/// The speed at which the stand-ins load from disk.
const DISK_BYTES_PER_MS: u64 = 80_000_000;

/// The number of prompt bytes that the stand-ins count as one token.
const BYTES_PER_TOKEN: u32 = 4;

/// The memory that each adapter takes.
const ADAPTER_BYTES: u64 = 160_000_000;

/// The customers with their rates in tokens per second; a few are large.
const CUSTOMERS: [(&str, u64); 5] =
    [("amber", 40_000), ("birch", 20_000), ("cedar", 4_000), ("dune", 2_000), ("elm", 2_000)];

/// The burst of each customer, in seconds of its rate.
const BURST_S: u64 = 5;

pub(super) fn declared_base(sizes: &Sizes) -> Document {
    Document {
        models: (0..sizes.models).map(model).collect(),
        adapters: (0..sizes.adapters).map(|index| adapter(index, sizes)).collect(),
        services: vec![service("ledger"), service("notes")],
        routes: vec![
            route("/charges", "ledger", Access::Keyed, Repeat::AtMostOnce),
            route("/notes", "notes", Access::Keyed, Repeat::Idempotent),
            route("/public", "notes", Access::Open, Repeat::Idempotent),
        ],
        customers: CUSTOMERS.iter().map(customer).collect(),
        weights: None,
    }
}

pub(super) fn declared_overlay(kind: DeploymentKind) -> Document {
    let (cold_start_tail, worst_customer, wrongful_refusals) = match kind {
        DeploymentKind::Small => (1.0, 1.0, 1.0),
        DeploymentKind::Northpass => (4.0, 1.0, 1.0),
        DeploymentKind::Regulator => (1.0, 4.0, 4.0),
    };
    Document {
        weights: Some(WeightsEntry {
            cold_start_tail: Some(cold_start_tail),
            idle_hours: Some(1.0),
            worst_customer: Some(worst_customer),
            wrongful_refusals: Some(wrongful_refusals),
        }),
        ..Document::default()
    }
}

fn model(index: u32) -> ModelEntry {
    // Models take 8 to 24 GB, so that several fit into one engine.
    let memory_bytes = 8_000_000_000 + u64::from(index % 3) * 8_000_000_000;
    ModelEntry {
        name: model_name(index),
        remove: None,
        memory_bytes: Some(memory_bytes),
        replicas_max: Some(1 + index % 2),
        load_remote_ms: Some(memory_bytes / REMOTE_BYTES_PER_MS),
        load_disk_ms: Some(memory_bytes / DISK_BYTES_PER_MS),
        min_bytes_per_token: Some(BYTES_PER_TOKEN),
        customers: None,
    }
}

fn adapter(index: u32, sizes: &Sizes) -> AdapterEntry {
    AdapterEntry {
        name: Name::from(format!("adapter-{index:03}")),
        remove: None,
        model: Some(model_name(index % sizes.models)),
        memory_bytes: Some(ADAPTER_BYTES),
        customers: None,
    }
}

fn service(name: &str) -> ServiceEntry {
    ServiceEntry { name: Name::from(name), remove: None, timeout_ms: Some(5_000) }
}

fn route(path_prefix: &str, service: &str, access: Access, repeat: Repeat) -> RouteEntry {
    RouteEntry {
        path_prefix: Name::from(path_prefix),
        remove: None,
        service: Some(Name::from(service)),
        access: Some(access),
        repeat: Some(repeat),
        customers: None,
    }
}

fn customer((name, rate_tokens_per_s): &(&str, u64)) -> CustomerEntry {
    CustomerEntry {
        name: Name::from(*name),
        remove: None,
        rate_tokens_per_s: Some(*rate_tokens_per_s),
        burst_tokens: Some(rate_tokens_per_s * BURST_S),
        class: Some(0),
    }
}
