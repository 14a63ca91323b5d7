use std::net::SocketAddr;

use lycheeford_policy::Name;

use super::{DeploymentKind, loopback};

/// The failure domains; hosts are assigned to them round-robin.
const FAILURE_DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

const ENGINE_MEMORY_BYTES: u64 = 80_000_000_000;

/// The name, failure domain and addresses of a daemon.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// The name of its host.
    pub name: Name,
    /// The failure domain of its host.
    pub failure_domain: Name,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for other daemons.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
}

/// The address and options of an engine.
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// The name of its host.
    pub name: Name,
    /// The failure domain of its host.
    pub failure_domain: Name,
    /// The address to listen on.
    pub address: SocketAddr,
    /// Memory for model weights and adapters.
    pub memory_bytes: u64,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub checks_fence: bool,
    /// Models whose checkpoints are on the engine's disk at the start.
    pub disk_checkpoints: Vec<Name>,
}

/// The address and services of an application worker.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The name of its host.
    pub name: Name,
    /// The failure domain of its host.
    pub failure_domain: Name,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The services that it runs, sorted.
    pub services: Vec<Name>,
}

/// The number of hosts, models and adapters, and the load rate of the weight store.
#[derive(Debug, Clone)]
pub(super) struct Sizes {
    pub(super) daemons: u8,
    pub(super) engines: u8,
    pub(super) services: u8,
    pub(super) models: u32,
    pub(super) adapters: u32,
    pub(super) loads_per_s: f64,
}

impl Sizes {
    pub(super) fn of(kind: DeploymentKind) -> Sizes {
        match kind {
            DeploymentKind::Small => Sizes {
                daemons: 6,
                engines: 4,
                services: 2,
                models: 8,
                adapters: 6,
                loads_per_s: 8.0,
            },
            DeploymentKind::Northpass => Sizes {
                daemons: 6,
                engines: 9,
                services: 3,
                models: 50,
                adapters: 40,
                loads_per_s: 8.0,
            },
            DeploymentKind::Regulator => Sizes {
                daemons: 6,
                engines: 20,
                services: 3,
                models: 100,
                adapters: 120,
                loads_per_s: 6.5,
            },
        }
    }
}

impl DaemonPlan {
    pub(super) fn new(net: u8, index: u8) -> DaemonPlan {
        DaemonPlan {
            name: numbered("entry", index),
            failure_domain: failure_domain(index),
            caller: loopback(net, 1, index + 1, 7001),
            peer: loopback(net, 1, index + 1, 7101),
            operator: loopback(net, 1, index + 1, 7201),
        }
    }
}

impl EnginePlan {
    pub(super) fn new(net: u8, index: u8, sizes: &Sizes) -> EnginePlan {
        let on_disk = |model: &u32| model % u32::from(sizes.engines) == u32::from(index);
        EnginePlan {
            name: numbered("worker", index),
            failure_domain: failure_domain(index),
            address: loopback(net, 2, index + 1, 8000),
            memory_bytes: ENGINE_MEMORY_BYTES,
            checks_fence: index.is_multiple_of(2),
            // Half of the models (odd indices) are on no disk, only in the weight store.
            disk_checkpoints: (0..sizes.models)
                .step_by(2)
                .filter(on_disk)
                .map(model_name)
                .collect(),
        }
    }
}

impl ServicePlan {
    pub(super) fn new(net: u8, index: u8) -> ServicePlan {
        ServicePlan {
            name: numbered("application", index),
            failure_domain: failure_domain(index),
            address: loopback(net, 3, index + 1, 8100),
            services: vec![Name::from("ledger"), Name::from("notes")],
        }
    }
}

pub(super) fn model_name(index: u32) -> Name {
    Name::from(format!("model-{index:03}"))
}

fn numbered(stem: &str, index: u8) -> Name {
    Name::from(format!("{stem}-{:02}", index + 1))
}

fn failure_domain(index: u8) -> Name {
    Name::from(FAILURE_DOMAINS[usize::from(index) % FAILURE_DOMAINS.len()])
}
