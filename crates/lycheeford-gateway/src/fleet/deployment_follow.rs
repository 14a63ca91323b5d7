use std::sync::Arc;

use lycheeford_platform::{Change, Object, Update, WatchEvent, follow_with_pauses};
use lycheeford_policy::{Deployment, StoreVersion, TimeMs};
use slog::{error, info, warn};

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
    let mut stored = StoredDeclaration::default();
    follow_with_pauses(
        protocol.objects(),
        kind,
        &limits,
        || clock.now(),
        |update| {
            loss.answered();
            apply_update(&state, update, &mut stored);
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

/// What a host knows of the declaration in the store.
#[derive(Debug, Default)]
struct StoredDeclaration {
    /// The version of the declaration that the store has, if any.
    version: Option<u64>,
    /// The era of the store and when this host first read it, if it has.
    entered: Option<(u64, TimeMs)>,
}

impl StoredDeclaration {
    /// Records the version of the store in an answer.
    fn enter(&mut self, now: TimeMs, store_version: u64) {
        let era = StoreVersion::from_number(store_version).era;
        if self.entered.is_none_or(|(known, _)| known < era) {
            self.entered = Some((era, now));
        }
    }

    /// Confirms a declaration if the store has it as of `as_of`.
    ///
    /// The store may lack the one in force, since it was restored from an older copy.
    fn confirm(&self, state: &State, deployment: &Deployment, as_of: TimeMs) {
        if self.version != Some(deployment.revision) || !self.may_be_newest(state) {
            return;
        }
        let mut confirmation = state.confirmation();
        if confirmation.may_confirm(deployment.version) {
            confirmation.confirm(deployment.revision, as_of);
        }
    }

    /// Returns whether the declaration in the store can be the newest one.
    ///
    /// A store that was restored may lack a declaration that no host has read. So it confirms
    /// nothing until the operators have had time to write theirs again. A host that has started
    /// since doesn't know when that was.
    fn may_be_newest(&self, state: &State) -> bool {
        self.entered.is_some_and(|(era, at)| {
            era == StoreVersion::FIRST_ERA
                || state.now().since_ms(at) >= state.settings.missing_entry_grace_ms
        })
    }
}

/// Applies the store's changes of the declaration.
fn apply_update(state: &State, update: Update, stored: &mut StoredDeclaration) {
    stored.enter(state.now(), update.revision);
    let (_, name) = state.protocols.store.deployment_key();
    let newest = match update.change {
        Change::Replace(listing) => {
            let found = listing.object(name).cloned();
            if found.is_none() {
                stored.version = None;
            }
            found
        }
        Change::Apply(events) => events.into_iter().rev().find_map(|event| match event {
            WatchEvent::Put(object) if object.name.as_str() == name => Some(object),
            _ => None,
        }),
    };
    if let Some(object) = newest {
        stored.version = Some(object.version);
        adopt(state, &object, |deployment| stored.confirm(state, deployment, update.as_of));
    }
    // Everything stored before the call began is known now.
    if let Some(known) = state.deployment.load_full() {
        stored.confirm(state, &known, update.as_of);
    }
}

/// Applies a declaration if it is newer than the current one.
///
/// It is confirmed before it is in force, so that no request meets it unconfirmed.
fn adopt(state: &State, object: &Object, confirm: impl FnOnce(&Deployment)) {
    let known = state.deployment.load_full();
    if known.as_ref().is_some_and(|known| object.version <= known.revision) {
        return;
    }
    match state.protocols.store.deployment(object) {
        Ok(deployment)
            if known.as_ref().is_some_and(|known| deployment.version < known.version) =>
        {
            // The store was restored from a copy that lacks the declaration in force, which stays
            // confirmed for its time.
            warn!(state.log, "declaration_outdated";
                "revision" => deployment.revision, "version" => deployment.version);
        }
        Ok(deployment) => {
            info!(state.log, "declaration_adopted";
                "revision" => deployment.revision, "version" => deployment.version,
                "routes" => deployment.routes.len(), "customers" => deployment.customers.len());
            state.metrics.revision.set(deployment.revision);
            state.run_times().keep_declared(&deployment);
            if let Some(known) = known.filter(|known| known.version == deployment.version) {
                state.confirmation().written_again(known.revision, deployment.revision);
            }
            let cold_rates = deployment
                .services
                .iter()
                .filter_map(|service| Some((service.name.clone(), service.cold_requests_per_s?)));
            state.dispatcher().targets.set_cold_rates(state.now(), cold_rates.collect());
            confirm(&deployment);
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
