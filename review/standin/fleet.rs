//! The project's gateways as processes, with settings like those of a small deployment.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The program and the environment of the deploy file's role.
const PROGRAM: &str = "target/release/lycheeford-site";
const THREADS: (&str, &str) = ("ASYNC_STD_THREAD_COUNT", "1");

pub struct Gateway {
    pub ip: String,
    pub child: Child,
}

/// Returns a loopback address that no other run of the scripts uses at the same time.
pub fn loopback(number: u32) -> String {
    let process = std::process::id();
    format!("127.{}.{}.{number}", 20 + (process >> 8) % 200, process % 256)
}

impl Gateway {
    pub fn start(number: u32, folder: &Path, store: SocketAddr, seeds: &[String]) -> Gateway {
        let name = format!("edge-{number}");
        let ip = loopback(number);
        let zone = ["zone-a", "zone-b", "zone-c"][number as usize % 3];
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8229\"")).collect();
        let text = format!(
            r#"NodeName = "{name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge", "registry"]
Ip = "{ip}"
Zone = "{zone}"
Region = "region"
InternalPorts = [7600, 7615]
Seeds = [{}]
Bootstrap = true
HeartbeatMs = 1200
[Listen]
Frontend = "{ip}:8221"
Readiness = "{ip}:8224"
Directory = "{ip}:8220"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
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
FencingRequired = false
LeaseMs = 3000
ThawMs = 300
ttl_max_s = 5
[Platform]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
"#,
            seeds.join(", ")
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the temporary folder is writable");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(PROGRAM)
            .env("LYCHEEFORD_BOOT", &settings)
            .env(THREADS.0, THREADS.1)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()
            .expect("the program is built");
        Gateway { ip, child }
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:8221", self.ip).parse().expect("an address")
    }

    /// Waits until the readiness address answers 200.
    pub fn wait_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:8224", self.ip).parse().expect("an address");
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            let head = "GET /v1/readyz HTTP/1.1\r\nhost: h\r\n\r\n";
            let answer = http::connect(address).and_then(|mut to| to.call(head, b""));
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        // SAFETY: the process is a child that hasn't been waited for.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    /// Returns the resident memory of the process in bytes, or `None` if it has ended.
    pub fn memory_bytes(&mut self) -> Option<u64> {
        if !matches!(self.child.try_wait(), Ok(None)) {
            return None;
        }
        let text = fs::read_to_string(format!("/proc/{}/statm", self.child.id())).ok()?;
        let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
        Some(pages * page_bytes())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

unsafe extern "C" {
    fn sysconf(name: i32) -> i64;
    fn kill(process: i32, signal: i32) -> i32;
}

/// The size of a memory page, which differs between machines.
fn page_bytes() -> u64 {
    const SC_PAGESIZE: i32 = 30;
    // SAFETY: the function takes a number and returns one.
    unsafe { sysconf(SC_PAGESIZE) as u64 }
}
