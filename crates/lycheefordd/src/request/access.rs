use lycheeford_caller::CallerRequest;
use lycheeford_policy::{
    ConfigurationState, Customer, KEY_STALENESS_MS_MAX, Name, Refusal, RefusalCode, check_key,
};

use crate::membership::peer_view::has_contacted_peers;
use crate::state::State;

/// The customer and API key that a request was authenticated with.
#[derive(Debug, Clone)]
pub(crate) struct Access {
    pub(crate) customer: Customer,
    key_id: Name,
    key_digest: Name,
}

impl Access {
    /// Checks the key of a request against the configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses a request without a valid key, and every keyed request while
    /// this host can't confirm that its keys are current.
    pub(crate) fn check(state: &State, request: &CallerRequest) -> Result<Access, Refusal> {
        check_configuration_fresh(state)?;
        let configuration = state.configuration.load();
        let presented = request.key.as_ref().ok_or_else(|| {
            bad_key("no key came with the request; send it as Authorization: Bearer")
        })?;
        let key = check_key(&configuration, presented.as_str())
            .ok_or_else(|| bad_key("key is unknown or withdrawn; ask your operator for another"))?;
        let customer = configuration
            .customer(&key.customer)
            .ok_or_else(|| bad_key("key's customer is not declared; ask your operator"))?;
        Ok(Access {
            customer: customer.clone(),
            key_id: key.id.clone(),
            key_digest: key.digest.clone(),
        })
    }

    /// Checks that the key of a running request is still valid.
    ///
    /// # Errors
    ///
    /// As [`check`](Access::check).
    pub(crate) fn recheck(&self, state: &State) -> Result<(), Refusal> {
        check_configuration_fresh(state)?;
        let configuration = state.configuration.load();
        match configuration.key(&self.key_id) {
            Some(key) if key.digest == self.key_digest => Ok(()),
            _ => Err(bad_key("key was withdrawn; ask your operator for another")),
        }
    }

    /// Checks that the customer is in `customers`, where an empty list allows all customers.
    ///
    /// `what` names the called model, adapter or route in the refusal.
    ///
    /// # Errors
    ///
    /// Refuses a customer that is not in the list.
    pub(crate) fn check_allowed(&self, customers: &[Name], what: &str) -> Result<(), Refusal> {
        if customers.is_empty() || customers.binary_search(&self.customer.name).is_ok() {
            return Ok(());
        }
        let message = format!("customer {} may not call {what}", self.customer.name);
        Err(Refusal::not_run(RefusalCode::NotAllowed, message, None))
    }
}

/// Checks that this host's configuration is current.
///
/// # Errors
///
/// Refuses while the host can't confirm that it is current.
pub(crate) fn check_configuration_fresh(state: &State) -> Result<(), Refusal> {
    let now = state.now();
    if has_contacted_peers(state, now)
        && state.freshness.lock().state(now) == ConfigurationState::Fresh
    {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::ConfigurationStale,
        "this host can't confirm that its keys are current; use another host",
        Some(KEY_STALENESS_MS_MAX),
    ))
}

fn bad_key(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::BadKey, message, None)
}
