use super::LoadLimits;
use crate::TimeMs;

/// How much of a new measurement goes into the measured slowdown.
const SLOWDOWN_GAIN: f64 = 0.3;
const SLOWDOWN_MAX: f64 = 20.0;

/// Paces loads from the weight store and forecasts when a queued load ends.
///
/// More loads at once than the store serves at full speed slow all of them,
/// so the rest waits here, where the order can still change.
#[derive(Debug)]
pub(super) struct StoreGate {
    at_once: usize,
    per_s: f64,
    tokens: f64,
    refilled_at: Option<TimeMs>,
    slowdown: f64,
}

/// When the store's places get free, over the loads in flight and those planned.
#[derive(Debug)]
pub(super) struct Forecast {
    places: Vec<TimeMs>,
}

impl StoreGate {
    pub fn new(limits: &LoadLimits) -> StoreGate {
        let at_once = limits.store_loads_at_once.max(1) as usize;
        let per_s = limits.store_loads_per_s.max(0.001);
        StoreGate { at_once, per_s, tokens: at_once as f64, refilled_at: None, slowdown: 1.0 }
    }

    pub fn refill(&mut self, now: TimeMs) {
        let elapsed_ms = self.refilled_at.map_or(0, |at| now.since_ms(at));
        let earned = elapsed_ms as f64 * self.per_s / 1_000.0;
        self.tokens = (self.tokens + earned).min(self.at_once as f64);
        self.refilled_at = Some(now);
    }

    pub fn is_open(&self, in_flight: usize) -> bool {
        in_flight < self.at_once && self.tokens >= 1.0
    }

    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns a load's time as the store does it lately.
    pub fn expected_ms(&self, full_speed_ms: u64) -> u64 {
        (full_speed_ms as f64 * self.slowdown) as u64
    }

    /// Takes over how long a load took.
    pub fn observe(&mut self, full_speed_ms: u64, took_ms: u64) {
        let ratio = took_ms as f64 / full_speed_ms.max(1) as f64;
        let ratio = ratio.clamp(1.0, SLOWDOWN_MAX);
        self.slowdown += SLOWDOWN_GAIN * (ratio - self.slowdown);
    }

    /// Returns a forecast from the ends of the loads in flight.
    pub fn forecast(&self, now: TimeMs, mut ends: Vec<TimeMs>) -> Forecast {
        while ends.len() < self.at_once {
            ends.push(now);
        }
        Forecast { places: ends }
    }
}

impl Forecast {
    /// Returns the end of a load that starts when a place gets free.
    pub fn queue(&mut self, now: TimeMs, load_ms: u64) -> TimeMs {
        let Some(first) = self.places.iter_mut().min() else { return now + load_ms };
        *first = (*first).max(now) + load_ms;
        *first
    }
}
