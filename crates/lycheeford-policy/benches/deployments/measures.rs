//! The figures of a run, and bounds that no policy can beat.

use crate::fleet::STORE_LOAD_CONCURRENCY;
use crate::workload::{DAY_MS, TARGET_MEMORY_BYTES, Trace};

const HOUR_MS: f64 = 3_600_000.0;

#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// The time from arrival to start of each started request that waited for a cold start.
    pub cold_ms: Vec<u64>,
    /// The same under the oracle.
    pub cold_oracle_ms: Vec<u64>,
    /// The duration of the load alone, for each of these requests.
    pub cold_load_ms: Vec<u64>,
    /// Idle time in milliseconds of a whole accelerator.
    pub idle_ms: f64,
    /// Loads by entry.
    pub loads: Vec<u64>,
    /// Requests within the rate that were started, by customer.
    pub served_within_rate: [u64; 5],
    /// Requests within the rate that arrived, by customer.
    pub arrived_within_rate: [u64; 5],
    /// Requests within the rate that were refused for the rate all the same.
    pub refused_rate: u64,
    pub refused_deadline: u64,
    /// The part of `refused_deadline` during the platform outage.
    pub refused_in_outage: u64,
    pub expired_waiting: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// The 50th, 99th and 99.9th percentile of the cold starts.
    pub cold_ms: [u64; 3],
    /// The same percentiles under the oracle.
    pub cold_oracle_ms: [u64; 3],
    /// The same percentiles of the loads alone.
    pub cold_load_ms: [u64; 3],
    pub cold_starts: usize,
    pub idle_hours: f64,
    /// The least idle hours that are possible with as many loads.
    pub idle_hours_least: f64,
    pub model_loads: u64,
    /// The ratio of the worst-served customer's served fraction to the best-served one's.
    pub worst_to_best: f64,
    pub requests_within_rate: u64,
    pub refused_rate: u64,
    pub refused_deadline: u64,
    pub refused_in_outage: u64,
    /// Refused requests per million requests within the rate.
    pub wrongful_ppm: u64,
}

impl Counts {
    pub fn figures(mut self, trace: &Trace) -> Figures {
        let shares = self
            .served_within_rate
            .iter()
            .zip(self.arrived_within_rate)
            .map(|(good, within)| if within == 0 { 1.0 } else { *good as f64 / within as f64 });
        let worst = shares.clone().fold(1.0, f64::min);
        let best = shares.fold(0.0, f64::max);
        let within: u64 = self.arrived_within_rate.iter().sum();
        let refused = self.refused_rate + self.refused_deadline;
        Figures {
            cold_starts: self.cold_ms.len(),
            cold_ms: percentiles(&mut self.cold_ms),
            cold_oracle_ms: percentiles(&mut self.cold_oracle_ms),
            cold_load_ms: percentiles(&mut self.cold_load_ms),
            idle_hours: self.idle_ms / HOUR_MS,
            idle_hours_least: least_idle_ms(trace, &self.loads) / HOUR_MS,
            model_loads: self.loads[..trace.model_count()].iter().sum(),
            worst_to_best: worst / best.max(f64::MIN_POSITIVE),
            requests_within_rate: within,
            refused_rate: self.refused_rate,
            refused_deadline: self.refused_deadline,
            refused_in_outage: self.refused_in_outage,
            wrongful_ppm: refused * 1_000_000 / within.max(1),
        }
    }
}

/// A lower bound for cold starts: each load starts at its first request, from the fastest source.
///
/// Loads from the weight store run in order of arrival. The oracle has no delay between the
/// daemons, uses the store's load slots ideally and always has free memory, so no policy that loads
/// on demand has shorter cold starts.
#[derive(Debug, Default)]
pub struct Oracle {
    /// When each load slot of the weight store becomes free.
    free_at_ms: [u64; STORE_LOAD_CONCURRENCY],
}

impl Oracle {
    /// Loads from the weight store in the slot that is free first, and returns when that is done.
    pub fn load_remote(&mut self, now_ms: u64, load_ms: u64) -> u64 {
        let earliest = self.free_at_ms.iter_mut().min().expect("the store has load slots");
        *earliest = (*earliest).max(now_ms) + load_ms;
        *earliest
    }
}

/// Returns the least idle time that is possible with as many loads per kind of entry.
///
/// Replicas are kept over the cheapest gaps between uses and reloaded after the others.
fn least_idle_ms(trace: &Trace, loads: &[u64]) -> f64 {
    let models = trace.model_count();
    let mut busy: Vec<Vec<(u64, u64)>> = vec![Vec::new(); trace.names.len()];
    for (request, _) in trace.requests.iter().zip(&trace.within_rate).filter(|(_, within)| **within)
    {
        let interval = (request.at_ms, request.at_ms + request.service_ms);
        busy[request.entry].push(interval);
        if let Some(base) = trace.base(request.entry) {
            busy[base].push(interval);
        }
    }
    let (mut model_gaps, mut adapter_gaps) = (Vec::new(), Vec::new());
    for (entry, intervals) in busy.iter_mut().enumerate() {
        let share = trace.memory_bytes(entry) as f64 / TARGET_MEMORY_BYTES as f64;
        let gaps = if entry < models { &mut model_gaps } else { &mut adapter_gaps };
        gaps.extend(gaps_of(intervals).into_iter().map(|gap_ms| gap_ms as f64 * share));
    }
    let model_loads: u64 = loads[..models].iter().sum();
    let adapter_loads: u64 = loads[models..].iter().sum();
    kept_ms(model_gaps, model_loads) + kept_ms(adapter_gaps, adapter_loads)
}

/// Returns the gaps between uses. The first use counts as a gap of a whole day, since no policy can
/// avoid its load.
fn gaps_of(intervals: &mut [(u64, u64)]) -> Vec<u64> {
    intervals.sort_unstable();
    let mut gaps = Vec::new();
    let mut end_ms = None;
    for (start, end) in intervals {
        gaps.push(end_ms.map_or(DAY_MS, |end_ms: u64| start.saturating_sub(end_ms)));
        end_ms = end_ms.max(Some(*end));
    }
    gaps
}

/// Returns the sum of the gaps that remain if the `loads` longest are left out.
fn kept_ms(mut gaps: Vec<f64>, loads: u64) -> f64 {
    gaps.sort_by(f64::total_cmp);
    let kept = gaps.len().saturating_sub(loads as usize);
    gaps[..kept].iter().sum()
}

fn percentiles(values: &mut [u64]) -> [u64; 3] {
    values.sort_unstable();
    [0.5, 0.99, 0.999].map(|quantile| {
        let rank = (values.len() as f64 * quantile).ceil() as usize;
        values.get(rank.saturating_sub(1)).copied().unwrap_or(0)
    })
}
