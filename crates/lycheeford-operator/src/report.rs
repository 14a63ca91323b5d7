use std::fmt;

use serde::{Deserialize, Serialize};

use lycheeford_config::Document;
use lycheeford_policy::{Host, HostState, Name};

/// The configuration that the platform's store holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationReport {
    /// The revision of the stored configuration.
    pub revision: u64,
    /// The id of the write that created the revision, by which its sender recognizes it.
    pub stamp: String,
    /// The declared configuration with every default stated, without the keys.
    pub document: Document,
}

/// A request to replace the declared configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The revision at which the operator read the document.
    pub base_revision: u64,
    /// An id unique to this change, with which the request can safely be sent again.
    pub stamp: String,
    /// The new configuration, merged from base and overlay.
    pub document: Document,
}

/// The result of a committed change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyReport {
    /// The revision that contains the change.
    pub revision: u64,
}

/// The revision that is in force on one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRevision {
    /// The name of the host.
    pub host: Name,
    /// The revision in force on the host, 0 if the host has reported none.
    pub revision: u64,
    /// The milliseconds since the host last confirmed that no newer revision is stored; `u64::MAX`
    /// if that isn't known.
    pub confirmed_age_ms: u64,
    /// Whether the responding daemon receives messages from the host.
    pub reachable: bool,
}

/// An entry host, as the responding daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostReport {
    /// The host's entry in the platform's list.
    pub host: Host,
    /// Whether the responding daemon receives messages from the host.
    pub reachable: bool,
    /// The number of callers' connections, or `None` if it isn't known.
    pub connections: Option<u64>,
    /// The name of the build of the host's daemon, or `None` if it isn't known, as of a daemon that
    /// is older than the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<Name>,
}

/// A target, as the responding daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetReport {
    /// The target's name in the platform's list.
    pub name: Name,
    /// The failure domain of the target, whose members can all fail together.
    pub failure_domain: Name,
    /// Whether the target is live or leaving, according to the platform's list.
    pub state: HostState,
    /// Whether the target takes new work, as far as the responding daemon knows.
    pub healthy: bool,
    /// The memory for model weights and adapters; 0 for plain services.
    pub memory_bytes: u64,
    /// The memory reserved by recorded placement decisions; only the coordinator knows it, other
    /// daemons state 0.
    pub memory_reserved_bytes: u64,
    /// The number of requests that currently run on the target.
    pub requests_running: u64,
    /// The models, adapters or services that can serve requests.
    pub ready: Vec<Name>,
}

/// A model or adapter and its replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelReport {
    /// The name that callers state in a request.
    pub name: Name,
    /// The model that an adapter is for; `None` for a model.
    pub base: Option<Name>,
    /// The maximum number of replicas loaded at the same time.
    pub replicas_max: u32,
    /// The replicas that the responding daemon knows; only the coordinator knows replicas that
    /// aren't ready.
    pub replicas: Vec<ReplicaReport>,
    /// The number of requests that wait for a replica on the responding daemon.
    pub requests_waiting: u64,
}

/// A replica on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaReport {
    /// The target on which the replica is placed.
    pub target: Name,
    /// The progress of loading or unloading.
    pub state: ReplicaState,
}

/// The state of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Memory is reserved, and loading is not complete.
    Loading,
    /// The replica can run requests.
    Ready,
    /// Unloading isn't confirmed yet, so the memory stays reserved.
    Unloading,
}

/// A customer with its limits and request counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerReport {
    /// The customer's name in the configuration.
    pub name: Name,
    /// The rate limit in tokens per second, summed over all hosts.
    pub rate_tokens_per_s: u64,
    /// The burst limit in tokens, summed over all hosts.
    pub burst_tokens: u64,
    /// The responding daemon's share of the rate and burst limits, in parts per million.
    pub share_ppm: u32,
    /// The tokens that the responding daemon could admit now.
    pub available_tokens: u64,
    /// The number of requests that the responding daemon admitted since it started.
    pub admitted: u64,
    /// The number of requests that the responding daemon refused for the rate since it started.
    pub refused: u64,
}

/// A request to grant a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRequest {
    /// The customer that the key is for.
    pub customer: Name,
}

/// A granted key with its secret, which is returned only this once.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantReport {
    /// The public part of the key, by which it can be withdrawn.
    pub id: Name,
    /// The customer that the key is for.
    pub customer: Name,
    /// The whole key, as callers present it.
    pub secret: String,
    /// The revision that contains the key.
    pub revision: u64,
}

/// Omits the secret, so that it can't appear in a log.
impl fmt::Debug for GrantReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("GrantReport")
            .field("id", &self.id)
            .field("customer", &self.customer)
            .field("revision", &self.revision)
            .finish_non_exhaustive()
    }
}

/// A request to withdraw a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawRequest {
    /// The public part of the key.
    pub id: Name,
}

/// A key without its secret and digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyReport {
    /// The public part of the key.
    pub id: Name,
    /// The customer that the key was granted to.
    pub customer: Name,
}

/// The progress of the responding daemon's graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainReport {
    /// The name of the host that is draining.
    pub host: Name,
    /// The number of requests that the host is still serving.
    pub requests_running: u64,
}

/// A request to explain decisions about a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// A request's id, or the name of a model, adapter or customer.
    pub subject: String,
}

/// What a daemon knows and decided about a request, a model, an adapter or a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// The kind of the subject.
    pub kind: SubjectKind,
    /// The subject, as stated in the request.
    pub subject: String,
    /// The first of the facts, as one sentence.
    pub summary: String,
    /// The present state of a model, adapter or customer, then the decisions about the subject,
    /// latest first.
    pub facts: Vec<Fact>,
}

/// The kind of the subject of an explanation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubjectKind {
    /// A request, identified by its id.
    Request,
    /// A model or adapter, identified by its name.
    Model,
    /// A customer, identified by its name.
    Customer,
}

/// A fact that an explanation is based on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fact {
    /// What the fact is about, such as `memory on worker-3`.
    pub about: String,
    /// What was found, with its unit.
    pub finding: String,
}

/// The health of the responding daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthReport {
    /// The name of the daemon's host.
    pub host: Name,
    /// Whether the daemon accepts new callers.
    pub state: HealthState,
    /// The configuration revision in force on the daemon.
    pub revision: u64,
    /// The milliseconds since the daemon last confirmed that no newer revision is stored;
    /// `u64::MAX` if it never did.
    pub confirmed_age_ms: u64,
}

/// Whether a daemon accepts new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// The daemon accepts new callers.
    Serving,
    /// The daemon accepts new callers but refuses calls that need a key, because it can't confirm
    /// with the platform's store that its configuration is current.
    Degraded,
    /// The daemon sends new callers to another host, because it is shutting down.
    Draining,
}
