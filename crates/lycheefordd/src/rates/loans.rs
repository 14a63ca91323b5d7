use lycheeford_policy::Instance;
use lycheeford_wire::{
    CustomerLoanReport, FormerHolder, LoanAsk, LoanOffer, LoanRefusal, LoanSettled, Message,
};

use super::reservation::report_loan;
use crate::membership::outbox::send;
use crate::state::State;

/// Answers a loan request with a loan of this host's spare tokens, or with a refusal.
pub(crate) fn answer_ask(state: &State, from: &Instance, ask: &LoanAsk) {
    let now = state.now();
    // This host lends only to listed hosts, since later holders of its share query only those about
    // outstanding loans.
    let listed = state.fleet.load().host(&from.host).is_some();
    let answer = {
        let mut rates = state.rates.lock();
        let Some(rate) = rates.customer(&ask.customer) else { return };
        let loan = if listed { rate.lend(now, from, ask.ask, ask.tokens) } else { None };
        match loan {
            Some(loan) => Message::LoanOffer(LoanOffer { customer: ask.customer.clone(), loan }),
            None => Message::LoanRefusal(LoanRefusal {
                customer: ask.customer.clone(),
                ask: ask.ask,
                spare_tokens: rate.share.spare_tokens(now),
            }),
        }
    };
    send(state, &from.host, answer);
}

/// Accepts an offered loan, or returns it if no request waits for it any more.
pub(crate) fn accept_offer(state: &State, offer: &LoanOffer) {
    let returned = match state.rates.lock().customer(&offer.customer) {
        Some(rate) => rate.accept(&offer.loan),
        None => None,
    };
    if let Some(report) = returned {
        report_loan(state, &offer.customer, report);
    }
}

/// Records that a peer refused a loan request.
pub(crate) fn record_refusal(state: &State, from: &Instance, refusal: &LoanRefusal) {
    state.rates.lock().record_loan_refusal(
        &refusal.customer,
        &from.host,
        refusal.ask,
        refusal.spare_tokens,
    );
}

/// Reports the state of a loan to the lender that queried it.
pub(crate) fn answer_query(state: &State, query: &LoanOffer) {
    let report = match state.rates.lock().customer(&query.customer) {
        Some(rate) => rate.share.report_loan(&query.loan),
        None => return,
    };
    report_loan(state, &query.customer, report);
}

/// Settles a loan that the borrower reported as returned, and confirms it.
pub(crate) fn settle_loan(state: &State, from: &Instance, report: &CustomerLoanReport) {
    let now = state.now();
    let settled = match state.rates.lock().customer(&report.customer) {
        Some(rate) => rate.share.settle(now, &report.report),
        None => false,
    };
    if settled {
        let settled =
            LoanSettled { customer: report.customer.clone(), id: report.report.id.clone() };
        send(state, &from.host, Message::LoanSettled(settled));
    }
}

/// Drops a loan that its lender has settled.
pub(crate) fn forget_loan(state: &State, settled: &LoanSettled) {
    if let Some(rate) = state.rates.lock().customer(&settled.customer) {
        rate.share.forget_loan(&settled.id);
    }
}

/// Confirms to a peer that this host has no loan from a former holder of a share.
pub(crate) fn disclaim(state: &State, from: &Instance, holder: FormerHolder) {
    let disclaimed = match state.rates.lock().customer(&holder.customer) {
        Some(rate) => rate.share.disclaim_loans(&holder.former),
        // This process has never had the customer's configuration, so it can't hold such a loan.
        None => return,
    };
    if disclaimed {
        send(state, &from.host, Message::Disclaimed(holder));
    }
}

/// Records that a host has no loan from a former holder of this host's share.
pub(crate) fn record_disclaimer(state: &State, from: &Instance, holder: &FormerHolder) {
    let now = state.now();
    if let Some(rate) = state.rates.lock().customer(&holder.customer) {
        // The next maintenance round clears the former holder from the stored table.
        rate.share.clear_inherited(now, &from.host, &holder.former);
    }
}
