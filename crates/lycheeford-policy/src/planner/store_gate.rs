use super::LoadLimits;
use crate::TimeMs;

/// The weight of a new measurement in the moving average of the slowdown.
const SLOWDOWN_GAIN: f64 = 0.3;
const SLOWDOWN_MAX: f64 = 20.0;

/// Limits the rate and number of loads from the weight store and forecasts when a queued load ends.
///
/// More concurrent loads than the store serves at full speed slow all of them down, so further
/// loads are queued in the planner, where their order can still change.
#[derive(Debug)]
pub(super) struct StoreGate {
    concurrent_loads_max: usize,
    loads_per_s: f64,
    tokens: f64,
    refilled_at: Option<TimeMs>,
    slowdown: f64,
}

/// When each concurrent load slot of the store becomes free, by the loads in flight and those
/// planned.
#[derive(Debug)]
pub(super) struct Forecast {
    slots_free_at: Vec<TimeMs>,
}

impl StoreGate {
    pub fn new(limits: &LoadLimits) -> StoreGate {
        let concurrent_loads_max = limits.store_loads_at_once.max(1) as usize;
        let loads_per_s = limits.store_loads_per_s.max(0.001);
        StoreGate {
            concurrent_loads_max,
            loads_per_s,
            tokens: concurrent_loads_max as f64,
            refilled_at: None,
            slowdown: 1.0,
        }
    }

    pub fn refill(&mut self, now: TimeMs) {
        let elapsed_ms = self.refilled_at.map_or(0, |at| now.since_ms(at));
        let refilled = elapsed_ms as f64 * self.loads_per_s / 1_000.0;
        self.tokens = (self.tokens + refilled).min(self.concurrent_loads_max as f64);
        self.refilled_at = Some(now);
    }

    pub fn is_open(&self, in_flight: usize) -> bool {
        in_flight < self.concurrent_loads_max && self.tokens >= 1.0
    }

    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns how long a load is expected to take at the store's recent speed.
    pub fn expected_ms(&self, full_speed_ms: u64) -> u64 {
        (full_speed_ms as f64 * self.slowdown) as u64
    }

    /// Updates the measured slowdown with the duration of a load.
    pub fn observe(&mut self, full_speed_ms: u64, took_ms: u64) {
        let ratio = took_ms as f64 / full_speed_ms.max(1) as f64;
        let ratio = ratio.clamp(1.0, SLOWDOWN_MAX);
        self.slowdown += SLOWDOWN_GAIN * (ratio - self.slowdown);
    }

    /// Returns a forecast that starts from the ends of the loads in flight.
    pub fn forecast(&self, now: TimeMs, mut ends: Vec<TimeMs>) -> Forecast {
        while ends.len() < self.concurrent_loads_max {
            ends.push(now);
        }
        Forecast { slots_free_at: ends }
    }
}

impl Forecast {
    /// Returns the end of a load that starts in the first free slot, and occupies that slot.
    pub fn queue(&mut self, now: TimeMs, load_ms: u64) -> TimeMs {
        let Some(first) = self.slots_free_at.iter_mut().min() else { return now + load_ms };
        *first = (*first).max(now) + load_ms;
        *first
    }
}
