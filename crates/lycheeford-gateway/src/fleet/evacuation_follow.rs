use std::sync::Arc;

use lycheeford_platform::{Change, Update, WatchEvent, follow};
use lycheeford_policy::Name;
use slog::info;

use super::follow_limits;
use crate::state::State;

/// The duration of a watch, as a part of the time within which an evacuation must be in force. The
/// rest covers a connection that falls silent and the list that follows.
const WAIT_PART: f64 = 0.5;

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
    let clock = state.clock;
    let mut domains: Vec<Name> = Vec::new();
    follow(
        protocol.objects(),
        protocol.evacuation_kind(),
        &limits,
        || clock.now(),
        |update| {
            let before = domains.clone();
            apply(&mut domains, update);
            if domains != before {
                set_evacuated(&state, &domains);
            }
        },
    )
    .await;
}

/// Applies the store's changes to the sorted list of evacuated failure domains.
fn apply(domains: &mut Vec<Name>, update: Update) {
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

fn set_evacuated(state: &State, domains: &[Name]) {
    let names: Vec<&str> = domains.iter().map(Name::as_str).collect();
    info!(state.log, "domains_evacuated"; "domains" => names.join(","));
    state.metrics.evacuated_domains.set(i64::try_from(domains.len()).unwrap_or(i64::MAX));
    state.dispatcher().targets.set_evacuated(domains.to_vec());
    state.dispatch_waiting();
    state.wake_planner();
}
