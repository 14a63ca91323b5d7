use std::time::Duration;

use async_std::task;
use futures_util::future::join_all;
use lycheeford_target::Connection;
use snafu::Whatever;

use crate::fleet::Fleet;
use crate::process::resident_range;
use crate::{MODELS, request, row};

const STREAMS: usize = 1_000;
/// The engine's pause between tokens, as set by `scripts/measure.sh`.
const TOKEN_INTERVAL_MS: u64 = 250;
/// The length of a stream: 7 s at [`TOKEN_INTERVAL_MS`].
const TOKENS_PER_STREAM: u64 = 28;
/// Streams that are opened concurrently.
const OPEN_CONCURRENCY: usize = 50;
/// How long the open streams run before memory and CPU time are read.
const RELAY_TIME: Duration = Duration::from_secs(2);

/// Prints the memory of the first daemon while it relays many streams, and the CPU time per token.
pub(crate) async fn report(fleet: &Fleet) -> Result<(), Whatever> {
    let daemon = &fleet.daemons[0];
    let before = resident_range([&daemon.process].into_iter())?;
    let mut open = Vec::with_capacity(STREAMS);
    while open.len() < STREAMS {
        let batch = (0..OPEN_CONCURRENCY).map(|_| {
            request::open(fleet, daemon.caller, MODELS[0], TOKENS_PER_STREAM, Connection::Fresh)
        });
        for response in join_all(batch).await {
            open.push(response?);
        }
    }
    let before_ms = daemon.process.cpu_ms()?;
    task::sleep(RELAY_TIME).await;
    let used_ms = daemon.process.cpu_ms()? - before_ms;
    let during = resident_range([&daemon.process].into_iter())?;
    let ends = join_all(open.into_iter().map(|response| async move {
        let status = response.status;
        let body = response.body.collect(usize::MAX).await;
        status == 200 && body.is_ok_and(|body| body.trim_ascii_end().ends_with(b"[DONE]"))
    }))
    .await;
    let complete = ends.iter().filter(|is_complete| **is_complete).count();
    let value = format!("{during}, {before} before; {complete} of {STREAMS} answers whole");
    row(&format!("memory with {STREAMS} open streams"), &value);
    let tokens = STREAMS as u64 * RELAY_TIME.as_millis() as u64 / TOKEN_INTERVAL_MS;
    let cpu_us = used_ms as f64 * 1_000.0 / tokens as f64;
    row("CPU of a relayed token, checks and beats included", &format!("{cpu_us:.0} µs"));
    Ok(())
}
