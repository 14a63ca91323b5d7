use std::net::{IpAddr, SocketAddr};

use lycheeford_policy::{HostRecord, Name};

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// The host's name, unique among the entry hosts.
    pub host: Name,
    /// The failure domain of the host.
    pub failure_domain: Name,
    /// The address at which callers connect.
    pub caller_address: SocketAddr,
    /// The address of the platform's readiness check.
    pub readiness_address: SocketAddr,
    /// The address of the directory for callers; absent if this host doesn't serve it.
    pub directory_address: Option<SocketAddr>,
    /// The UDP address for messages of the other entry hosts.
    pub peer_address: SocketAddr,
    /// The address from which connections to targets are opened.
    pub target_source: IpAddr,
    /// The address at which metrics are scraped.
    pub metrics_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The writes per second that the store takes from all hosts together.
    pub store_writes_per_s: f64,
    /// The most concurrent connections of callers.
    pub caller_connections_max: usize,
    /// The memory of the machine that this process may use, in millions of bytes.
    pub memory_mb: u64,
    /// How long callers may cache the addresses from the directory.
    pub address_cache_ms: u64,
    /// The time within which a withdrawn key must stop working on every host.
    pub key_revocation_ms_max: u64,
    /// The time after its leaving is stored within which a target may still get requests.
    pub target_leave_ms_max: u64,
    /// The time within which a stored evacuation of a failure domain must be in force; absent if the
    /// deployment has no evacuations.
    pub evacuation_ms_max: Option<u64>,
    /// The time within which a stored declaration must be in force.
    pub declaration_apply_ms_max: u64,
    /// The least time between the orders of two successive lease holders.
    pub order_lease_ms: u64,
    /// The time from the stop signal until the process is killed.
    pub stop_grace_ms: u64,
    /// How long a target without an entry is still used after an outage of the store.
    pub missing_entry_grace_ms: u64,
    /// The retry budget of each service.
    pub retries: RetryBounds,
}

impl GatewaySettings {
    /// Returns the addresses at which the other hosts and callers reach this host.
    pub(crate) fn record(&self) -> HostRecord {
        HostRecord {
            host: self.host.clone(),
            peer_address: self.peer_address,
            caller_address: self.caller_address,
            failure_domain: self.failure_domain.clone(),
        }
    }
}

/// The retry budget of a service over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// The window over which requests and retries are counted.
    pub window_ms: u64,
    /// The allowed retries per request.
    pub repeats_per_request: f64,
    /// The allowed retries beyond the ratio, in each window.
    pub slack: f64,
}
