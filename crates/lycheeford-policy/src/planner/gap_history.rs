/// The shortest gap that counts as idle time.
pub(super) const GAP_MIN_MS: u64 = 2_000;

const GAPS_MAX: usize = 24;
/// The gaps without which no load is made ahead of a use.
const PRELOAD_GAPS_MIN: usize = 5;
/// A window for a load ahead of a use takes in this part of the gaps; smaller ones are chance.
const PRELOAD_SHARE_MIN: f64 = 0.6;
/// A replica is held for longer than the gaps seen by this part.
const HOLD_MARGIN: f64 = 0.03;
/// A window for a load ahead of a use is wider than the gaps seen by this part.
const PRELOAD_MARGIN: f64 = 0.01;
/// A load ahead of a use costs this part of a reload that a request waits for.
const PRELOAD_COST: f64 = 0.1;
/// An answer is good for reload costs that differ by less than this part.
const REUSE_TOLERANCE: f64 = 0.01;
const PRIOR_GAPS: usize = 16;
const PRIOR_WEIGHT: f64 = 2.0 / PRIOR_GAPS as f64;
/// The longest gap of the prior, as a power of two times the shortest.
const PRIOR_OCTAVES: f64 = 15.0;

/// How long one model or adapter stayed idle, over its last gaps.
///
/// A weak prior spreads a few gaps evenly over the orders of magnitude, so
/// that a model without history is kept for about as long as a reload is worth.
#[derive(Debug, Clone, Default)]
pub(super) struct GapHistory {
    gaps_ms: [u32; GAPS_MAX],
    recorded: usize,
    /// The last answer with its reload cost, until another gap is recorded.
    answer: Option<(f64, KeepWarm)>,
}

/// When an idle replica is worth keeping, counted from its last use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct KeepWarm {
    /// How long to keep it after its last use.
    pub hold_ms: u64,
    /// When to have it loaded again, and until when.
    pub preload_ms: Option<(u64, u64)>,
}

impl GapHistory {
    pub fn record(&mut self, gap_ms: u64) {
        self.gaps_ms[self.recorded % GAPS_MAX] = u32::try_from(gap_ms).unwrap_or(u32::MAX);
        self.recorded += 1;
        self.answer = None;
    }

    /// Returns when to keep a replica so that the expected cost is least.
    ///
    /// `reload_cost` is what a reload costs, in units of the cost of holding
    /// the replica for a millisecond.
    pub fn keep_warm(&mut self, reload_cost: f64) -> KeepWarm {
        if let Some((cost, answer)) = self.answer
            && (cost - reload_cost).abs() < cost * REUSE_TOLERANCE
        {
            return answer;
        }
        let answer = self.cheapest(reload_cost);
        self.answer = Some((reload_cost, answer));
        answer
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
        let (seen, samples) = (self.seen(), self.samples(0.0));
        for (index, first_ms) in seen.iter().enumerate() {
            let last_min = index + (seen.len() as f64 * PRELOAD_SHARE_MIN) as usize;
            for last_ms in seen.iter().skip(last_min) {
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

    /// Returns the expected rest of a gap that has lasted for `idle_ms`.
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

    fn seen(&self) -> Vec<f64> {
        let seen = &self.gaps_ms[..self.recorded.min(GAPS_MAX)];
        let mut seen: Vec<f64> = seen.iter().map(|gap_ms| f64::from(*gap_ms)).collect();
        seen.sort_by(f64::total_cmp);
        seen
    }

    /// Returns the gaps, longer by `margin`, with their weights, the shortest first.
    fn samples(&self, margin: f64) -> Vec<(f64, f64)> {
        let prior = (0..PRIOR_GAPS).map(|index| {
            let octaves = PRIOR_OCTAVES * (index as f64 + 0.5) / PRIOR_GAPS as f64;
            (GAP_MIN_MS as f64 * octaves.exp2(), PRIOR_WEIGHT)
        });
        let seen = self.seen().into_iter().map(|gap_ms| (gap_ms * (1.0 + margin), 1.0));
        let mut samples: Vec<(f64, f64)> = prior.chain(seen).collect();
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
    let of_gap = |gap_ms: f64| {
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
    samples.iter().map(|(gap_ms, weight)| weight * of_gap(*gap_ms)).sum()
}
