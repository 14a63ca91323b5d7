use std::net::SocketAddr;

use lycheeford_policy::{HostRecord, Name};

/// What a gateway must know before it can start.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The host's name, unique among the entry hosts.
    pub host: Name,
    /// The host's failure domain.
    pub failure_domain: Name,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where it is asked whether the host takes callers.
    pub readiness_address: SocketAddr,
    /// Where callers ask which address to use, if this host answers them.
    pub directory_address: Option<SocketAddr>,
    /// Where the other entry hosts report, over UDP.
    pub peer_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Connections of callers at once.
    pub caller_connections_max: usize,
    /// How long callers may keep the addresses that they were given.
    pub address_keep_ms: u64,
    /// How long a key that was withdrawn may go on working anywhere.
    pub key_revoke_ms: u64,
    /// How long after the store knows that a target leaves it may still get requests.
    pub target_leave_ms: u64,
    /// How long after the store knows a declaration it must be in force.
    pub declaration_ms: u64,
    /// How long orders of two hosts must be apart.
    pub order_lease_ms: u64,
    /// The time from the signal to end until the process is killed.
    pub stop_grace_ms: u64,
    /// How long a target that is alive may be missing after an outage of the store.
    pub entry_return_ms: u64,
    /// How many repeats targets may get.
    pub retries: RetryBounds,
}

impl GatewaySettings {
    /// Returns how the other hosts and callers reach this one.
    pub(crate) fn record(&self) -> HostRecord {
        HostRecord {
            host: self.host.clone(),
            peer_address: self.peer_address,
            caller_address: self.caller_address,
            failure_domain: self.failure_domain.clone(),
        }
    }
}

/// How many repeats a service may get over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// The window over which both are counted.
    pub window_ms: u64,
    /// Repeats for each request.
    pub repeats_per_request: f64,
    /// Repeats beyond that.
    pub slack: f64,
}
