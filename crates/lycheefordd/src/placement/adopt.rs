use lycheeford_policy::Instance;
use lycheeford_wire::PlacementReport;

use crate::state::State;

/// Applies a coordinator's view of replicas to this host's placement.
pub(crate) fn adopt(state: &State, from: &Instance, report: PlacementReport) {
    let now = state.now();
    let mut placement = state.placement.lock();
    placement.adopt(now, (&from.host, from.incarnation), report);
    state.metrics.queued.set(i64::try_from(placement.queued()).unwrap_or(i64::MAX));
}
