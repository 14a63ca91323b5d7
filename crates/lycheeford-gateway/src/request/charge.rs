use std::sync::Arc;

use lycheeford_policy::{CustomerRate, Name, PeerVisibility, TimeMs};
use slog::info;

use crate::state::State;

/// Returns the fraction of the hosts whose reports this host receives, how old those become, and
/// whether the whole fleet started together with this host.
fn visibility(state: &State, now: TimeMs) -> PeerVisibility {
    let membership = state.membership();
    let is_new_fleet = state.orders().lease.began_with_fleet();
    let visibility = membership.settling.limit(membership.hosts.visibility(now));
    PeerVisibility { is_new_fleet, ..visibility }
}

/// The units that a request took from its customer's rate limit. Dropping it refunds them unless
/// the request ran.
pub(super) struct Charge {
    state: Arc<State>,
    customer: Name,
    rate: CustomerRate,
    units: f64,
    has_run: bool,
}

impl Charge {
    /// Takes the cost of a request from the customer's rate limit.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until the units are available if the customer is over its limit.
    pub(super) fn take(
        state: &Arc<State>,
        customer: &Name,
        rate: &CustomerRate,
        tokens: Option<u64>,
    ) -> Result<Charge, u64> {
        let now = state.now();
        let units = rate.unit.cost(tokens);
        let visibility = visibility(state, now);
        let mut rates = state.rates();
        let bucket = rates.bucket(now, customer);
        if let Err(wait_ms) = bucket.take(now, rate, &visibility, units) {
            info!(state.log, "over_rate";
                "customer" => customer.as_str(), "units" => units, "level_units" => bucket.level(now),
                "burst_units" => rate.burst_units, "units_per_s" => rate.units_per_s,
                "heard_part" => visibility.part, "portion" => bucket.portion(),
                "spent_here_units" => bucket.spent_here());
            rates.count_refused(now, customer, units);
            return Err(wait_ms);
        }
        drop(rates);
        Ok(Charge {
            state: Arc::clone(state),
            customer: customer.clone(),
            rate: rate.clone(),
            units,
            has_run: false,
        })
    }

    /// Records that the request ran, or may have run.
    pub(super) fn spend(&mut self) {
        self.has_run = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.has_run {
            let now = self.state.now();
            let mut rates = self.state.rates();
            rates.bucket(now, &self.customer).give_back(&self.rate, self.units);
        }
    }
}
