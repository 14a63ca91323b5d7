use std::net::SocketAddr;

use lycheeford_policy::{Host, HostRole, HostState, Name};
use serde::{Deserialize, Serialize};

use super::{StoredError, check_sorted};

/// The form of a [`Host`] in the platform's list of hosts.
///
/// Unknown fields are ignored, since the platform defines this form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHost {
    name: Name,
    #[serde(flatten)]
    role: StoredRole,
    address: SocketAddr,
    failure_domain: Name,
    state: StoredHostState,
}

/// The form of a [`HostRole`] in the platform's list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "snake_case")]
pub enum StoredRole {
    /// Runs `lycheefordd`.
    Entry {
        /// The address at which the daemon accepts connections of other daemons.
        peer_address: SocketAddr,
    },
    /// A target that runs a model engine.
    ModelWorker {
        /// The memory for model weights and adapters.
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

/// The form of a [`HostState`] in the platform's list of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredHostState {
    /// The host is in service.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}

impl From<&Host> for StoredHost {
    fn from(host: &Host) -> StoredHost {
        StoredHost {
            name: host.name.clone(),
            role: (&host.role).into(),
            address: host.address,
            failure_domain: host.failure_domain.clone(),
            state: match host.state {
                HostState::Live => StoredHostState::Live,
                HostState::Leaving => StoredHostState::Leaving,
            },
        }
    }
}

impl TryFrom<StoredHost> for Host {
    type Error = StoredError;

    fn try_from(stored: StoredHost) -> Result<Host, StoredError> {
        Ok(Host {
            name: stored.name,
            role: stored.role.try_into()?,
            address: stored.address,
            failure_domain: stored.failure_domain,
            state: match stored.state {
                StoredHostState::Live => HostState::Live,
                StoredHostState::Leaving => HostState::Leaving,
            },
        })
    }
}

impl From<&HostRole> for StoredRole {
    fn from(role: &HostRole) -> StoredRole {
        match role {
            HostRole::Entry { peer_address } => StoredRole::Entry { peer_address: *peer_address },
            HostRole::ModelWorker { memory_bytes, checks_fence } => {
                StoredRole::ModelWorker { memory_bytes: *memory_bytes, checks_fence: *checks_fence }
            }
            HostRole::ApplicationWorker { services } => {
                StoredRole::ApplicationWorker { services: services.clone() }
            }
        }
    }
}

impl TryFrom<StoredRole> for HostRole {
    type Error = StoredError;

    fn try_from(stored: StoredRole) -> Result<HostRole, StoredError> {
        Ok(match stored {
            StoredRole::Entry { peer_address } => HostRole::Entry { peer_address },
            StoredRole::ModelWorker { memory_bytes, checks_fence } => {
                HostRole::ModelWorker { memory_bytes, checks_fence }
            }
            StoredRole::ApplicationWorker { services } => {
                check_sorted("services", services.iter())?;
                HostRole::ApplicationWorker { services }
            }
        })
    }
}
