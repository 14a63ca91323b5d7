use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use snafu::Whatever;

use crate::fleet::Fleet;
use crate::platform_calls::PlatformCalls;
use crate::process::{Process, resident_range};
use crate::row;
use crate::sockets::SocketBytes;

/// How long replicas, rate shares and memory may settle before the measurement.
const SETTLING_TIME: Duration = Duration::from_secs(2);
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);

/// Prints the memory, CPU and traffic of daemons while no request runs.
pub(crate) async fn report(fleet: &Fleet, when: &str) -> Result<(), Whatever> {
    task::sleep(SETTLING_TIME).await;
    let peers = fleet.peer_addresses().await?;
    let before = Sample::take(fleet, &peers).await?;
    let start = Instant::now();
    task::sleep(MEASUREMENT_TIME).await;
    let after = Sample::take(fleet, &peers).await?;
    let daemon_seconds = start.elapsed().as_secs_f64() * fleet.daemons.len() as f64;

    row(&format!("{when}: memory of a daemon"), &resident_range(fleet.processes())?);
    let elapsed_ms = start.elapsed().as_millis() as f64;
    let used = after.cpu_ms.iter().zip(&before.cpu_ms).map(|(after, before)| after - before);
    let mut shares: Vec<f64> = used.map(|ms| ms as f64 * 100.0 / elapsed_ms).collect();
    shares.sort_by(f64::total_cmp);
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    let (least, most) = (shares[0], shares[shares.len() - 1]);
    let value = format!("{least:.2}% to {most:.2}% of a core, mean {mean:.2}%");
    row(&format!("{when}: CPU of a daemon"), &value);
    let bytes = after.peers.since(&before.peers) as f64 / daemon_seconds;
    row(&format!("{when}: between daemons, sent by one"), &format!("{bytes:.0} bytes a second"));
    let bytes = after.platform.since(&before.platform) as f64 / daemon_seconds;
    row(&format!("{when}: to and from the platform"), &format!("{bytes:.0} bytes a second"));
    let calls = (after.calls - before.calls).each(daemon_seconds);
    row(&format!("{when}: platform calls of a daemon a second"), &calls);
    Ok(())
}

/// Cumulative counters of the fleet at one point in time.
#[derive(Debug)]
struct Sample {
    /// The CPU time of each daemon, in the order of the daemons.
    cpu_ms: Vec<u64>,
    peers: SocketBytes,
    platform: SocketBytes,
    calls: PlatformCalls,
}

impl Sample {
    async fn take(fleet: &Fleet, peers: &[SocketAddr]) -> Result<Sample, Whatever> {
        Ok(Sample {
            cpu_ms: fleet.processes().map(Process::cpu_ms).collect::<Result<_, _>>()?,
            peers: SocketBytes::to(peers)?,
            platform: SocketBytes::to(&[fleet.platform])?,
            calls: PlatformCalls::read(fleet).await?,
        })
    }
}
