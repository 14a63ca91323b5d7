use std::time::Duration;

use async_std::task;
use lycheeford_policy::{Name, TimeMs};

use crate::state::State;

/// How long a starting daemon waits for its peers before it serves keyed calls.
const PEER_CONTACT_MS_MAX: u64 = 2_000;

/// Returns whether this daemon has had time to learn of newer revisions from its peers.
///
/// The platform may return an outdated head and report it as current. A daemon that has just
/// started can't detect this until its peers answer.
pub(crate) fn has_contacted_peers(state: &State, now: TimeMs) -> bool {
    let discovery = &state.discovery;
    if discovery.has_contacted_peers() {
        return true;
    }
    let waited = now.since_ms(state.started_at) >= PEER_CONTACT_MS_MAX;
    let contacted =
        waited || (discovery.fleet_revision() > 0 && state.members.lock().has_tried_all());
    if contacted && state.freshness.lock().has_newest_revision() {
        discovery.set_contacted_peers();
        return true;
    }
    false
}

/// Returns the host that coordinates loads, as seen from this host.
pub(crate) fn coordinator_host(state: &State) -> Name {
    let is_draining = state.running.is_draining();
    state.members.lock().coordinator(state.now(), &state.me.host, is_draining)
}

/// Waits, if this process was paused, until its peers have had time to answer again.
pub(crate) async fn settle_after_pause(state: &State) {
    let settling_ms = state.pause_detector.lock().settling_ms(state.now());
    if settling_ms > 0 {
        task::sleep(Duration::from_millis(settling_ms)).await;
    }
}
