use crate::TimeMs;

/// The time over which demand is averaged.
const AVERAGE_MS: f64 = 3_000.0;
/// How many times what is known may be foreseen; more would take a few requests for many.
const FORESEEN_MAX: f64 = 2.0;
/// From this age on what was asked for doesn't count any more.
const STALE_MS: u64 = 10_000;
/// Below this part of what was just asked for, what counts is left from an earlier time.
const COUNTED_PART_MIN: f64 = 0.05;

/// Which part of what a customer asks for comes to this host.
///
/// What it asks for elsewhere is heard late. What it asks for here counts as late, so that
/// a customer that begins to ask for more doesn't seem to do so here alone.
#[derive(Debug, Clone)]
pub(super) struct DemandShare {
    here: Flow,
    /// The same, not late.
    here_now: Flow,
    elsewhere: Flow,
    /// What was asked for here and doesn't count yet.
    untold_units: f64,
    untold_since: TimeMs,
}

impl DemandShare {
    pub(super) fn new(now: TimeMs) -> DemandShare {
        let flow = Flow { per_ms: 0.0, at: now };
        DemandShare {
            here: flow,
            here_now: flow,
            elsewhere: flow,
            untold_units: 0.0,
            untold_since: now,
        }
    }

    /// Takes in what was asked for here; others hear of it `pause_ms` later.
    pub(super) fn asked_here(&mut self, now: TimeMs, units: f64, pause_ms: u64) {
        self.here_now.add(now, units);
        let untold_ms = now.since_ms(self.untold_since);
        if untold_ms >= pause_ms {
            if untold_ms < STALE_MS {
                self.here.add(now, self.untold_units);
            }
            self.untold_units = 0.0;
            self.untold_since = now;
        }
        self.untold_units += units;
    }

    /// Takes in what was asked for elsewhere.
    pub(super) fn asked_elsewhere(&mut self, now: TimeMs, units: f64) {
        self.elsewhere.add(now, units);
    }

    /// Returns the part of the demand that comes here.
    pub(super) fn share(&self, now: TimeMs) -> f64 {
        let (counted, here_now) = (self.here.per_ms(now), self.here_now.per_ms(now));
        let here = if counted < here_now * COUNTED_PART_MIN { here_now } else { counted };
        let total = here + self.elsewhere.per_ms(now);
        if total > 0.0 { here / total } else { 1.0 }
    }

    /// Returns what is asked for everywhere in a millisecond, as far as it shows here.
    ///
    /// What others will tell is foreseen from what comes here, up to as much again.
    pub(super) fn total_per_ms(&self, now: TimeMs) -> f64 {
        let here = self.here_now.per_ms(now);
        let known = here + self.elsewhere.per_ms(now);
        let foreseen = here / self.share(now).max(f64::MIN_POSITIVE);
        foreseen.clamp(known, known * FORESEEN_MAX)
    }
}

/// An average of units a millisecond that fades.
#[derive(Debug, Clone, Copy)]
struct Flow {
    per_ms: f64,
    at: TimeMs,
}

impl Flow {
    fn add(&mut self, now: TimeMs, units: f64) {
        self.per_ms = (self.per_ms(now) + units / AVERAGE_MS).max(0.0);
        self.at = now;
    }

    fn per_ms(&self, now: TimeMs) -> f64 {
        self.per_ms * (-(now.since_ms(self.at) as f64) / AVERAGE_MS).exp()
    }
}
