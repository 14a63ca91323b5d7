use hdrhistogram::Histogram;
use snafu::{ResultExt, Whatever};

use crate::fleet::Fleet;
use crate::{MODELS, request, row};

/// Measured pairs of calls, one through a daemon and one directly to the engine.
const PAIRS: u32 = 1_000;
/// Pairs of calls before the measurement.
const WARM_UP: u32 = 50;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Prints the latency of a request for a loaded model through a daemon and directly, one request at
/// a time.
pub(crate) async fn report(fleet: &Fleet) -> Result<(), Whatever> {
    let daemon = fleet.daemons[0].caller;
    request::complete(fleet, daemon, MODELS[0]).await?;
    let engine = fleet.engine_with(MODELS[0]).await?;
    let mut through = histogram()?;
    let mut direct = histogram()?;
    for pair in 0..WARM_UP + PAIRS {
        let through_us = request::complete(fleet, daemon, MODELS[0]).await?;
        let direct_us = request::complete(fleet, engine, MODELS[0]).await?;
        if pair >= WARM_UP {
            through
                .record(through_us)
                .whatever_context("can't record a latency in the histogram")?;
            direct.record(direct_us).whatever_context("can't record a latency in the histogram")?;
        }
    }
    for (figure, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (through, direct) =
            (through.value_at_quantile(quantile), direct.value_at_quantile(quantile));
        let ratio = through as f64 / direct as f64;
        let value = format!("{through} µs against {direct} µs direct, ratio {ratio:.2}");
        row(&format!("warm request, {figure} of {PAIRS}"), &value);
    }
    Ok(())
}

fn histogram() -> Result<Histogram<u64>, Whatever> {
    Histogram::new(SIGNIFICANT_DIGITS).whatever_context("can't create a histogram")
}
