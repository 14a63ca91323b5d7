use std::sync::Arc;

use lycheeford_platform::{Change, Object, Rest, Update, WatchEvent, follow_at_pace};
use lycheeford_policy::{StoreAbsence, TargetEntry, TimeMs};
use slog::{info, warn};

use super::store_loss::StoreLoss;
use super::{TARGETS_WAIT_MS, follow_limits};
use crate::membership::apply_own_placements;
use crate::state::State;

/// The rest after changes of targets at the holder of orders, and at hosts that watch for others.
const HOLDER_REST_MS: u64 = 50;
const WATCHER_REST_MS: u64 = 200;
/// The rest of a host that hears from others when there is news, and the least one before it asks
/// for them: many targets may come or go at once.
const LISTENER_REST_MS: u64 = 5_000;
const LISTENER_REST_MS_MIN: u64 = 600;
/// How often such a host looks whether there is news, or the others no longer ask.
const LISTENER_LOOK_MS: u64 = 150;

/// Keeps the targets up to date until the future is dropped.
pub(crate) async fn follow_targets(state: Arc<State>) {
    let edge = Arc::clone(&state.edges.store);
    let clock = state.clock;
    let mut absence = StoreAbsence::default();
    let limits = follow_limits(TARGETS_WAIT_MS);
    let loss = StoreLoss::new(&state, edge.target_kind());
    follow_at_pace(
        edge.objects(),
        edge.target_kind(),
        &limits,
        || clock.now(),
        |update| {
            loss.answered();
            let now = state.now();
            let grace_ms =
                absence.grace_ms(now, update.failing_since, state.settings.entry_return_ms);
            take_update(&state, update, grace_ms);
        },
        |error| loss.failed(error),
        &state.target_pace,
        |rest| rest_ms(&state, rest),
    )
    .await;
}

/// Returns how much longer to rest before the store is asked for changes of targets.
///
/// The others hear of loads and unloads from the holder of orders, and of
/// what else matters from the few that watch closely.
fn rest_ms(state: &State, rest: Rest) -> u64 {
    let now = state.now();
    let after_change_ms = |rest_ms: u64| if rest.is_change { rest_ms } else { 0 };
    if state.orders().lease.held(now).is_some() {
        return after_change_ms(HOLDER_REST_MS).saturating_sub(rest.rested_ms);
    }
    if state.membership().watches_targets(now, &state.settings.host) {
        return after_change_ms(WATCHER_REST_MS).saturating_sub(rest.rested_ms);
    }
    let may_rest = state.target_watch().may_rest(now);
    let rest_ms = if may_rest { LISTENER_REST_MS } else { after_change_ms(LISTENER_REST_MS_MIN) };
    rest_ms.saturating_sub(rest.rested_ms).min(LISTENER_LOOK_MS)
}

fn take_update(state: &State, update: Update, grace_ms: u64) {
    let now = state.now();
    let mut changed = 0;
    let Update { as_of, revision, change, .. } = update;
    match change {
        Change::Replace(listing) => {
            let entries = listing.objects.iter().filter_map(|object| read(state, object));
            let entries: Vec<TargetEntry> = entries.collect();
            info!(state.log, "targets_listed"; "targets" => entries.len(), "grace_ms" => grace_ms);
            let mut dispatcher = state.dispatcher();
            if dispatcher.targets.is_other_set(&entries) {
                changed = revision;
            }
            dispatcher.targets.replace(now, entries, grace_ms);
        }
        Change::Apply(events) => {
            for event in events {
                if apply(state, now, &event, grace_ms) {
                    changed = event.version().max(changed);
                }
            }
        }
    }
    state.target_watch().asked(as_of, revision, changed);
    state.set_knows_targets();
    let has_news = {
        let mut dispatcher = state.dispatcher();
        dispatcher.targets.expire(now);
        state.orders().refresh(&dispatcher.targets)
    };
    if has_news {
        apply_own_placements(state);
        state.wake_wants();
    }
    state.dispatch_waiting();
    state.wake_planner();
}

/// Takes in a change; returns whether it matters to hosts that don't give orders.
fn apply(state: &State, now: TimeMs, event: &WatchEvent, grace_ms: u64) -> bool {
    match event {
        WatchEvent::Put(object) => {
            let Some(entry) = read(state, object) else { return false };
            let mut dispatcher = state.dispatcher();
            let matters = dispatcher.targets.is_other(&entry);
            dispatcher.targets.put(now, entry);
            matters
        }
        WatchEvent::Deleted { name, .. } => {
            info!(state.log, "target_gone"; "target" => name.as_str(), "grace_ms" => grace_ms);
            state.dispatcher().targets.gone(now, name, grace_ms);
            true
        }
    }
}

/// Reads an entry; one that names no target is logged and passed over.
fn read(state: &State, object: &Object) -> Option<TargetEntry> {
    match state.edges.store.target(object) {
        Ok(entry) => Some(entry),
        Err(message) => {
            warn!(state.log, "target_unreadable";
                "target" => object.name.as_str(), "revision" => object.version, "error" => message);
            None
        }
    }
}
