use std::sync::Arc;

use lycheeford_platform::{Change, FollowWaker, Update, WatchEvent, follow_with_pauses};
use lycheeford_policy::{Name, TimeMs};
use slog::info;

use super::follow_limits;
use crate::state::State;

/// The duration of a watch, as a part of the time within which an evacuation must be in force. The
/// rest covers a connection that falls silent and the list that follows.
const WAIT_PART: f64 = 0.2;
/// The part of that time for which a host relies on the reports of the hosts that watch.
const RELY_PART: f64 = 0.8;
/// The interval at which such a host checks the age of what was reported.
const CHECK_MS: u64 = 150;

/// Keeps the list of evacuated failure domains up to date until the future is dropped.
///
/// Does nothing where the deployment states no bound for evacuations. While the store can't be
/// reached, the last known list remains in force.
pub(crate) async fn follow_evacuations(state: Arc<State>) {
    let Some(evacuation_ms_max) = state.settings.evacuation_ms_max else {
        return std::future::pending().await;
    };
    let protocol = Arc::clone(&state.protocols.store);
    let limits = follow_limits((evacuation_ms_max as f64 * WAIT_PART) as u64);
    let rely_ms = (evacuation_ms_max as f64 * RELY_PART) as u64;
    let clock = state.clock;
    let mut domains: Vec<Name> = Vec::new();
    follow_with_pauses(
        protocol.objects(),
        protocol.evacuation_kind(),
        &limits,
        || clock.now(),
        |update| {
            let (revision, as_of) = (update.revision, update.as_of);
            apply_update(&mut domains, update);
            apply_evacuations(&state, revision, as_of, domains.clone());
        },
        |_| {},
        &FollowWaker::default(),
        |_| rest_ms(&state, rely_ms),
    )
    .await;
}

/// Applies a list of evacuated domains, unless a newer one is known.
pub(crate) fn apply_evacuations(state: &State, revision: u64, as_of: TimeMs, domains: Vec<Name>) {
    if !state.evacuations().record(revision, as_of, domains.clone()) {
        return;
    }
    let names: Vec<&str> = domains.iter().map(Name::as_str).collect();
    info!(state.log, "domains_evacuated"; "domains" => names.join(","), "revision" => revision);
    state.metrics.evacuated_domains.set(i64::try_from(domains.len()).unwrap_or(i64::MAX));
    state.dispatcher().targets.set_evacuated(domains);
    state.dispatch_waiting();
    state.wake_planner();
}

/// Returns how much longer to rely on the reports of the hosts that watch for the others.
fn rest_ms(state: &State, rely_ms: u64) -> u64 {
    let now = state.now();
    if state.membership().watches_declaration(now, &state.settings.host) {
        return 0;
    }
    let age_ms = state.evacuations().age_ms(now);
    age_ms.map_or(0, |age_ms| rely_ms.saturating_sub(age_ms)).min(CHECK_MS)
}

/// Applies the store's changes to the sorted list of evacuated failure domains.
fn apply_update(domains: &mut Vec<Name>, update: Update) {
    match update.change {
        Change::Replace(listing) => {
            *domains = listing.objects.into_iter().map(|object| object.name).collect();
            domains.sort();
        }
        Change::Apply(events) => {
            for event in events {
                let (name, is_evacuated) = match event {
                    WatchEvent::Put(object) => (object.name, true),
                    WatchEvent::Deleted { name, .. } => (name, false),
                };
                match domains.binary_search(&name) {
                    Ok(index) if !is_evacuated => {
                        domains.remove(index);
                    }
                    Err(index) if is_evacuated => domains.insert(index, name),
                    _ => {}
                }
            }
        }
    }
}
