use crate::TimeMs;

/// The level of the whole bucket that portions keep, by the time in which it refills.
const LEVEL_KEPT_MS: f64 = 250.0;
/// The part of the burst that it is at most.
const LEVEL_KEPT_PART_MAX: f64 = 0.25;
/// How fast portions correct another level; faster than others hear would swing.
const GAIN: f64 = 0.5;
/// The time over which they correct it.
const CORRECTION_MS: f64 = 1_000.0;
/// The time whose refill a portion holds at most; between two requests of a small share it is long.
const HELD_MS_MAX: f64 = 3_000.0;
const SPEED_MAX: f64 = 1.25;
/// The time over which a share follows the demand, so that a short cut hardly moves it.
const FOLLOW_MS: f64 = 4_000.0;

/// What a host may spend of the rate of a customer that asks for more.
///
/// All portions together refill by the rate, a little more or less while the level of the whole
/// bucket isn't the one to keep.
#[derive(Debug, Clone, Copy)]
pub(super) struct Portion {
    share: f64,
    followed_at: TimeMs,
    level: f64,
}

impl Portion {
    /// Returns the portion of a host with `share` of the demand, of what `level` says is there.
    pub(super) fn new(now: TimeMs, share: f64, level: f64) -> Portion {
        Portion { share, followed_at: now, level: level.max(0.0) * share }
    }

    /// Returns the host's part of the refill.
    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Returns what the host may spend now; a request may take it below zero.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn spend(&mut self, units: f64) {
        self.level -= units;
    }

    /// Moves the part of the refill towards `share`, the present part of the demand.
    pub(super) fn follow(&mut self, now: TimeMs, share: f64) {
        let elapsed_ms = now.since_ms(self.followed_at) as f64;
        let kept = (-elapsed_ms / FOLLOW_MS).exp();
        self.share = self.share * kept + share * (1.0 - kept);
        self.followed_at = now;
    }

    /// Refills the portion of a bucket that has `bucket_level` of its burst.
    pub(super) fn refill(
        &mut self,
        bucket_level: f64,
        burst_units: f64,
        refill_per_ms: f64,
        elapsed_ms: f64,
    ) {
        // What pays for a debt is nobody's; all hosts would spend it together afterwards.
        if bucket_level <= 0.0 {
            return;
        }
        let kept_units = (refill_per_ms * LEVEL_KEPT_MS).min(burst_units * LEVEL_KEPT_PART_MAX);
        let span_units = refill_per_ms * CORRECTION_MS;
        let excess_part = (bucket_level - kept_units) / span_units.max(f64::MIN_POSITIVE);
        let speed = (1.0 + GAIN * excess_part).clamp(0.0, SPEED_MAX);
        let filled = self.level + refill_per_ms * self.share * speed * elapsed_ms;
        self.level = filled.min(refill_per_ms * HELD_MS_MAX * self.share);
    }
}
