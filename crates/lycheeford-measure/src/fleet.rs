use std::net::SocketAddr;

use lycheeford_fakes::Call;
use lycheeford_operator::OperatorClient;
use lycheeford_policy::{Host, HostRole};
use lycheeford_target::{TargetClient, TargetLimits};
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever};

use crate::Arguments;
use crate::process::Process;

/// Connections kept open to each address; more than the requests that run concurrently.
const POOL_MAX: usize = 256;

/// The daemons under measurement, and what is needed to call them.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) platform: SocketAddr,
    /// The API key of a customer.
    pub(crate) key: String,
    pub(crate) client: TargetClient,
}

#[derive(Debug)]
pub(crate) struct Daemon {
    /// The address for callers.
    pub(crate) caller: SocketAddr,
    pub(crate) operator: OperatorClient,
    pub(crate) process: Process,
}

impl Fleet {
    pub(crate) fn new(arguments: Arguments) -> Result<Fleet, Whatever> {
        let daemons = arguments.caller.len();
        let is_complete = arguments.operator.len() == daemons && arguments.pid.len() == daemons;
        ensure_whatever!(
            daemons > 0 && is_complete,
            "give --caller, --operator and --pid once for each daemon"
        );
        let processes = arguments.operator.into_iter().zip(arguments.pid);
        let daemons = arguments.caller.into_iter().zip(processes);
        let limits = TargetLimits { pool_per_target_max: POOL_MAX, ..TargetLimits::default() };
        Ok(Fleet {
            daemons: daemons
                .map(|(caller, (operator, pid))| Daemon::new(caller, operator, pid))
                .collect(),
            platform: arguments.platform,
            key: arguments.key,
            client: TargetClient::new(limits),
        })
    }

    /// Returns the client for operator calls; they go to the first daemon.
    pub(crate) fn operator(&self) -> OperatorClient {
        self.daemons[0].operator
    }

    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.caller).collect()
    }

    /// Gets a path of the platform's service and returns the answer's JSON.
    pub(crate) async fn platform_json(&self, path: &str) -> Result<Value, Whatever> {
        let answer = Call::get(path).send(self.platform).await;
        Ok(answer.whatever_context("the platform did not answer")?.json())
    }

    /// Returns the address of an engine that has the model ready.
    pub(crate) async fn engine_with(&self, model: &str) -> Result<SocketAddr, Whatever> {
        let targets = self.operator().targets().await;
        let targets = targets.whatever_context("can't list the targets")?;
        let ready =
            targets.iter().find(|target| target.ready.iter().any(|name| name.as_str() == model));
        let ready = ready.whatever_context("no target has the model ready")?;
        let host = self.platform_json(&format!("/objects/host/{}", ready.name)).await?;
        let address = host["value"]["address"].as_str();
        let address = address.whatever_context("the target has no address")?;
        address.parse().whatever_context("the target's address is malformed")
    }

    /// Returns the addresses on which the daemons listen for each other.
    pub(crate) async fn peer_addresses(&self) -> Result<Vec<SocketAddr>, Whatever> {
        let listing = self.platform_json("/objects/host").await?;
        let objects = listing["objects"].as_array();
        let mut peers = Vec::new();
        for object in objects.whatever_context("the platform's list of hosts is malformed")? {
            let host: Host = serde_json::from_value(object["value"].clone())
                .whatever_context("a host object of the platform is malformed")?;
            if let HostRole::Entry { peer_address } = host.role {
                peers.push(peer_address);
            }
        }
        Ok(peers)
    }

    pub(crate) fn processes(&self) -> impl Iterator<Item = &Process> {
        self.daemons.iter().map(|daemon| &daemon.process)
    }
}

impl Daemon {
    fn new(caller: SocketAddr, operator: SocketAddr, pid: u32) -> Daemon {
        let operator = OperatorClient::new(operator);
        Daemon { caller, operator, process: Process::new(pid) }
    }
}
