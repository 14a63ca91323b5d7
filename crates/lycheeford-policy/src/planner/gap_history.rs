/// The shortest time between two uses that counts as an idle gap.
pub(super) const GAP_MIN_MS: u64 = 2_000;

const GAPS_MAX: usize = 24;
/// The least number of recorded gaps before a replica is preloaded.
const PRELOAD_GAPS_MIN: usize = 5;
/// A preload window covers at least this fraction of the gaps; a smaller cluster of gaps may be
/// chance.
const PRELOAD_SHARE_MIN: f64 = 0.6;
/// A replica is kept longer than the recorded gaps by this fraction.
const HOLD_MARGIN: f64 = 0.03;
/// A preload window is wider than the recorded gaps by this fraction.
const PRELOAD_MARGIN: f64 = 0.01;
/// The cost of a preload as a fraction of the cost of a reload that a request waits for.
const PRELOAD_COST: f64 = 0.1;
/// The last result is reused for reload costs that differ by less than this fraction.
const REUSE_TOLERANCE: f64 = 0.01;
const PRIOR_GAPS: usize = 16;
const PRIOR_WEIGHT: f64 = 2.0 / PRIOR_GAPS as f64;
/// The longest gap of the prior, in doublings of the shortest.
const PRIOR_OCTAVES: f64 = 15.0;

/// The last idle gaps of one model or adapter.
///
/// A weak prior of a few gaps, spread evenly over the orders of magnitude, makes a model without
/// history stay loaded for about as long as a reload costs.
#[derive(Debug, Clone, Default)]
pub(super) struct GapHistory {
    gaps_ms: [u32; GAPS_MAX],
    recorded: usize,
    /// The last result with its reload cost, until another gap is recorded.
    last_result: Option<(f64, KeepWarm)>,
}

/// When an idle replica is worth keeping loaded, counted from its last use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct KeepWarm {
    /// How long to keep the replica after its last use.
    pub hold_ms: u64,
    /// The window of time in which to have the replica loaded again.
    pub preload_ms: Option<(u64, u64)>,
}

impl GapHistory {
    pub fn record(&mut self, gap_ms: u64) {
        self.gaps_ms[self.recorded % GAPS_MAX] = u32::try_from(gap_ms).unwrap_or(u32::MAX);
        self.recorded += 1;
        self.last_result = None;
    }

    /// Returns the keep-warm times with the least expected cost.
    ///
    /// `reload_cost` is the cost of a reload, in units of the cost of keeping the replica loaded
    /// for a millisecond.
    pub fn keep_warm(&mut self, reload_cost: f64) -> KeepWarm {
        if let Some((cost, result)) = self.last_result
            && (cost - reload_cost).abs() < cost * REUSE_TOLERANCE
        {
            return result;
        }
        let result = self.cheapest(reload_cost);
        self.last_result = Some((reload_cost, result));
        result
    }

    fn cheapest(&self, reload_cost: f64) -> KeepWarm {
        let samples = self.samples(HOLD_MARGIN);
        let mut best_cost = f64::INFINITY;
        let mut best = KeepWarm::default();
        let holds = std::iter::once(0.0).chain(samples.iter().map(|(gap_ms, _)| *gap_ms));
        for hold_ms in holds {
            let cost = cost(&samples, reload_cost, hold_ms, None);
            if cost < best_cost {
                best_cost = cost;
                best = KeepWarm { hold_ms: hold_ms as u64, preload_ms: None };
            }
        }
        if self.recorded < PRELOAD_GAPS_MIN {
            return best;
        }
        let (gaps, samples) = (self.recorded_gaps(), self.samples(0.0));
        for (index, first_ms) in gaps.iter().enumerate() {
            let last_min = index + (gaps.len() as f64 * PRELOAD_SHARE_MIN) as usize;
            for last_ms in gaps.iter().skip(last_min) {
                let window = (first_ms * (1.0 - PRELOAD_MARGIN), last_ms * (1.0 + PRELOAD_MARGIN));
                let cost = cost(&samples, reload_cost, 0.0, Some(window));
                if cost < best_cost {
                    best_cost = cost;
                    let preload_ms = Some((window.0 as u64, window.1 as u64));
                    best = KeepWarm { hold_ms: 0, preload_ms };
                }
            }
        }
        best
    }

    /// Returns the expected remaining length of a gap that has lasted for `idle_ms`.
    pub fn remaining_ms(&self, idle_ms: u64) -> f64 {
        let idle_ms = idle_ms as f64;
        let (mut weights, mut rest) = (0.0, 0.0);
        for (gap_ms, weight) in self.samples(HOLD_MARGIN) {
            if gap_ms > idle_ms {
                weights += weight;
                rest += weight * (gap_ms - idle_ms);
            }
        }
        if weights == 0.0 { idle_ms } else { rest / weights }
    }

    fn recorded_gaps(&self) -> Vec<f64> {
        let gaps = &self.gaps_ms[..self.recorded.min(GAPS_MAX)];
        let mut gaps: Vec<f64> = gaps.iter().map(|gap_ms| f64::from(*gap_ms)).collect();
        gaps.sort_by(f64::total_cmp);
        gaps
    }

    /// Returns the prior and the recorded gaps with their weights, sorted by length, with the
    /// recorded gaps lengthened by the fraction `margin`.
    fn samples(&self, margin: f64) -> Vec<(f64, f64)> {
        let prior = (0..PRIOR_GAPS).map(|index| {
            let octaves = PRIOR_OCTAVES * (index as f64 + 0.5) / PRIOR_GAPS as f64;
            (GAP_MIN_MS as f64 * octaves.exp2(), PRIOR_WEIGHT)
        });
        let gaps = self.recorded_gaps().into_iter().map(|gap_ms| (gap_ms * (1.0 + margin), 1.0));
        let mut samples: Vec<(f64, f64)> = prior.chain(gaps).collect();
        samples.sort_by(|one, other| one.0.total_cmp(&other.0));
        samples
    }
}

fn cost(
    samples: &[(f64, f64)],
    reload_cost: f64,
    hold_ms: f64,
    preload_ms: Option<(f64, f64)>,
) -> f64 {
    let (from_ms, until_ms) = preload_ms.unwrap_or((f64::INFINITY, f64::INFINITY));
    let gap_cost = |gap_ms: f64| {
        if gap_ms <= hold_ms {
            return gap_ms;
        }
        if gap_ms < from_ms {
            return hold_ms + reload_cost;
        }
        let preload = hold_ms + PRELOAD_COST * reload_cost;
        if gap_ms <= until_ms {
            return preload + gap_ms - from_ms;
        }
        preload + until_ms - from_ms + reload_cost
    };
    samples.iter().map(|(gap_ms, weight)| weight * gap_cost(*gap_ms)).sum()
}
