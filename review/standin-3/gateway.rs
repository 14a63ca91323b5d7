//! The project's program, started as the deploy file says.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::record::Record;

pub struct Gateway {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The ports of a day, the same on all machines.
pub struct Ports {
    first: u16,
}

impl Ports {
    /// Finds ports that are free on all addresses.
    pub fn find(ips: &[String]) -> Ports {
        let process = std::process::id() as u16;
        for turn in 0..400_u16 {
            let first = 20_000 + (process.wrapping_mul(31).wrapping_add(turn * 37) % 9_000);
            let is_free = |ip: &String| {
                (first..first + 6).all(|port| TcpListener::bind((ip.as_str(), port)).is_ok())
                    && UdpSocket::bind((ip.as_str(), first + 3)).is_ok()
            };
            if ips.iter().all(is_free) {
                return Ports { first };
            }
        }
        panic!("no free ports");
    }
}

impl Gateway {
    /// Prepares a machine of a small deployment; `start` starts its process.
    pub fn new(
        folder: &Path,
        name: &str,
        ip: &str,
        zone: &str,
        ports: &Ports,
        store: SocketAddr,
    ) -> Gateway {
        let port = |offset: u16| -> SocketAddr {
            format!("{ip}:{}", ports.first + offset).parse().expect("an address")
        };
        let (frontend, readiness, directory) = (port(0), port(1), port(2));
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"gateway\"\nMachineClass = \"edge\"\n\
             Serves = [\"edge\",\"registry\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"r\"\n\
             InternalPorts = [{},{}]\nSeeds = []\nBootstrap = true\nDiscovery = \"platform\"\n\
             Entry = \"registry\"\nHeartbeatMs = 1200\n\
             [Listen]\nFrontend = \"{frontend}\"\nReadiness = \"{readiness}\"\nDirectory = \"{directory}\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\nDrainMs = 2000\n\
             GraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\nDowngradeMs = 250\nOuterMs = 5000\n\
             RevokeFailClosed = true\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n\
             RetrySlack = 56\nQuotaWindowS = 8\nQuotaOverage = 0.1\nQuotaSlack = 110000\nRecoverS = 12\n\
             PassMs = 120\nFencingRequired = false\nLeaseMs = 3000\nThawMs = 300\nttl_max_s = 5\n\
             [Platform]\nAddress = \"{store}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             HistoryS = 20\nValueBytes = 1048576\n",
            ports.first + 3,
            ports.first + 5,
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        Gateway { frontend, readiness, settings, log, child: None }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new("target/release/lycheeford-site")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LYCHEEFORD_BOOT", &self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("target/release/lycheeford-site can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    /// Sends a signal, such as STOP or TERM, to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Returns whether the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        let asked = || -> std::io::Result<u16> {
            let mut stream =
                TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            write!(
                stream,
                "GET /v1/readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
                self.readiness
            )?;
            Ok(Reader::new(stream).head()?.map_or(0, |head| head.status()))
        };
        asked().is_ok_and(|status| status == 200)
    }

    /// The process, if it runs, has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits until all machines are ready; the case can't run if they aren't in time.
pub fn wait_until_ready(gateways: &[Gateway], record: &Record) {
    let until = Instant::now() + Duration::from_secs(15);
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > until {
            record.note("the machines didn't get ready in 15 s: the case can't run");
            std::process::exit(2);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.note("all machines are ready");
}
