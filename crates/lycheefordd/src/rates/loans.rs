use lycheeford_policy::Instance;
use lycheeford_wire::{
    CustomerLoanReport, FormerHolder, LoanAsk, LoanOffer, LoanRefusal, LoanSettled, Message,
};

use super::reservation::report_loan;
use crate::membership::outbox::send;
use crate::state::State;

/// Lends a part of this host's tokens, or says that it has none.
pub(crate) fn answer_ask(state: &State, from: &Instance, ask: &LoanAsk) {
    let now = state.now();
    // Later holders of this share ask only listed hosts for their loans.
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

/// Takes a loan, or gives back one that nobody waits for any more.
pub(crate) fn take_offer(state: &State, offer: &LoanOffer) {
    let returned = match state.rates.lock().customer(&offer.customer) {
        Some(rate) => rate.accept(&offer.loan),
        None => None,
    };
    if let Some(report) = returned {
        report_loan(state, &offer.customer, report);
    }
}

/// Notes that a host lends nothing.
pub(crate) fn take_refusal(state: &State, from: &Instance, refusal: &LoanRefusal) {
    state.rates.lock().refused_loan(
        &refusal.customer,
        &from.host,
        refusal.ask,
        refusal.spare_tokens,
    );
}

/// Says what became of a loan.
pub(crate) fn answer_query(state: &State, query: &LoanOffer) {
    let report = match state.rates.lock().customer(&query.customer) {
        Some(rate) => rate.share.report_loan(&query.loan),
        None => return,
    };
    report_loan(state, &query.customer, report);
}

/// Settles a loan that is given back.
pub(crate) fn take_report(state: &State, from: &Instance, report: &CustomerLoanReport) {
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

/// Forgets a loan that the lender has settled.
pub(crate) fn forget_loan(state: &State, settled: &LoanSettled) {
    if let Some(rate) = state.rates.lock().customer(&settled.customer) {
        rate.share.forget_loan(&settled.id);
    }
}

/// Says that this host has no loan of a former holder.
pub(crate) fn disclaim(state: &State, from: &Instance, holder: FormerHolder) {
    let disclaimed = match state.rates.lock().customer(&holder.customer) {
        Some(rate) => rate.share.disclaim_loans(&holder.former),
        // Without the customer's configuration no loan of it can be here.
        None => return,
    };
    if disclaimed {
        send(state, &from.host, Message::Disclaimed(holder));
    }
}

/// Notes that a host has no loan of a former holder.
pub(crate) fn take_disclaimer(state: &State, from: &Instance, holder: &FormerHolder) {
    let now = state.now();
    if let Some(rate) = state.rates.lock().customer(&holder.customer) {
        // The next round of upkeep clears the stored table.
        rate.share.clear_inherited(now, &from.host, &holder.former);
    }
}
