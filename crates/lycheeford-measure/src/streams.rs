use std::time::Duration;

use async_std::task;
use futures_util::future::join_all;
use lycheeford_target::Connection;
use snafu::Whatever;

use crate::fleet::Fleet;
use crate::process::resident_range;
use crate::{MODELS, request, row};

const STREAMS: usize = 1_000;
/// The pause between tokens that scripts/measure.sh sets.
const TOKEN_INTERVAL_MS: u64 = 250;
/// The streams last this many tokens.
const TOKENS: u64 = 28;
/// Streams opened at once.
const BATCH: usize = 50;
/// How long the streams run before the memory is read.
const SETTLE: Duration = Duration::from_secs(2);

/// Reports the memory of the first daemon while it relays many streams.
pub(crate) async fn report(fleet: &Fleet) -> Result<(), Whatever> {
    let daemon = &fleet.daemons[0];
    let before = resident_range([&daemon.process].into_iter())?;
    let mut open = Vec::with_capacity(STREAMS);
    while open.len() < STREAMS {
        let batch = (0..BATCH)
            .map(|_| request::open(fleet, daemon.caller, MODELS[0], TOKENS, Connection::Fresh));
        for response in join_all(batch).await {
            open.push(response?);
        }
    }
    let before_ms = daemon.process.cpu_ms()?;
    task::sleep(SETTLE).await;
    let used_ms = daemon.process.cpu_ms()? - before_ms;
    let during = resident_range([&daemon.process].into_iter())?;
    let ends = join_all(open.into_iter().map(|response| async move {
        let status = response.status;
        let body = response.body.whole(usize::MAX).await;
        status == 200 && body.is_ok_and(|body| body.trim_ascii_end().ends_with(b"[DONE]"))
    }))
    .await;
    let whole = ends.iter().filter(|whole| **whole).count();
    let value = format!("{during}, {before} before; {whole} of {STREAMS} answers whole");
    row(&format!("memory with {STREAMS} open streams"), &value);
    let tokens = STREAMS as u64 * SETTLE.as_millis() as u64 / TOKEN_INTERVAL_MS;
    let cpu_us = used_ms as f64 * 1_000.0 / tokens as f64;
    row("CPU of a relayed token, checks and beats included", &format!("{cpu_us:.0} µs"));
    Ok(())
}
