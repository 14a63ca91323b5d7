use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use lycheeford_policy::{
    CustomerRate, Name, PeerVisibility, RateForecast, Refusal, RefusalCode, TimeMs,
};
use slog::info;

use super::admission::host_stopping;
use super::rates::{RateArrival, RateOutcome, RateRequest, WaitRefusal};
use crate::state::State;

/// The longest `Retry-After` time for a customer over its rate limit.
const OVER_RATE_RETRY_MS_MAX: u64 = 5_000;

/// Returns the fraction of the hosts whose reports this host receives, how old those become, and
/// whether the whole fleet started together with this host.
fn visibility(state: &State, now: TimeMs) -> PeerVisibility {
    let membership = state.membership();
    let is_new_fleet = state.orders().lease.began_with_fleet();
    let visibility = membership.settling.limit(membership.hosts.visibility(now));
    PeerVisibility { is_new_fleet, ..visibility }
}

/// Grants the requests that wait for their customers' rates as soon as these pay for them, and
/// refuses those that they no longer pay for in time.
pub(crate) async fn pay_from_rates(state: Arc<State>) {
    let wait_begun = state.rates().wait_begun();
    loop {
        let next_check_at = state.rates().next_check_at();
        match next_check_at {
            Some(next_check_at) => {
                let pause_ms = next_check_at.since_ms(state.now()).max(1);
                let _ = timeout(Duration::from_millis(pause_ms), wait_begun.recv()).await;
            }
            None => {
                let _ = wait_begun.recv().await;
            }
        }
        let now = state.now();
        let visibility = visibility(&state, now);
        let deployment = state.deployment.load_full();
        let rate = |customer: &Name| deployment.as_ref()?.customer(customer)?.rate.clone();
        let mut rates = state.rates();
        rates.check(now, &visibility, rate);
        if state.is_draining() {
            rates.refuse_waiting(now, &visibility);
        }
    }
}

/// The units that a request took from its customer's rate limit. Dropping it refunds them unless
/// the request ran.
pub(super) struct Charge {
    state: Arc<State>,
    customer: Name,
    rate: CustomerRate,
    units: f64,
    has_run: bool,
    /// Whether the request waited for its units.
    pub(super) has_waited: bool,
}

impl Charge {
    /// Takes the cost of a request from the customer's rate limit, or waits until the rate pays for
    /// it if that is in time.
    ///
    /// # Errors
    ///
    /// Refuses a request that the rate doesn't pay for in time, at once if that is already known.
    pub(super) async fn take(state: &Arc<State>, request: &RateRequest) -> Result<Charge, Refusal> {
        let now = state.now();
        let visibility = visibility(state, now);
        let arrival = state.rates().arrive(now, &visibility, request);
        match arrival {
            RateArrival::Granted => Ok(Charge::new(state, request)),
            RateArrival::Refused(forecast) => {
                let preferred = state.rates().waiting_request(&request.customer, forecast.after);
                log_over_rate(state, request, &visibility, &forecast, None, preferred.as_ref());
                Err(over_rate(now, &forecast))
            }
            RateArrival::Waits { forecast, outcome } => {
                let waiting = RateWait { state: Arc::clone(state), request, outcome };
                waiting.log_begun(now, &forecast);
                waiting.end().await
            }
        }
    }

    fn new(state: &Arc<State>, request: &RateRequest) -> Charge {
        Charge {
            state: Arc::clone(state),
            customer: request.customer.clone(),
            rate: request.rate.clone(),
            units: request.claim.work,
            has_run: false,
            has_waited: false,
        }
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

/// A request that waits for its customer's rate. Dropping it removes the request from the queue.
struct RateWait<'a> {
    state: Arc<State>,
    request: &'a RateRequest,
    outcome: Receiver<RateOutcome>,
}

impl Drop for RateWait<'_> {
    fn drop(&mut self) {
        let RateRequest { customer, claim, .. } = self.request;
        self.state.rates().withdraw(customer, claim.id);
        // Units that were granted in the meantime must be refunded.
        if let Ok(RateOutcome::Granted) = self.outcome.try_recv() {
            drop(Charge::new(&self.state, self.request));
        }
    }
}

impl RateWait<'_> {
    fn log_begun(&self, now: TimeMs, forecast: &RateForecast) {
        let RateRequest { id, customer, claim, .. } = self.request;
        let (level, portion, after) = {
            let mut rates = self.state.rates();
            let after = rates.waiting_request(customer, forecast.after);
            let bucket = rates.bucket(now, customer);
            (bucket.level(now), bucket.portion(), after)
        };
        self.state.metrics.rate_wait("begun");
        info!(self.state.log, "rate_wait";
            "id" => id.as_str(), "customer" => customer.as_str(), "units" => claim.work,
            "level_units" => level, "portion" => portion,
            "forecast_ms" => forecast.granted_at.map(|granted_at| granted_at.since_ms(now)),
            "claims_ahead" => forecast.claims_ahead, "units_ahead" => forecast.units_ahead,
            "after" => after.as_ref().map(Name::as_str));
    }

    /// Waits until the request is granted its units or refused.
    async fn end(self) -> Result<Charge, Refusal> {
        let (state, request) = (&self.state, self.request);
        let outcome = self.outcome.recv().await;
        let now = state.now();
        let waited_ms = now.since_ms(request.claim.arrived_at);
        match outcome {
            Ok(RateOutcome::Granted) => {
                // Created first, so that the units are refunded whatever follows.
                let mut charge = Charge::new(state, request);
                charge.has_waited = true;
                state.metrics.rate_wait("granted");
                info!(state.log, "rate_granted";
                    "id" => request.id.as_str(), "customer" => request.customer.as_str(),
                    "units" => request.claim.work, "waited_ms" => waited_ms);
                Ok(charge)
            }
            Ok(RateOutcome::Refused { reason, forecast, preferred }) => {
                state.metrics.rate_wait(match reason {
                    WaitRefusal::Displaced => "displaced",
                    WaitRefusal::Late => "refused",
                    WaitRefusal::Stopping => "host_stopping",
                });
                let visibility = visibility(state, now);
                let wait = Some((reason, waited_ms));
                log_over_rate(state, request, &visibility, &forecast, wait, preferred.as_ref());
                Err(match reason {
                    WaitRefusal::Stopping => host_stopping(),
                    WaitRefusal::Displaced | WaitRefusal::Late => over_rate(now, &forecast),
                })
            }
            // The sender is dropped only with its outcome or by the request itself.
            Err(_) => Err(over_rate(now, &RateForecast::default())),
        }
    }
}

/// Logs a refusal; `wait` says why and after how long it ended a wait, if there was one.
fn log_over_rate(
    state: &State,
    request: &RateRequest,
    visibility: &PeerVisibility,
    forecast: &RateForecast,
    wait: Option<(WaitRefusal, u64)>,
    preferred: Option<&Name>,
) {
    let RateRequest { id, customer, rate, claim, .. } = request;
    let now = state.now();
    let (level, portion, spent_here) = {
        let mut rates = state.rates();
        let bucket = rates.bucket(now, customer);
        (bucket.level(now), bucket.portion(), bucket.spent_here())
    };
    if level.is_some_and(|level| level >= claim.work) {
        state.metrics.units_refused_below_level(claim.work);
    }
    info!(state.log, "over_rate";
        "id" => id.as_str(), "customer" => customer.as_str(), "units" => claim.work,
        "level_units" => level, "burst_units" => rate.burst_units,
        "units_per_s" => rate.units_per_s, "heard_part" => visibility.part, "portion" => portion,
        "spent_here_units" => spent_here,
        "forecast_ms" => forecast.granted_at.map(|granted_at| granted_at.since_ms(now)),
        "claims_ahead" => forecast.claims_ahead, "units_ahead" => forecast.units_ahead,
        "waited_ms" => wait.map(|(_, waited_ms)| waited_ms),
        "reason" => wait.map(|(reason, _)| format!("{reason:?}")),
        "preferred" => preferred.map(Name::as_str));
}

fn over_rate(now: TimeMs, forecast: &RateForecast) -> Refusal {
    let message = "the customer is over its rate limit; send less or retry later";
    let wait_ms = forecast.granted_at.map_or(u64::MAX, |granted_at| granted_at.since_ms(now));
    let retry_after_ms = wait_ms.clamp(1, OVER_RATE_RETRY_MS_MAX);
    Refusal::not_run(RefusalCode::OverRate, message, Some(retry_after_ms))
}
