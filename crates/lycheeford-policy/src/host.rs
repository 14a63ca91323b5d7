use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Identifies one life of a process; a restarted process has a greater one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A machine as the platform's lagging list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name, unique in the list.
    pub name: Name,
    /// What the host does.
    #[serde(flatten)]
    pub role: HostRole,
    /// Where the host serves requests: callers for an entry host, the daemons for a target.
    pub address: SocketAddr,
    /// The failure domain that the host is lost with.
    pub failure_domain: Name,
    /// Whether the host may get new work.
    pub state: HostState,
}

/// What a host does, with what is known of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum HostRole {
    /// Runs `lycheefordd`.
    Entry {
        /// Where other daemons connect.
        peer_address: SocketAddr,
    },
    /// A target that runs a model engine.
    ModelWorker {
        /// Memory for weights and adapters.
        memory_bytes: u64,
        /// Whether the engine refuses orders with an old fencing number.
        checks_fence: bool,
    },
    /// A target that runs plain services.
    ApplicationWorker {
        /// The services that it runs, sorted.
        services: Vec<Name>,
    },
}

/// Whether a host may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// About to be taken away; it finishes what it has.
    Leaving,
}
