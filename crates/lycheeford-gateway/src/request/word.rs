use lycheeford_policy::{Chosen, LeavingTarget, Name};
use slog::{info, warn};

use crate::TargetWord;
use crate::state::State;

/// Takes in what a target said of itself in an answer, to a request called `id` or to an order.
pub(crate) fn take_word(state: &State, id: Option<&Name>, chosen: &Chosen, word: &TargetWord) {
    let id = id.map(Name::as_str);
    let now = state.now();
    if let Some(header) = word.unreadable {
        state.metrics.word("unreadable");
        warn!(state.log, "target_word_unreadable";
            "id" => id, "target" => chosen.id.as_str(), "header" => header);
    }
    if word.is_leaving && state.dispatcher().targets.leaves(now, chosen) {
        state.metrics.word("leaves");
        info!(state.log, "target_leaves";
            "id" => id, "target" => chosen.id.as_str(), "life" => chosen.life, "source" => "answer");
        state.wake_planner();
    }
    if let Some(pause_ms) = word.pause_ms {
        state.dispatcher().targets.pause(now, chosen, pause_ms);
        state.metrics.word("pauses");
        info!(state.log, "target_pauses";
            "id" => id, "target" => chosen.id.as_str(), "pause_ms" => pause_ms);
    }
}

/// Takes in which targets leave as another host knows.
pub(crate) fn take_leaving(state: &State, leaving: &[LeavingTarget]) {
    let now = state.now();
    for target in leaving {
        if state.dispatcher().targets.told_leaving(now, *target) {
            state.metrics.word("leaves");
            info!(state.log, "target_leaves";
                "target_key" => target.target.0, "life" => target.life, "source" => "peer");
            state.wake_planner();
        }
    }
}
