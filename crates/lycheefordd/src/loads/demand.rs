use lycheeford_policy::{DemandReport, Instance};

use crate::state::State;

/// Records a host's demand in the coordinator's planner and wakes the planning task.
///
/// The caller makes sure that this daemon coordinates.
pub(crate) fn record_demand(state: &State, from: &Instance, report: lycheeford_wire::DemandReport) {
    let report = DemandReport {
        host: from.host.clone(),
        demands: report.demands,
        activity: report.activity,
    };
    state.coordinator.lock().report_demand(state.now(), report);
    state.plan_due.wake();
}
