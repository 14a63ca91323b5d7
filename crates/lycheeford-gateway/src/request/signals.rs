use lycheeford_policy::{Chosen, Name, TargetLife, TimeMs};
use slog::{info, warn};

use crate::membership::{LimitEvent, LimitReport};
use crate::state::State;
use crate::{LimitSignal, TargetSignals};

/// Applies the signals in a target's response to request `id`, or to an order or query if there is
/// no id. The request was sent at `sent_at`.
pub(crate) fn apply_signals(
    state: &State,
    id: Option<&Name>,
    chosen: &Chosen,
    signals: &TargetSignals,
    sent_at: TimeMs,
) {
    let id = id.map(Name::as_str);
    let now = state.now();
    if let Some(header) = signals.unreadable {
        state.metrics.target_signal("unreadable");
        warn!(state.log, "target_word_unreadable";
            "id" => id, "target" => chosen.id.as_str(), "header" => header);
    }
    if signals.is_leaving && state.dispatcher().targets.leaves(now, chosen) {
        state.metrics.target_signal("leaves");
        info!(state.log, "target_leaves";
            "id" => id, "target" => chosen.id.as_str(), "life" => chosen.life, "source" => "answer");
        state.wake_planner();
    }
    if let Some(pause_ms) = signals.pause_ms {
        state.dispatcher().targets.pause(now, chosen, pause_ms);
        state.metrics.target_signal("pauses");
        info!(state.log, "target_pauses";
            "id" => id, "target" => chosen.id.as_str(), "pause_ms" => pause_ms);
    }
    if signals.is_brittle {
        let is_new = {
            let mut dispatcher = state.dispatcher();
            let target = dispatcher.targets.target(&chosen.id);
            let service = target.map(|target| target.entry.service.clone());
            service.is_some_and(|service| dispatcher.targets.record_brittle(now, &service))
        };
        if is_new {
            state.metrics.target_signal("brittle");
            info!(state.log, "targets_brittle"; "id" => id, "target" => chosen.id.as_str());
        }
    }
    match signals.limit {
        Some(LimitSignal::PerSecond(per_s)) => apply_limit(state, id, chosen, Some(per_s), sent_at),
        // Responses to orders and queries may omit the limit header even if the target has a limit.
        Some(LimitSignal::Unlimited) if id.is_some() => {
            apply_limit(state, id, chosen, None, sent_at);
        }
        Some(LimitSignal::Unlimited) | None => {}
    }
}

/// Records a target's rate limit, or that it has none.
fn apply_limit(
    state: &State,
    id: Option<&str>,
    chosen: &Chosen,
    per_s: Option<f64>,
    sent_at: TimeMs,
) {
    let now = state.now();
    if !state.dispatcher().targets.record_limit(now, chosen, per_s, sent_at) {
        return;
    }
    let took_ms = now.since_ms(sent_at);
    state.metrics.target_signal(limit_label(per_s));
    info!(state.log, "target_limits";
        "id" => id, "target" => chosen.id.as_str(), "life" => chosen.life,
        "limit_per_s" => per_s, "took_ms" => took_ms, "source" => "answer");
    let target = chosen.target_life();
    state.queue_event(LimitEvent::LocalLimit(LimitReport { target, per_s, took_ms }));
    state.wake_planner();
}

/// Records a target's rate limit, or that it has none, as reported by the host that grants its
/// permits.
pub(crate) fn update_limit(state: &State, target: TargetLife, per_s: Option<f64>) {
    let now = state.now();
    if state.dispatcher().targets.record_peer_limit(now, target, per_s) {
        state.metrics.target_signal(limit_label(per_s));
        info!(state.log, "target_limits";
            "target_key" => target.target.0, "life" => target.life, "limit_per_s" => per_s,
            "source" => "peer");
        state.wake_planner();
    }
}

fn limit_label(per_s: Option<f64>) -> &'static str {
    if per_s.is_some() { "limits" } else { "limit_ends" }
}

/// Records the targets that are leaving according to another host.
pub(crate) fn apply_reported_leaving(state: &State, leaving: &[TargetLife]) {
    let now = state.now();
    for target in leaving {
        if state.dispatcher().targets.record_peer_leaving(now, *target) {
            state.metrics.target_signal("leaves");
            info!(state.log, "target_leaves";
                "target_key" => target.target.0, "life" => target.life, "source" => "peer");
            state.wake_planner();
        }
    }
}
