use std::time::Duration;

use async_std::task;
use lycheeford_policy::{Name, TimeMs};

use crate::state::State;

/// How long a daemon that starts waits for its peers before it serves keyed calls.
const MEET_PEERS_MS_MAX: u64 = 2_000;

/// Tells whether this daemon has had the time to hear of newer revisions from its peers.
///
/// The platform may answer a reader with an old head, and call it current.
/// A daemon that just started knows nothing better until its peers answer.
pub(crate) fn has_met_peers(state: &State, now: TimeMs) -> bool {
    let presence = &state.presence;
    if presence.has_met_peers() {
        return true;
    }
    let waited = now.since_ms(state.started_at) >= MEET_PEERS_MS_MAX;
    let met = waited || (presence.fleet_revision() > 0 && state.members.lock().all_asked());
    if met && state.freshness.lock().has_newest() {
        presence.set_met_peers();
        return true;
    }
    false
}

/// Returns the host that coordinates loads, as seen from here.
pub(crate) fn coordinator_host(state: &State) -> Name {
    let is_draining = state.running.is_draining();
    state.members.lock().coordinator(state.now(), &state.me.host, is_draining)
}

/// Waits, if this process was paused, until its peers had time to answer again.
pub(crate) async fn settle_after_pause(state: &State) {
    let settling_ms = state.wake_watch.lock().settling_ms(state.now());
    if settling_ms > 0 {
        task::sleep(Duration::from_millis(settling_ms)).await;
    }
}
