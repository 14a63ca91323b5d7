mod declared;
mod plan;

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use lycheeford_config::Document;
use lycheeford_policy::{Host, HostRole, HostState, Name};

use self::declared::{declared_base, declared_overlay};
use self::plan::Sizes;

pub use self::plan::{DaemonPlan, EnginePlan, ServicePlan};

/// A whole deployment on loopback addresses: processes, host list and configuration.
///
/// All addresses are in one network `127.NET.0.0/16`, so that deployments in
/// different networks can run at the same time.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// The address of the platform's stand-in.
    pub platform: SocketAddr,
    /// The address of the weight store's stand-in.
    pub weight_store: SocketAddr,
    /// The daemons, one on each entry host.
    pub daemons: Vec<DaemonPlan>,
    /// The model engines, one on each model worker.
    pub engines: Vec<EnginePlan>,
    /// The application workers, which run plain services.
    pub services: Vec<ServicePlan>,
    /// The base file of the configuration.
    pub base: Document,
    /// The overlay file of the configuration.
    pub overlay: Document,
    /// The `stop_grace_ms` setting of each daemon; if absent, the default of the settings.
    pub stop_grace_ms: Option<u64>,
    kind: DeploymentKind,
    net: u8,
}

/// The size and the weights of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeploymentKind {
    /// A few hosts of each role, 8 models and 6 adapters, for a first look and for tests.
    Small,
    /// The size and the weights of the chart office, with 9 engines, 50 models and 40 adapters.
    Northpass,
    /// The size and the weights of the regulator, with 20 engines, 100 models and 120 adapters.
    Regulator,
}

impl FromStr for DeploymentKind {
    type Err = String;

    fn from_str(text: &str) -> Result<DeploymentKind, String> {
        match text {
            "small" => Ok(DeploymentKind::Small),
            "northpass" => Ok(DeploymentKind::Northpass),
            "regulator" => Ok(DeploymentKind::Regulator),
            _ => Err(format!("unknown deployment {text:?}; use small, northpass or regulator")),
        }
    }
}

impl Deployment {
    /// Returns the deployment in the network `127.net.0.0/16`.
    pub fn new(kind: DeploymentKind, net: u8) -> Deployment {
        let sizes = Sizes::of(kind);
        Deployment {
            platform: loopback(net, 0, 1, 7000),
            weight_store: loopback(net, 0, 2, 7050),
            daemons: (0..sizes.daemons).map(|index| DaemonPlan::new(net, index)).collect(),
            engines: (0..sizes.engines).map(|index| EnginePlan::new(net, index, &sizes)).collect(),
            services: (0..sizes.services).map(|index| ServicePlan::new(net, index)).collect(),
            base: declared_base(&sizes),
            overlay: declared_overlay(kind),
            stop_grace_ms: None,
            kind,
            net,
        }
    }

    /// Replaces the daemons by this many, spread over the same failure domains.
    pub fn with_daemons(self, daemons: u8) -> Deployment {
        let daemons = (0..daemons).map(|index| DaemonPlan::new(self.net, index)).collect();
        Deployment { daemons, ..self }
    }

    /// Returns the names of the customers.
    pub fn customers(&self) -> Vec<Name> {
        self.base.customers.iter().map(|customer| customer.name.clone()).collect()
    }

    /// Returns the hosts to register with the platform.
    pub fn hosts(&self) -> Vec<Host> {
        let daemons = self.daemons.iter().map(|daemon| {
            let role = HostRole::Entry { peer_address: daemon.peer };
            host(&daemon.name, role, daemon.caller, &daemon.failure_domain)
        });
        let engines = self.engines.iter().map(|engine| {
            let role = HostRole::ModelWorker {
                memory_bytes: engine.memory_bytes,
                checks_fence: engine.checks_fence,
            };
            host(&engine.name, role, engine.address, &engine.failure_domain)
        });
        let services = self.services.iter().map(|worker| {
            let role = HostRole::ApplicationWorker { services: worker.services.clone() };
            host(&worker.name, role, worker.address, &worker.failure_domain)
        });
        daemons.chain(engines).chain(services).collect()
    }

    /// Returns a daemon's settings file with `platform` as the platform's address.
    pub fn settings_yaml(&self, daemon: &DaemonPlan, platform: SocketAddr) -> String {
        let loads_per_s = Sizes::of(self.kind).loads_per_s;
        let mut yaml = String::new();
        let fields = [
            ("host", daemon.name.to_string()),
            ("failure_domain", daemon.failure_domain.to_string()),
            ("caller_address", daemon.caller.to_string()),
            ("peer_address", daemon.peer.to_string()),
            ("operator_address", daemon.operator.to_string()),
            ("platform_address", platform.to_string()),
        ];
        for (field, value) in fields {
            // Writing to a string can't fail.
            let _ = writeln!(yaml, "{field}: {value}");
        }
        if let Some(stop_grace_ms) = self.stop_grace_ms {
            let _ = writeln!(yaml, "stop_grace_ms: {stop_grace_ms}");
        }
        let _ = writeln!(yaml, "weight_store:");
        let _ = writeln!(yaml, "  loads_at_once: 4");
        let _ = writeln!(yaml, "  loads_per_s: {loads_per_s}");
        let _ = writeln!(yaml, "  adapter_loads_at_once: 30");
        yaml
    }
}

fn host(name: &Name, role: HostRole, address: SocketAddr, failure_domain: &Name) -> Host {
    Host {
        name: name.clone(),
        role,
        address,
        failure_domain: failure_domain.clone(),
        state: HostState::Live,
    }
}

fn loopback(net: u8, group: u8, index: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net, group, index)), port)
}
