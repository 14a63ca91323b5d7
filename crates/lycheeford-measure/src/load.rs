use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use snafu::Whatever;

use crate::fleet::Fleet;
use crate::process::cpu_ms;
use crate::sockets::SocketBytes;
use crate::{MODELS, request, row};

/// Requests that run concurrently, over all daemons that are called.
const CONCURRENCY: usize = 96;
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Prints the requests per second through `daemons`, and per request the CPU time of all daemons
/// and the bytes between them.
///
/// If `daemons` is empty, the requests go directly to the engines.
pub(crate) async fn report(
    fleet: &Fleet,
    what: &str,
    daemons: &[SocketAddr],
) -> Result<(), Whatever> {
    let mut engines = Vec::new();
    for model in MODELS {
        engines.push(fleet.engine_with(model).await?);
    }
    let peers = fleet.peer_addresses().await?;
    let before_ms = cpu_ms(fleet.processes())?;
    let bytes_before = SocketBytes::to(&peers)?;
    let start = Instant::now();
    let callers = (0..CONCURRENCY).map(|caller| {
        let model = caller % MODELS.len();
        let round = caller / MODELS.len();
        let address =
            if daemons.is_empty() { engines[model] } else { daemons[round % daemons.len()] };
        send_until_end(fleet, address, MODELS[model], start)
    });
    let counts = join_all(callers).await;
    let elapsed = start.elapsed().as_secs_f64();
    let used_ms = cpu_ms(fleet.processes())? - before_ms;
    let bytes = SocketBytes::to(&peers)?.since(&bytes_before);
    let done: u64 = counts.iter().map(|count| count.done).sum();
    let failed: u64 = counts.iter().map(|count| count.failed).sum();
    if let Some(error) = counts.into_iter().find_map(|count| count.error) {
        eprintln!("measure: a request failed: {error}");
    }
    let per_s = done as f64 / elapsed;
    let cpu_us = used_ms as f64 * 1_000.0 / done.max(1) as f64;
    let bytes_each = bytes / done.max(1);
    let value = format!(
        "{per_s:.0} a second, {cpu_us:.0} µs of daemon CPU and {bytes_each} bytes between daemons \
         each, {failed} failed"
    );
    row(&format!("requests through {what}, {CONCURRENCY} at once"), &value);
    Ok(())
}

#[derive(Debug, Default)]
struct Count {
    done: u64,
    failed: u64,
    /// The first error.
    error: Option<Whatever>,
}

async fn send_until_end(fleet: &Fleet, address: SocketAddr, model: &str, start: Instant) -> Count {
    let mut count = Count::default();
    while start.elapsed() < MEASUREMENT_TIME {
        match request::complete(fleet, address, model).await {
            Ok(_) => count.done += 1,
            Err(error) => {
                count.failed += 1;
                count.error.get_or_insert(error);
                async_std::task::sleep(Duration::from_millis(5)).await;
            }
        }
    }
    count
}
