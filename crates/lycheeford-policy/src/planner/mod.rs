//! Placement, load order, keep-warm and eviction, decided by the coordinator.

mod action;
mod view;

pub use self::action::PlanAction;
pub use self::view::{
    Activity, CheckpointPlace, Demand, DemandReport, ReplicaState, ReplicaView, TargetView,
};
use crate::{Configuration, TimeMs};

/// How many loads may run at once.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimits {
    /// Loads that the weight store serves at once at full speed.
    pub store_loads_at_once: u32,
    /// Loads that the weight store starts in a second.
    pub store_loads_per_s: f64,
    /// Adapter loads at once over all targets at full speed.
    pub adapter_loads_at_once: u32,
}

impl Default for LoadLimits {
    fn default() -> LoadLimits {
        LoadLimits { store_loads_at_once: 4, store_loads_per_s: 8.0, adapter_loads_at_once: 30 }
    }
}

/// Decides which replicas are loaded and unloaded where, and in which order.
#[derive(Debug)]
pub struct Planner {
    limits: LoadLimits,
    views: Vec<TargetView>,
}

impl Planner {
    /// Returns a planner that knows nothing yet.
    pub fn new(limits: LoadLimits) -> Planner {
        Planner { limits, views: Vec::new() }
    }

    /// Takes over a configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        let _ = (&self.limits, configuration);
    }

    /// Takes over the current state of a target.
    pub fn observe_target(&mut self, _now: TimeMs, view: TargetView) {
        self.forget_target(&view.name);
        self.views.push(view);
    }

    /// Forgets a target that is gone for good, with its replicas.
    pub fn forget_target(&mut self, name: &str) {
        self.views.retain(|view| view.name.as_str() != name);
    }

    /// Takes over the whole demand of an entry host.
    pub fn report_demand(&mut self, now: TimeMs, report: DemandReport) {
        let _ = (now, report);
    }

    /// Forgets the demand of an entry host that is gone.
    pub fn forget_host(&mut self, name: &str) {
        let _ = name;
    }

    /// Decides what to do now.
    pub fn plan(&mut self, now: TimeMs) -> Vec<PlanAction> {
        let _ = now;
        Vec::new()
    }
}
