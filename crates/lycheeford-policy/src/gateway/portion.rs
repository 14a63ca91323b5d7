use crate::TimeMs;

/// Level of the whole bucket that the portions maintain, as the time in which that level is
/// refilled.
const SETPOINT_MS: f64 = 250.0;
/// Maximum of that level, as a fraction of the burst.
const SETPOINT_PART_MAX: f64 = 0.25;
/// Gain with which portions correct a deviation of the level. A faster correction than reports
/// travel would oscillate.
const GAIN: f64 = 0.5;
/// Time over which portions correct a deviation of the level.
const CORRECTION_MS: f64 = 1_000.0;
/// Capacity of a portion, as the time in which it is refilled; with a small share, the time between
/// two requests is long.
const CAPACITY_MS: f64 = 3_000.0;
const SPEED_MAX: f64 = 1.25;
/// Time over which a share follows the demand, so that a short partition hardly changes it.
const SHARE_AVERAGE_MS: f64 = 4_000.0;

/// The units that a host may spend of the rate of a customer that asks for more.
///
/// All portions together are refilled at the customer's rate, slightly faster or slower while the
/// level of the whole bucket deviates from the maintained one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Portion {
    share: f64,
    share_updated_at: TimeMs,
    level: f64,
}

impl Portion {
    /// Returns the portion of a host with `share` of the demand, with its share of the current
    /// `level`.
    pub(super) fn new(now: TimeMs, share: f64, level: f64) -> Portion {
        Portion { share, share_updated_at: now, level: level.max(0.0) * share }
    }

    /// Returns the host's fraction of the refill.
    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Returns the units that the host may spend now; a request may take the level below zero.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn spend(&mut self, units: f64) {
        self.level -= units;
    }

    /// Moves the fraction of the refill towards `share`, the current fraction of the demand.
    pub(super) fn update_share(&mut self, now: TimeMs, share: f64) {
        let elapsed_ms = now.since_ms(self.share_updated_at) as f64;
        let decay = (-elapsed_ms / SHARE_AVERAGE_MS).exp();
        self.share = self.share * decay + share * (1.0 - decay);
        self.share_updated_at = now;
    }

    /// Refills the portion, given the current level of the whole bucket.
    pub(super) fn refill(
        &mut self,
        bucket_level: f64,
        burst_units: f64,
        refill_per_ms: f64,
        elapsed_ms: f64,
    ) {
        // The refill that pays off a debt belongs to no host; otherwise all hosts would spend it
        // together afterwards.
        if bucket_level <= 0.0 {
            return;
        }
        let filled_per_ms = self.refill_per_ms(bucket_level, burst_units, refill_per_ms);
        let filled = self.level + filled_per_ms * elapsed_ms;
        self.level = filled.min(refill_per_ms * CAPACITY_MS * self.share);
    }

    /// Returns the units per millisecond by which the portion is refilled once the bucket has no
    /// debt.
    pub(super) fn refill_per_ms(
        &self,
        bucket_level: f64,
        burst_units: f64,
        refill_per_ms: f64,
    ) -> f64 {
        let setpoint_units = (refill_per_ms * SETPOINT_MS).min(burst_units * SETPOINT_PART_MAX);
        let span_units = refill_per_ms * CORRECTION_MS;
        let excess_units = bucket_level.max(0.0) - setpoint_units;
        let excess_part = excess_units / span_units.max(f64::MIN_POSITIVE);
        let speed = (1.0 + GAIN * excess_part).clamp(0.0, SPEED_MAX);
        refill_per_ms * self.share * speed
    }
}
