use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Identifies one run of a process on a host; each restart gets a greater number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A machine as the platform's host list shows it, which may lag behind reality.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name, unique in the list.
    pub name: Name,
    /// The role of the host, with its properties.
    #[serde(flatten)]
    pub role: HostRole,
    /// The address at which the host serves requests: from callers for an entry host, from the
    /// daemons for a target.
    pub address: SocketAddr,
    /// The failure domain that the host belongs to.
    pub failure_domain: Name,
    /// Whether the host may get new work.
    pub state: HostState,
}

/// The role of a host, with its properties.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum HostRole {
    /// An entry host, which runs `lycheefordd`.
    Entry {
        /// The address at which other daemons connect.
        peer_address: SocketAddr,
    },
    /// A target that runs a model engine.
    ModelWorker {
        /// Memory for weights and adapters, in bytes.
        memory_bytes: u64,
        /// Whether the engine refuses orders with an old fencing number.
        checks_fence: bool,
    },
    /// A target that runs plain services.
    ApplicationWorker {
        /// The names of the services that the target runs, sorted.
        services: Vec<Name>,
    },
}

/// Whether a host may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service and may get new work.
    Live,
    /// The host will be removed; it finishes its running work and gets no more.
    Leaving,
}
