use lycheeford_policy::{DemandReport, Instance};

use crate::state::State;

/// Takes a host's demand over, if this daemon coordinates.
pub(crate) fn take_demand(state: &State, from: &Instance, report: lycheeford_wire::DemandReport) {
    let report = DemandReport {
        host: from.host.clone(),
        demands: report.demands,
        activity: report.activity,
    };
    state.coordinator.lock().report_demand(state.now(), report);
    state.plan_due.wake();
}
