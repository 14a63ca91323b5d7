//! The project's gateway, started as a process with the command of the deploy file.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

/// The ids of the processes that were started, so that the watchdog can end them.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static LAST: AtomicU64 = AtomicU64::new(0);

/// What the settings of a gateway differ in.
#[derive(Clone)]
pub struct Machine {
    pub node_name: String,
    pub ip: IpAddr,
    pub zone: String,
}

/// The ports of a case, which are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub frontend: u16,
    pub readiness: u16,
    pub directory: u16,
    pub internal: u16,
}

impl Ports {
    /// Finds ports that are free on all the addresses.
    pub fn find(ips: &[IpAddr]) -> Ports {
        let mut first = 20_000 + (std::process::id() % 400) as u16 * 20;
        loop {
            let tcp_ports = [first, first + 1, first + 2, first + 3, first + 4];
            let is_free = ips.iter().all(|ip| {
                tcp_ports.iter().all(|port| TcpListener::bind((*ip, *port)).is_ok())
                    && UdpSocket::bind((*ip, first + 3)).is_ok()
            });
            if is_free {
                return Ports {
                    frontend: first,
                    readiness: first + 1,
                    directory: first + 2,
                    internal: first + 3,
                };
            }
            first += 20;
            assert!(first < 30_000, "no free ports");
        }
    }
}

pub struct Gateway {
    pub machine: Machine,
    pub ports: Ports,
    child: Child,
    record: Record,
}

impl Gateway {
    /// Starts a gateway, whose log goes to the temporary folder of this process.
    pub fn start(
        machine: &Machine,
        ports: Ports,
        store: SocketAddr,
        record: &Record,
        is_bootstrap: bool,
    ) -> Gateway {
        let number = LAST.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("the temporary folder can be made");
        let settings = directory.join(format!("settings-{number}.toml"));
        fs::write(&settings, settings_text(machine, ports, store, is_bootstrap))
            .expect("the settings can be written");
        let (program, arguments, environment) = deployed();
        let log = fs::File::create(directory.join(format!("gateway-{number}.log")))
            .expect("the log can be written");
        let child = Command::new(program)
            .args(arguments)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .envs(environment)
            .env("LYCHEEFORD_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        STARTED.lock().unwrap().push(child.id());
        let Machine { node_name, ip, .. } = machine;
        record.line(&format!("gateway {node_name} at {ip} started, process {}", child.id()));
        Gateway { machine: machine.clone(), ports, child, record: record.clone() }
    }

    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(self.machine.ip, self.ports.frontend)
    }

    /// Waits until the readiness page answers 200.
    pub fn wait_ready(&self) {
        let start = Instant::now();
        while !self.is_ready() {
            assert!(start.elapsed() < Duration::from_secs(20), "the gateway isn't ready in time");
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(&format!("gateway {} is ready", self.machine.node_name));
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.machine.ip, self.ports.readiness);
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /v1/readyz HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Sends a signal: KILL, TERM, STOP, CONT or HUP.
    pub fn signal(&self, name: &str) {
        self.record.line(&format!("gateway {} gets SIG{name}", self.machine.node_name));
        signal(self.child.id(), name);
    }

    /// Waits until the process has ended.
    pub fn wait_end(&mut self) {
        let _ = self.child.wait();
        self.record.line(&format!("gateway {} has ended", self.machine.node_name));
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").args([format!("-{name}"), id.to_string()]).status();
}

/// Ends all started processes and the whole case if it takes too long.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        end_all();
        println!("the case took too long");
        std::process::exit(2);
    });
}

/// Ends all processes that were started, and removes their files.
pub fn end_all() {
    for id in STARTED.lock().unwrap().iter() {
        signal(*id, "KILL");
    }
    if std::env::var("KEEP").is_err() {
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let _ = fs::remove_dir_all(directory);
    }
}

/// Reads the program, its arguments and its variables from the deploy file.
fn deployed() -> (String, Vec<String>, Vec<(String, String)>) {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file can be read");
    let line = |start: &str| {
        let found = text.lines().find(|line| line.trim_start().starts_with(start));
        found.unwrap_or("").to_owned()
    };
    let run = line("run = ");
    let run = run.split('"').nth(1).expect("the deploy file has a run line").to_owned();
    let mut words = run.split(' ').map(str::to_owned);
    let program = words.next().unwrap_or_default();
    let env = line("env = ");
    let pairs = env.trim_start_matches("env = {").trim_end_matches('}').to_owned();
    let pair = |text: &str| {
        let (name, value) = text.split_once('=')?;
        Some((name.trim().to_owned(), value.trim().trim_matches('"').to_owned()))
    };
    let environment = pairs.split(',').filter_map(pair).collect();
    (program, words.collect(), environment)
}

/// The settings as DEPLOY.md shows them, with the bounds of the deployment of SYSTEM.md.
fn settings_text(machine: &Machine, ports: Ports, store: SocketAddr, is_bootstrap: bool) -> String {
    let Machine { node_name, ip, zone } = machine;
    let Ports { frontend, readiness, directory, internal } = ports;
    format!(
        r#"NodeName = "{node_name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge","registry"]
Ip = "{ip}"
Zone = "{zone}"
Region = "bc-coast"
InternalPorts = [{internal},{internal_last}]
Seeds = []
Bootstrap = {is_bootstrap}
FaultCounted = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
[Zones]
{zone} = "bc-coast"
[Listen]
Frontend = "{ip}:{frontend}"
Readiness = "{ip}:{readiness}"
Directory = "{ip}:{directory}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigMs = 2000
DowngradeMs = 250
OuterMs = 5000
RevokeFailClosed = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 56
QuotaWindowS = 8
QuotaOverage = 0.1
QuotaSlack = 110000
RecoverS = 12
PassMs = 120
RetryAfterS = 0
FencingRequired = false
LeaseMs = 3000
ThawMs = 300
CeilingWindowS = 5
CeilingOverage = 1.1
ttl_max_s = 5
[Platform]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#,
        internal_last = internal + 1
    )
}
