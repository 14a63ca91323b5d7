use lycheeford_operator::{ReplicaReport, ReplicaState};
use lycheeford_policy::{LoadState, Name, TimeMs};

use crate::state::State;

/// Returns the replicas that this host knows; only the coordinator also knows replicas that are
/// not ready.
pub(crate) fn replicas(state: &State, name: &Name) -> Vec<ReplicaReport> {
    let mut replicas: Vec<ReplicaReport> = state
        .placement
        .lock()
        .targets()
        .iter()
        .filter(|target| target.ready.binary_search(name).is_ok())
        .map(|target| ReplicaReport { target: target.target.clone(), state: ReplicaState::Ready })
        .collect();
    for target in state.coordinator.lock().targets() {
        let loaded = target.status.as_ref().and_then(|status| status.loaded(name));
        let Some(loaded) = loaded else { continue };
        let state = match loaded.state {
            LoadState::Loading => ReplicaState::Loading,
            LoadState::Ready => ReplicaState::Ready,
            LoadState::Unloading => ReplicaState::Unloading,
        };
        if !replicas.iter().any(|replica| replica.target == target.host.name) {
            replicas.push(ReplicaReport { target: target.host.name.clone(), state });
        }
    }
    replicas
}

/// Returns the age of a decision as text, such as `250 ms ago`.
pub(crate) fn age(now: TimeMs, at: TimeMs) -> String {
    format!("{} ms ago", now.since_ms(at))
}
