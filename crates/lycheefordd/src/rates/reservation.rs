use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use lycheeford_policy::{
    LoanReport, Name, Overdrawn, Refusal, RefusalCode, ReservationId, Shortage,
};
use lycheeford_wire::{CustomerLoanReport, LoanAsk, Message};

use crate::operation::metrics::CustomerLabels;
use crate::operation::metrics::Event;
use crate::rates::table::{CustomerRate, LoanSearch};
use crate::state::State;

/// How long a request waits for loans in one round; peers answer within a few milliseconds.
const LOAN_MS_MAX: u64 = 150;
/// The maximum number of rounds of loan requests for one request.
const LOAN_ROUNDS_MAX: usize = 3;
/// The minimum `retry_after_ms` of a refusal.
const RETRY_AFTER_MS_MIN: u64 = 10;

/// Tokens reserved for one request; unused tokens are returned when it is dropped.
pub(crate) struct Reserved {
    state: Arc<State>,
    customer: Name,
    id: ReservationId,
}

impl Reserved {
    /// Reserves a request's tokens, borrowing from peers if this host's share is short.
    ///
    /// # Errors
    ///
    /// Refuses if the tokens aren't available now; the refusal says when to retry.
    pub(crate) async fn new(
        state: &Arc<State>,
        customer: &Name,
        tokens: u64,
    ) -> Result<Reserved, Refusal> {
        let shortage = {
            let mut rates = state.rates.lock();
            let rate = rates.customer(customer).ok_or_else(no_rate)?;
            check_possible(rate, tokens)?;
            match rate.reserve(state.now(), tokens) {
                Ok(id) => return Ok(Reserved::with_id(state, customer, id)),
                Err(shortage) => shortage,
            }
        };
        borrow(state, customer, tokens, shortage).await
    }

    /// Consumes reserved tokens; has to be called before the tokens are delivered.
    ///
    /// # Errors
    ///
    /// Fails if the reservation holds fewer tokens; nothing may be delivered then.
    pub(crate) fn consume(&self, tokens: u64) -> Result<(), Overdrawn> {
        let now = self.state.now();
        match self.state.rates.lock().customer(&self.customer) {
            Some(rate) => rate.consume(now, self.id, tokens),
            None => Err(Overdrawn { left_tokens: 0 }),
        }
    }

    fn with_id(state: &Arc<State>, customer: &Name, id: ReservationId) -> Reserved {
        Reserved { state: state.clone(), customer: customer.clone(), id }
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let now = self.state.now();
        let reports = match self.state.rates.lock().customer(&self.customer) {
            Some(rate) => rate.share.finish(now, self.id),
            None => Vec::new(),
        };
        for report in reports {
            report_loan(&self.state, &self.customer, report);
        }
    }
}

/// Reports the state of a loan to its lender; the lender queries again if the report is lost.
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
    let (id, mut missing_tokens) = {
        let mut rates = state.rates.lock();
        let rate = rates.customer(customer).ok_or_else(no_rate)?;
        rate.reserve_available(state.now(), tokens)
    };
    // Dropping the reservation returns what was borrowed if the caller hangs up or the search
    // fails.
    let reserved = Reserved::with_id(state, customer, id);
    let mut asked = Vec::new();
    for _ in 0..LOAN_ROUNDS_MAX {
        let search = {
            let mut rates = state.rates.lock();
            rates.search_loans(customer, id, missing_tokens, &asked).ok_or_else(no_rate)?
        };
        if search.asks.is_empty() {
            break;
        }
        asked.extend(search.asks.iter().map(|ask| ask.0.clone()));
        missing_tokens = ask_peers(state, customer, id, &search).await?;
        if missing_tokens == 0 {
            state.metrics.event(Event::Loan);
            return Ok(reserved);
        }
    }
    Err(refuse(state, customer, tokens, shortage, missing_tokens))
}

async fn ask_peers(
    state: &State,
    customer: &Name,
    id: ReservationId,
    search: &LoanSearch,
) -> Result<u64, Refusal> {
    for (lender, ask, tokens) in &search.asks {
        let ask = LoanAsk { customer: customer.clone(), ask: *ask, tokens: *tokens };
        if let Some(peers) = state.peers.get() {
            // A lost loan request makes this round last until its timeout.
            let _ = peers.send(lender, Message::LoanAsk(ask));
        }
    }
    let _ = timeout(Duration::from_millis(LOAN_MS_MAX), wait_for_answers(search)).await;
    let mut rates = state.rates.lock();
    let rate = rates.customer(customer).ok_or_else(no_rate)?;
    let missing_tokens = rate.end_search(state.now(), id, search);
    if missing_tokens == 0 {
        rate.admitted += 1;
    }
    Ok(missing_tokens)
}

fn refuse(
    state: &State,
    customer: &Name,
    tokens: u64,
    shortage: Shortage,
    missing_tokens: u64,
) -> Refusal {
    let (within_rate, retry_after_ms) = {
        let mut rates = state.rates.lock();
        let within_rate = rates.is_within_rate(state.now(), customer, tokens);
        let Some(rate) = rates.customer(customer) else { return no_rate() };
        rate.refused += 1;
        (within_rate, rate.retry_after_ms(shortage, missing_tokens))
    };
    if within_rate {
        state
            .metrics
            .refusal_within_rate(&CustomerLabels::of(&state.configuration.load(), customer));
    }
    let message =
        format!("{tokens} tokens exceed the customer's rate and burst; send less or retry later");
    over_rate(&message, Some(retry_after_ms.max(RETRY_AFTER_MS_MIN)))
}

/// Refuses a request larger than the burst, which could never be admitted, and every request
/// while this host has no share yet.
fn check_possible(rate: &CustomerRate, tokens: u64) -> Result<(), Refusal> {
    let burst_tokens = rate.limits().burst_tokens;
    if tokens > burst_tokens {
        let message = format!(
            "request may take {tokens} tokens and the customer's burst is {burst_tokens}; \
             lower max_tokens or shorten the prompt"
        );
        return Err(over_rate(&message, None));
    }
    if rate.table.is_none() {
        return Err(Refusal::not_run(
            RefusalCode::PlatformUnavailable,
            "this host has no share of the customer's rate yet; use another host",
            Some(LOAN_MS_MAX),
        ));
    }
    Ok(())
}

fn no_rate() -> Refusal {
    over_rate("customer has no rate declared; ask your operator", None)
}

/// Waits until every peer has answered, or nothing is missing any more.
async fn wait_for_answers(search: &LoanSearch) {
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
