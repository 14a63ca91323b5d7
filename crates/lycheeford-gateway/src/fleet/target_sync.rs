use lycheeford_policy::{PeerReport, SharedWatch, TargetChange, TargetLog};
use slog::info;

use super::unreadable_entries::UnreadableEntries;
use crate::state::State;

/// The state of the list of targets, as known from the store and from other hosts.
#[derive(Debug, Default)]
pub(crate) struct TargetSync {
    pub(crate) watch: SharedWatch,
    pub(crate) log: TargetLog,
    pub(crate) unreadable: UnreadableEntries,
}

/// Applies the changes to the list of targets that another host reports.
pub(crate) fn apply_reported_changes(state: &State, report: &PeerReport) {
    let now = state.now();
    let Some(reported) = report.target_changes.clone() else { return };
    let (changes, known_at) = {
        let mut sync = state.target_sync();
        (sync.log.take(reported), sync.watch.asked_at())
    };
    if changes.is_empty() {
        return;
    }
    let use_ms_max = state.target_use_ms_max();
    let has_changes = {
        let mut dispatcher = state.dispatcher();
        dispatcher.targets.leave_by(known_at.unwrap_or(now) + use_ms_max);
        for change in changes {
            match change {
                TargetChange::Put(entry) => dispatcher.targets.put_from_peer(now, entry),
                TargetChange::Gone(name) => {
                    info!(state.log, "target_gone"; "target" => name.as_str(), "grace_ms" => 0);
                    dispatcher.targets.gone(now, &name, 0);
                }
            }
        }
        state.orders().apply_entries(&dispatcher.targets)
    };
    if has_changes {
        state.wake_demand_task();
    }
    state.dispatch_waiting();
    state.wake_planner();
}
