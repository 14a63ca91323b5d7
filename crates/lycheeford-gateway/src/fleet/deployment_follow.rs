use std::sync::Arc;

use lycheeford_platform::{Change, Object, Update, WatchEvent, follow_with_pauses};
use slog::{error, info};

use super::store_loss::StoreLoss;
use super::{DEPLOYMENT_WAIT_PART, follow_limits};
use crate::state::State;

/// The part of the validity of a confirmation during which a host relies on other hosts to renew
/// it.
const RELY_PART: f64 = 0.75;
/// The time that remains before a new declaration must be in force when a host that gets no
/// confirmation from others asks the store itself.
const DECLARATION_MARGIN_MS: u64 = 300;

/// Keeps the declaration up to date until the future is dropped.
pub(crate) async fn follow_deployment(state: Arc<State>) {
    let protocol = Arc::clone(&state.protocols.store);
    let (kind, _) = protocol.deployment_key();
    let clock = state.clock;
    let wait_ms = state.confirmation_ms_max() as f64 * DEPLOYMENT_WAIT_PART;
    let limits = follow_limits(wait_ms as u64);
    let loss = StoreLoss::new(&state, kind);
    follow_with_pauses(
        protocol.objects(),
        kind,
        &limits,
        || clock.now(),
        |update| {
            loss.answered();
            apply_update(&state, update);
        },
        |error| loss.failed(error),
        &state.declaration_pace,
        |_| rest_ms(&state),
    )
    .await;
}

/// Returns how much longer to rely on other hosts to check for a newer declaration.
fn rest_ms(state: &State) -> u64 {
    let now = state.now();
    if state.membership().watches_declaration(now, &state.settings.host) {
        return 0;
    }
    let rely_ms = (state.confirmation_ms_max() as f64 * RELY_PART) as u64;
    let rely_ms =
        rely_ms.min(state.settings.declaration_apply_ms_max.saturating_sub(DECLARATION_MARGIN_MS));
    let age_ms = state.confirmation().age_ms(now);
    age_ms.map_or(0, |age_ms| rely_ms.saturating_sub(age_ms))
}

fn apply_update(state: &State, update: Update) {
    let (_, name) = state.protocols.store.deployment_key();
    let newest = match update.change {
        Change::Replace(listing) => listing.object(name).cloned(),
        Change::Apply(events) => events.into_iter().rev().find_map(|event| match event {
            WatchEvent::Put(object) if object.name.as_str() == name => Some(object),
            _ => None,
        }),
    };
    if let Some(object) = newest {
        adopt(state, &object);
    }
    // Everything stored before the call began is known now.
    let known = state.deployment.load().as_ref().map_or(0, |deployment| deployment.revision);
    if known > 0 {
        state.confirmation().confirm(known, update.as_of);
    }
}

/// Applies a declaration if it is newer than the current one.
fn adopt(state: &State, object: &Object) {
    let known = state.deployment.load().as_ref().map_or(0, |deployment| deployment.revision);
    if object.version <= known {
        return;
    }
    match state.protocols.store.deployment(object) {
        Ok(deployment) => {
            info!(state.log, "declaration_adopted";
                "revision" => deployment.revision, "version" => deployment.version,
                "routes" => deployment.routes.len(), "customers" => deployment.customers.len());
            state.metrics.revision.set(deployment.revision);
            state.run_times().keep_declared(&deployment);
            state.deployment.store(Some(Arc::new(deployment)));
            state.dispatch_waiting();
            state.wake_planner();
        }
        Err(message) => {
            // The older declaration is no longer confirmed, since serving by it would accept
            // withdrawn keys.
            state.confirmation().superseded_by(object.version);
            error!(state.log, "declaration_unreadable";
                "revision" => object.version, "error" => message);
        }
    }
}
