/// The shortest gap that counts as idle time.
pub(super) const GAP_MIN_MS: u64 = 2_000;

const BUCKETS: usize = 32;
const PRIOR_GAPS: f64 = 2.0;
const TOTAL_MAX: u32 = 256;

/// How long one model or adapter stayed idle in the past, as a decaying histogram.
///
/// Bucket `i` counts gaps from [`GAP_MIN_MS`] times the square root of two to
/// the power of `i` up to the next bucket, the last one everything longer. A
/// weak prior spreads a few gaps evenly over the buckets, so that a model
/// without history is kept for about as long as a reload is worth.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct GapHistory {
    counts: [u16; BUCKETS],
}

impl GapHistory {
    pub fn record(&mut self, gap_ms: u64) {
        let bucket = &mut self.counts[bucket(gap_ms)];
        *bucket = bucket.saturating_add(1);
        let total: u32 = self.counts.iter().map(|count| u32::from(*count)).sum();
        if total > TOTAL_MAX {
            self.counts.iter_mut().for_each(|count| *count /= 2);
        }
    }

    /// Returns how long to keep an idle replica so that the expected cost is least.
    ///
    /// `reload_cost` is what a reload costs, in units of the cost of holding
    /// the replica for a millisecond.
    pub fn best_hold_ms(&self, reload_cost: f64) -> u64 {
        let total: f64 = (0..BUCKETS).map(|index| self.weight(index)).sum();
        let mut best = (total * reload_cost, 0.0);
        let (mut ended_cost, mut remaining) = (0.0, total);
        for index in 0..BUCKETS - 1 {
            let weight = self.weight(index);
            ended_cost += weight * middle_ms(index);
            remaining -= weight;
            let hold_ms = edge_ms(index + 1);
            let cost = ended_cost + remaining * (hold_ms + reload_cost);
            if cost < best.0 {
                best = (cost, hold_ms);
            }
        }
        best.1 as u64
    }

    /// Returns the expected rest of a gap that has lasted for `idle_ms`.
    pub fn remaining_ms(&self, idle_ms: u64) -> f64 {
        let idle_ms = idle_ms as f64;
        let (mut weights, mut rest) = (0.0, 0.0);
        for index in 0..BUCKETS {
            let rest_ms = middle_ms(index) - idle_ms;
            if rest_ms > 0.0 {
                weights += self.weight(index);
                rest += self.weight(index) * rest_ms;
            }
        }
        if weights == 0.0 { idle_ms } else { rest / weights }
    }

    fn weight(&self, index: usize) -> f64 {
        f64::from(self.counts[index]) + PRIOR_GAPS / BUCKETS as f64
    }
}

fn bucket(gap_ms: u64) -> usize {
    let ratio = gap_ms.max(GAP_MIN_MS) as f64 / GAP_MIN_MS as f64;
    ((2.0 * ratio.log2()) as usize).min(BUCKETS - 1)
}

fn edge_ms(index: usize) -> f64 {
    GAP_MIN_MS as f64 * 2f64.powf(index as f64 / 2.0)
}

fn middle_ms(index: usize) -> f64 {
    f64::midpoint(edge_ms(index), edge_ms(index + 1))
}
