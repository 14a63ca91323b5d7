use crate::name_table::NameTable;
use crate::{Configuration, TimeMs};

/// How long an estimate of the coordinator is used beyond the time to ready that it gave.
const ESTIMATE_GRACE_MS: u64 = 2_000;
/// Time for the demand report to reach the coordinator and for the load order to reach the target.
const ORDER_OVERHEAD_MS: u64 = 50;

/// Estimates when a model or adapter will be ready, so that a host can refuse a request on arrival.
///
/// The coordinator's latest estimate is used if there is one. Otherwise a cold model is assumed to
/// take its load time from the remote store, and an adapter the load time of its base model.
#[derive(Debug, Default)]
pub struct Readiness {
    entries: NameTable<Estimate>,
}

#[derive(Debug, Default)]
struct Estimate {
    load_ms: u64,
    ready_at: Option<TimeMs>,
}

impl Readiness {
    /// Returns an estimator without any configured model.
    pub fn new() -> Readiness {
        Readiness::default()
    }

    /// Applies the configured models and adapters and their load times.
    pub fn configure(&mut self, configuration: &Configuration) {
        for id in self.entries.ids().collect::<Vec<_>>() {
            let Some(name) = self.entries.name(id) else { continue };
            if configuration.model(name).is_none() && configuration.adapter(name).is_none() {
                self.entries.remove(id);
            }
        }
        for model in &configuration.models {
            self.set_load_ms(&model.name, model.load_remote_ms);
        }
        for adapter in &configuration.adapters {
            let load_ms =
                configuration.model(&adapter.model).map_or(0, |model| model.load_remote_ms);
            self.set_load_ms(&adapter.name, load_ms);
        }
    }

    /// Records the time to ready that the coordinator expects.
    pub fn expect(&mut self, now: TimeMs, name: &str, ready_in_ms: u64) {
        let Some(id) = self.entries.find(name) else { return };
        let Some(estimate) = self.entries.get_mut(id) else { return };
        estimate.ready_at = Some(now + ready_in_ms);
    }

    /// Returns the time until `name` is ready, or `None` if it is not configured.
    ///
    /// The result is meaningless for a name with a ready replica.
    pub fn ready_in_ms(&self, now: TimeMs, name: &str) -> Option<u64> {
        let estimate = self.entries.get(self.entries.find(name)?)?;
        let cold_ms = estimate.load_ms + ORDER_OVERHEAD_MS;
        let Some(ready_at) = estimate.ready_at else { return Some(cold_ms) };
        if now.since_ms(ready_at) > ESTIMATE_GRACE_MS {
            return Some(cold_ms);
        }
        Some(ready_at.since_ms(now))
    }

    fn set_load_ms(&mut self, name: &str, load_ms: u64) {
        let id = self.entries.find_or_insert(name);
        if let Some(estimate) = self.entries.get_mut(id) {
            estimate.load_ms = load_ms;
        }
    }
}
