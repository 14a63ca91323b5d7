use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use lycheeford_policy::{
    LoanReport, Name, Overdrawn, Refusal, RefusalCode, ReservationId, Shortage,
};
use lycheeford_wire::{CustomerLoanReport, LoanAsk, Message};

use crate::metrics::Event;
use crate::rates::LoanSearch;
use crate::state::State;

/// How long a request waits for loans; peers are a few milliseconds away.
const LOAN_MS_MAX: u64 = 150;
/// The least that a caller is told to wait.
const RETRY_AFTER_MS_MIN: u64 = 10;

/// Tokens reserved for one request; what is left returns when it is dropped.
pub(crate) struct Reserved {
    state: Arc<State>,
    customer: Name,
    id: ReservationId,
}

impl Reserved {
    /// Reserves a request's tokens, with loans from peers if need be.
    ///
    /// # Errors
    ///
    /// Refuses if they aren't to be had now, and says when they are.
    pub(crate) async fn new(
        state: &Arc<State>,
        customer: &Name,
        tokens: u64,
    ) -> Result<Reserved, Refusal> {
        let shortage = {
            let mut rates = state.rates();
            let Some(rate) = rates.customer(customer) else {
                return Err(over_rate("customer has no rate declared; ask your operator", None));
            };
            match rate.reserve(state.now(), tokens) {
                Ok(id) => return Ok(Reserved::standing(state, customer, id)),
                Err(shortage) => shortage,
            }
        };
        borrow(state, customer, tokens, shortage).await
    }

    /// Spends tokens before they are delivered.
    ///
    /// # Errors
    ///
    /// Fails if the reservation holds less; nothing may be delivered then.
    pub(crate) fn consume(&self, tokens: u64) -> Result<(), Overdrawn> {
        let now = self.state.now();
        match self.state.rates().customer(&self.customer) {
            Some(rate) => rate.consume(now, self.id, tokens),
            None => Err(Overdrawn { left_tokens: 0 }),
        }
    }

    fn standing(state: &Arc<State>, customer: &Name, id: ReservationId) -> Reserved {
        Reserved { state: state.clone(), customer: customer.clone(), id }
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let now = self.state.now();
        let reports = match self.state.rates().customer(&self.customer) {
            Some(rate) => rate.share.finish(now, self.id),
            None => Vec::new(),
        };
        for report in reports {
            report_loan(&self.state, &self.customer, report);
        }
    }
}

/// Tells a lender how its loan stands; a lost report is asked for again.
pub(crate) fn report_loan(state: &State, customer: &Name, report: LoanReport) {
    let lender = report.id.lender.host.clone();
    let report = CustomerLoanReport { customer: customer.clone(), report };
    if let Some(peers) = state.peers.get() {
        let _ = peers.send(&lender, Message::LoanReport(report));
    }
}

async fn borrow(
    state: &Arc<State>,
    customer: &Name,
    tokens: u64,
    shortage: Shortage,
) -> Result<Reserved, Refusal> {
    let search = {
        let mut rates = state.rates();
        let Some(rate) = rates.customer(customer) else {
            return Err(over_rate("customer has no rate declared; ask your operator", None));
        };
        rate.search_loans(state.now(), tokens)
    };
    // Gives back what was borrowed if the caller hangs up or the search fails.
    let reserved = Reserved::standing(state, customer, search.reservation);
    for (lender, ask, tokens) in &search.asks {
        let ask = LoanAsk { customer: customer.clone(), ask: *ask, tokens: *tokens };
        if let Some(peers) = state.peers.get() {
            let _ = peers.send(lender, Message::LoanAsk(ask));
        }
    }
    // Without an answer in time the search ends with what came.
    let _ = timeout(Duration::from_millis(LOAN_MS_MAX), all_answers(&search)).await;

    let now = state.now();
    let mut rates = state.rates();
    let Some(rate) = rates.customer(customer) else {
        return Err(over_rate("customer has no rate declared; ask your operator", None));
    };
    let missing_tokens = rate.end_search(now, &search);
    if missing_tokens == 0 {
        state.metrics.event(Event::Loan);
        drop(rates);
        return Ok(reserved);
    }
    let within_rate = rate.is_within_rate(now, tokens);
    let retry_after_ms = rate.retry_after_ms(shortage, missing_tokens);
    rate.refused += 1;
    drop(rates);
    if within_rate {
        state.metrics.refusal_within_rate(&state.customer_labels(customer));
    }
    let message =
        format!("{tokens} tokens are over the customer's rate and burst; send less or later");
    Err(over_rate(&message, Some(retry_after_ms.max(RETRY_AFTER_MS_MIN))))
}

async fn all_answers(search: &LoanSearch) {
    for _ in &search.asks {
        match search.answers.recv().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

fn over_rate(message: &str, retry_after_ms: Option<u64>) -> Refusal {
    Refusal::not_run(RefusalCode::OverRate, message, retry_after_ms)
}
