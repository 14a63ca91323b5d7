use crate::TimeMs;

/// Averaging time of the demand.
const AVERAGE_MS: f64 = 3_000.0;
/// Maximum factor by which the known demand is extrapolated; a larger one would mistake a few
/// requests for many.
const EXTRAPOLATION_MAX: f64 = 2.0;
/// Age from which unreported demand no longer counts.
const STALE_MS: u64 = 10_000;
/// If the delayed average is below this fraction of the current one, it stems from an earlier
/// period and is ignored.
const COUNTED_PART_MIN: f64 = 0.05;

/// Fraction of a customer's demand that arrives at this host.
///
/// Demand at other hosts becomes known with a delay. Demand at this host is counted with the same
/// delay, so that a customer whose demand begins to grow does not appear to grow at this host
/// alone.
#[derive(Debug, Clone)]
pub(super) struct DemandShare {
    here: RateAverage,
    /// Demand at this host, counted without delay.
    here_now: RateAverage,
    elsewhere: RateAverage,
    /// Demand at this host that is not counted in `here` yet.
    unreported_units: f64,
    unreported_since: TimeMs,
}

impl DemandShare {
    pub(super) fn new(now: TimeMs) -> DemandShare {
        let average = RateAverage { per_ms: 0.0, at: now };
        DemandShare {
            here: average,
            here_now: average,
            elsewhere: average,
            unreported_units: 0.0,
            unreported_since: now,
        }
    }

    /// Records demand at this host; other hosts learn of it `pause_ms` later.
    pub(super) fn asked_here(&mut self, now: TimeMs, units: f64, pause_ms: u64) {
        self.here_now.add(now, units);
        let unreported_ms = now.since_ms(self.unreported_since);
        if unreported_ms >= pause_ms {
            if unreported_ms < STALE_MS {
                self.here.add(now, self.unreported_units);
            }
            self.unreported_units = 0.0;
            self.unreported_since = now;
        }
        self.unreported_units += units;
    }

    /// Records demand at other hosts.
    pub(super) fn asked_elsewhere(&mut self, now: TimeMs, units: f64) {
        self.elsewhere.add(now, units);
    }

    /// Returns the fraction of the demand that arrives at this host.
    pub(super) fn share(&self, now: TimeMs) -> f64 {
        let (counted, here_now) = (self.here.per_ms(now), self.here_now.per_ms(now));
        let here = if counted < here_now * COUNTED_PART_MIN { here_now } else { counted };
        let total = here + self.elsewhere.per_ms(now);
        if total > 0.0 { here / total } else { 1.0 }
    }

    /// Returns the estimated demand at all hosts, in units per millisecond.
    ///
    /// Demand that other hosts have yet to report is extrapolated from the demand at this host, up
    /// to twice the known demand.
    pub(super) fn total_per_ms(&self, now: TimeMs) -> f64 {
        let here = self.here_now.per_ms(now);
        let known = here + self.elsewhere.per_ms(now);
        let extrapolated = here / self.share(now).max(f64::MIN_POSITIVE);
        extrapolated.clamp(known, known * EXTRAPOLATION_MAX)
    }
}

/// A decaying average of units per millisecond.
#[derive(Debug, Clone, Copy)]
struct RateAverage {
    per_ms: f64,
    at: TimeMs,
}

impl RateAverage {
    fn add(&mut self, now: TimeMs, units: f64) {
        self.per_ms = (self.per_ms(now) + units / AVERAGE_MS).max(0.0);
        self.at = now;
    }

    fn per_ms(&self, now: TimeMs) -> f64 {
        self.per_ms * (-(now.since_ms(self.at) as f64) / AVERAGE_MS).exp()
    }
}
