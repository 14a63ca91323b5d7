//! Starts a fleet of real processes on loopback, and injects faults into it.
//!
//! Each fleet has a network `127.N.0.0/16` of its own. The daemons reach the platform and each
//! other, and on demand the engines, through [`Relay`]s. All processes end when the [`Fleet`] is
//! dropped.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod message;
mod process;
mod relay;

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use lycheeford_config::{Document, check, merge};
use lycheeford_fakes::{
    Call, Deployment, DeploymentKind, EngineAudit, EnginePlan, PlatformCalls, ServiceRuns,
};
use lycheeford_operator::{
    ApplyRequest, GrantReport, GrantRequest, OperatorClient, OperatorErrorCode,
};
use lycheeford_policy::{Host, HostRole};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use self::process::Process;
pub use self::relay::Relay;

/// Time-out of waits; far longer than any step takes, so that only a fault reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

const POLL: Duration = Duration::from_millis(20);

/// The prefix of every API key, which the targets search for in what they receive.
const KEY_PREFIX: &str = "lf_";

/// How the daemons reach the engines.
///
/// A relay accepts connections even while its engine is down, which a daemon can't tell from an
/// engine that runs and closes its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineLinks {
    Direct,
    Relayed,
}

/// A running fleet.
pub struct Fleet {
    pub deployment: Deployment,
    pub daemons: Vec<Process>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub platform: Process,
    pub weight_store: Process,
    /// In front of the platform, one for each daemon.
    pub platform_relays: Vec<Relay>,
    /// In front of each daemon's peer address.
    pub peer_relays: Vec<Relay>,
    /// In front of each engine, if the fleet was started with them.
    pub engine_relays: Vec<Relay>,
    /// A key for each customer, in the order of the customers.
    pub keys: Vec<String>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the small deployment with its configuration in force and a key for each customer.
    pub async fn start(test: &str) -> Fleet {
        Fleet::start_with(test, EngineLinks::Direct, |_| {}).await
    }

    /// Starts the small deployment after applying `change` to it.
    pub async fn start_with(
        test: &str,
        links: EngineLinks,
        change: impl FnOnce(&mut Deployment),
    ) -> Fleet {
        let net = claim_net();
        let mut deployment = Deployment::new(DeploymentKind::Small, net);
        change(&mut deployment);
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{net}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("the folder for logs can be made");
        let mut fleet = start_stand_ins(deployment, folder);
        fleet.start_relays(net, links).await;
        fleet.store_hosts(net, links).await;
        fleet.start_daemons();
        fleet.await_daemons().await;
        fleet.apply_configuration().await;
        fleet.grant_keys().await;
        fleet
    }

    /// Returns the address of a daemon for callers.
    pub fn caller_address(&self, daemon: usize) -> SocketAddr {
        self.deployment.daemons[daemon].caller
    }

    /// Returns a client of a daemon's admin API.
    pub fn operator(&self, daemon: usize) -> OperatorClient {
        OperatorClient::new(self.deployment.daemons[daemon].operator)
    }

    /// Returns what a daemon has logged so far, over all its restarts.
    pub fn log_of_daemon(&self, daemon: usize) -> String {
        let name = &self.deployment.daemons[daemon].name;
        fs::read_to_string(self.folder.join(format!("{name}.log"))).expect("the log can be read")
    }

    /// Cuts a daemon off from the platform and from every other daemon, until `reconnect`.
    pub fn isolate(&self, daemon: usize) {
        let name = self.deployment.daemons[daemon].name.as_str();
        self.platform_relays[daemon].cut(name);
        for (index, relay) in self.peer_relays.iter().enumerate() {
            if index != daemon {
                relay.cut(name);
            }
        }
        for other in self.deployment.daemons.iter().filter(|other| other.name.as_str() != name) {
            self.peer_relays[daemon].cut(&other.name);
        }
    }

    /// Ends the isolation of a daemon.
    pub fn reconnect(&self, daemon: usize) {
        let name = self.deployment.daemons[daemon].name.as_str();
        self.platform_relays[daemon].reconnect(name);
        for relay in &self.peer_relays {
            relay.reconnect(name);
        }
        for other in &self.deployment.daemons {
            self.peer_relays[daemon].reconnect(&other.name);
        }
    }

    /// Replaces the faults of a stand-in.
    pub async fn set_faults(&self, stand_in: SocketAddr, faults: &impl Serialize) {
        let body = serde_json::to_vec(faults).expect("faults are JSON");
        let call = Call { method: Method::Post, body, ..Call::get("/fault") };
        assert_eq!(call.send(stand_in).await.expect("the stand-in answers").status, 200);
    }

    /// Returns the revision of the platform's store.
    pub async fn revision(&self) -> u64 {
        let revision: serde_json::Value = read(self.deployment.platform, "/revision").await;
        revision["revision"].as_u64().expect("a revision")
    }

    /// Restores the platform's store to a revision.
    pub async fn restore(&self, revision: u64) {
        let body = serde_json::to_vec(&serde_json::json!({ "revision": revision })).expect("JSON");
        let call = Call { method: Method::Post, body, ..Call::get("/restore") };
        let answer = call.send(self.deployment.platform).await.expect("the stand-in answers");
        assert_eq!(answer.status, 200);
    }

    /// Returns the audit of each engine: its orders and what it did.
    pub async fn audits(&self) -> Vec<EngineAudit> {
        let mut audits = Vec::new();
        for engine in &self.deployment.engines {
            audits.push(read(engine.address, "/audit").await);
        }
        audits
    }

    /// Returns the runs of each application worker.
    pub async fn runs(&self) -> Vec<ServiceRuns> {
        let mut runs = Vec::new();
        for worker in &self.deployment.services {
            runs.push(read(worker.address, "/ran").await);
        }
        runs
    }

    /// Returns the platform's calls so far.
    pub async fn platform_calls(&self) -> PlatformCalls {
        read(self.deployment.platform, "/calls").await
    }

    /// Waits until the daemon answers its operators and reaches all others.
    pub async fn await_daemon(&self, daemon: usize) {
        let (operator, daemons) = (self.operator(daemon), self.daemons.len());
        until("the daemons reach each other", async || {
            let hosts = operator.in_force().await;
            hosts.is_ok_and(|hosts| {
                hosts.len() == daemons && hosts.iter().all(|host| host.reachable)
            })
        })
        .await;
    }

    async fn start_relays(&mut self, net: u8, links: EngineLinks) {
        let names: Vec<String> =
            self.deployment.daemons.iter().map(|daemon| daemon.name.to_string()).collect();
        for daemon in &self.deployment.daemons {
            let own = vec![daemon.name.to_string()];
            let (platform, peer) = (relayed(net, daemon.caller, 4), relayed(net, daemon.peer, 5));
            self.platform_relays.push(Relay::start(platform, self.deployment.platform, own).await);
            self.peer_relays.push(Relay::start(peer, daemon.peer, names.clone()).await);
        }
        let relayed_engines = match links {
            EngineLinks::Direct => &[],
            EngineLinks::Relayed => self.deployment.engines.as_slice(),
        };
        for engine in relayed_engines {
            let address = relayed(net, engine.address, 6);
            self.engine_relays.push(Relay::start(address, engine.address, Vec::new()).await);
        }
    }

    async fn store_hosts(&self, net: u8, links: EngineLinks) {
        for mut host in self.deployment.hosts() {
            match &mut host.role {
                HostRole::Entry { peer_address } => *peer_address = relayed(net, *peer_address, 5),
                HostRole::ModelWorker { .. } if links == EngineLinks::Relayed => {
                    host.address = relayed(net, host.address, 6);
                }
                _ => {}
            }
            self.store_host(&host).await;
        }
    }

    /// Puts a host into the platform's list.
    pub async fn store_host(&self, host: &Host) {
        let body = serde_json::to_vec(host).expect("a host is JSON");
        let path = format!("/objects/host/{}", host.name);
        let call = Call { method: Method::Put, body, ..Call::get(&path) };
        let answer = call.send(self.deployment.platform).await.expect("the platform answers");
        assert_eq!(answer.status, 200);
    }

    fn start_daemons(&mut self) {
        for daemon in &self.deployment.daemons {
            let [_, net, ..] = octets(daemon.caller);
            let platform = relayed(net, daemon.caller, 4);
            let settings = self.folder.join(format!("{}.yaml", daemon.name));
            let yaml = self.deployment.settings_yaml(daemon, platform);
            fs::write(&settings, yaml).expect("the settings can be written");
            let log = self.folder.join(format!("{}.log", daemon.name));
            self.daemons.push(Process::daemon(&settings, log));
        }
    }

    async fn await_daemons(&self) {
        for daemon in 0..self.daemons.len() {
            self.await_daemon(daemon).await;
        }
    }

    async fn apply_configuration(&self) {
        let merged = merge(&self.deployment.base, &self.deployment.overlay);
        let checked = check(&merged).expect("the deployment's configuration is good");
        self.apply(Document::from(&checked)).await;
    }

    /// Replaces the declared configuration and waits until the new one is in force everywhere.
    pub async fn apply(&self, document: Document) {
        let client = self.operator(0);
        let stored = client.configuration().await.expect("the configuration can be read");
        let stamp = format!("test-{}", stored.revision);
        let request = ApplyRequest { base_revision: stored.revision, stamp, document };
        let revision = client.apply(&request).await.expect("the change is accepted").revision;
        self.await_in_force(revision).await;
    }

    /// Waits until a revision is in force everywhere.
    pub async fn await_in_force(&self, revision: u64) {
        let client = self.operator(0);
        until("the configuration is in force", async || {
            let hosts = client.in_force().await;
            hosts.is_ok_and(|hosts| hosts.iter().all(|host| host.revision >= revision))
        })
        .await;
    }

    async fn grant_keys(&mut self) {
        let client = self.operator(0);
        let mut revision = 0;
        for customer in self.deployment.customers() {
            let granted = grant(&client, &GrantRequest { customer }).await;
            self.keys.push(granted.secret);
            revision = granted.revision;
        }
        self.await_in_force(revision).await;
    }
}

/// Grants a key, and retries while the daemon reports the platform as unavailable: on a busy
/// machine its store may be slow.
async fn grant(client: &OperatorClient, request: &GrantRequest) -> GrantReport {
    let start = Instant::now();
    loop {
        let error = match client.grant_key(request).await {
            Ok(granted) => return granted,
            Err(error) => error,
        };
        let code = error.refusal().map(|refusal| refusal.code);
        let may_retry = code == Some(OperatorErrorCode::PlatformUnavailable);
        assert!(may_retry && start.elapsed() < WAIT_TIMEOUT, "a key can be granted: {error:?}");
        task::sleep(POLL).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the processes: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until `done` returns true.
pub async fn until(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !done().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        task::sleep(POLL).await;
    }
}

fn start_stand_ins(deployment: Deployment, folder: PathBuf) -> Fleet {
    let start = |name: &str, address: SocketAddr, mut arguments: Vec<String>| {
        arguments.extend(["--listen".to_owned(), address.to_string()]);
        let log = folder.join(format!("{name}-{}.log", address.ip()));
        Process::stand_in(name, arguments, log)
    };
    let marker = || vec!["--marker".to_owned(), KEY_PREFIX.to_owned()];
    let store = deployment.weight_store;
    Fleet {
        platform: start("fake-platform", deployment.platform, Vec::new()),
        weight_store: start("fake-weight-store", store, Vec::new()),
        engines: deployment
            .engines
            .iter()
            .map(|engine| {
                let arguments = [marker(), engine_arguments(engine, store)].concat();
                start("fake-engine", engine.address, arguments)
            })
            .collect(),
        services: deployment
            .services
            .iter()
            .map(|worker| start("fake-service", worker.address, marker()))
            .collect(),
        daemons: Vec::new(),
        platform_relays: Vec::new(),
        peer_relays: Vec::new(),
        engine_relays: Vec::new(),
        keys: Vec::new(),
        deployment,
        folder,
    }
}

/// A prompt with this text crashes the engine that runs it.
pub const CRASH_MARKER: &str = "crash the engine";

fn engine_arguments(engine: &EnginePlan, store: SocketAddr) -> Vec<String> {
    let mut arguments = vec![
        "--memory-bytes".to_owned(),
        engine.memory_bytes.to_string(),
        "--weight-store".to_owned(),
        store.to_string(),
        "--crash-marker".to_owned(),
        CRASH_MARKER.to_owned(),
        // Accepts orders that overcommit its memory, so that a test detects them.
        "--trusting".to_owned(),
    ];
    if engine.checks_fence {
        arguments.push("--checks-fence".to_owned());
    }
    for name in &engine.disk_checkpoints {
        arguments.extend(["--disk-checkpoint".to_owned(), name.to_string()]);
    }
    arguments
}

async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let answer = Call::get(path).send(address).await.expect("the stand-in answers");
    serde_json::from_str(&answer.body)
        .expect("the stand-in is of this build; run `cargo build --workspace`")
}

/// Returns the address of the relay in front of `address`.
fn relayed(net: u8, address: SocketAddr, group: u8) -> SocketAddr {
    let [.., last] = octets(address);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net, group, last)), address.port())
}

fn octets(address: SocketAddr) -> [u8; 4] {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => panic!("deployments use IPv4"),
    }
}

/// Finds a network that no other fleet on this machine uses.
///
/// The network stays claimed until this process ends, as the relays keep listening.
fn claim_net() -> u8 {
    static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let first = std::process::id() as usize;
    let claim = |net: u8| {
        let claim = TcpListener::bind((Ipv4Addr::new(127, net, 255, 1), 6999)).ok()?;
        // A demo or a benchmark may use the network without a claim.
        TcpListener::bind(Deployment::new(DeploymentKind::Small, net).platform).ok()?;
        Some(claim)
    };
    let (net, listener) = (0..200)
        .map(|step| 20 + ((first * 7 + step) % 200) as u8)
        .find_map(|net| claim(net).map(|listener| (net, listener)))
        .expect("a network is free");
    CLAIMS.lock().unwrap().push(listener);
    net
}
