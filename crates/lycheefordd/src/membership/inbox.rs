use std::sync::Arc;

use async_std::task;
use lycheeford_peer::{Inbox, Missed};
use lycheeford_policy::Instance;
use lycheeford_wire::{
    CustomerLoanReport, FormerHolder, Hello, HostReport, LoanAsk, LoanOffer, LoanRefusal,
    LoanSettled, Message,
};

use crate::placement_task;
use crate::planning::take_demand;
use crate::reservation::report_loan;
use crate::state::State;

impl Inbox for State {
    fn report(&self) -> HostReport {
        let now = self.now();
        let confirmed_age_ms = self.freshness().confirmed_age_ms(now);
        HostReport {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            configuration_revision: self.configuration.load().revision,
            confirmed_age_ms,
            draining: self.is_draining(),
            spare: self.rates().spare(now),
        }
    }

    fn answered(&self, report: HostReport, age_ms: u64) {
        let now = self.now();
        let asked_at = now - age_ms;
        let instance = Instance { host: report.host.clone(), incarnation: report.incarnation };
        self.gone().answered(&instance);
        self.ask_for_configuration(&report.host, report.configuration_revision);
        self.freshness().peer_report(
            asked_at,
            &report.host,
            report.confirmed_age_ms,
            report.configuration_revision,
        );
        self.rates().peer_spare(&report.host, &report.spare);
        self.members().heard(asked_at, report);
    }

    fn told(&self, report: HostReport) {
        self.ask_for_configuration(&report.host, report.configuration_revision);
        let instance = Instance { host: report.host, incarnation: report.incarnation };
        self.gone().answered(&instance);
    }

    fn missed(&self, host: &str, how: Missed) {
        self.members().missed(host, how);
    }

    fn message(&self, from: &Hello, message: Message) {
        let from = Instance { host: from.host.clone(), incarnation: from.incarnation };
        match message {
            Message::DemandReport(report) => {
                if self.coordinator().is_active() {
                    take_demand(self, &from, report);
                }
            }
            Message::PlacementReport(report) => placement_task::adopt(self, &from, report),
            Message::CrashReport(suspects) => self.suspects().merge(&suspects),
            Message::LoanAsk(ask) => self.answer_ask(&from, &ask),
            Message::LoanOffer(offer) => self.take_offer(&offer),
            Message::LoanRefusal(refusal) => self.take_refusal(&from, &refusal),
            Message::LoanQuery(query) => self.answer_query(&query),
            Message::LoanReport(report) => self.take_report(&from, &report),
            Message::LoanSettled(settled) => self.forget_loan(&settled),
            Message::DisclaimAsk(holder) => self.disclaim(&from, holder),
            Message::Disclaimed(holder) => self.take_disclaimer(&from, &holder),
            Message::ConfigurationAsk(known) => self.offer_configuration(&from.host, &known),
            Message::ConfigurationOffer(offer) => self.take_configuration(offer),
            Message::Hello(_)
            | Message::Beat(_)
            | Message::BeatReply(_)
            | Message::Flush(_)
            | Message::Flushed(_) => {}
        }
    }
}

impl State {
    fn answer_ask(&self, from: &Instance, ask: &LoanAsk) {
        let now = self.now();
        // Later holders of this share ask only listed hosts for their loans.
        let listed = self.fleet.load().host(&from.host).is_some();
        let answer = {
            let mut rates = self.rates();
            let Some(rate) = rates.customer(&ask.customer) else { return };
            let loan = if listed { rate.lend(now, from, ask.ask, ask.tokens) } else { None };
            match loan {
                Some(loan) => {
                    Message::LoanOffer(LoanOffer { customer: ask.customer.clone(), loan })
                }
                None => Message::LoanRefusal(LoanRefusal {
                    customer: ask.customer.clone(),
                    ask: ask.ask,
                    spare_tokens: rate.share.spare_tokens(now),
                }),
            }
        };
        self.send(&from.host, answer);
    }

    fn take_offer(&self, offer: &LoanOffer) {
        let returned = match self.rates().customer(&offer.customer) {
            Some(rate) => rate.accept(&offer.loan),
            None => None,
        };
        if let Some(report) = returned {
            report_loan(self, &offer.customer, report);
        }
    }

    fn take_refusal(&self, from: &Instance, refusal: &LoanRefusal) {
        if let Some(rate) = self.rates().customer(&refusal.customer) {
            rate.refused_loan(&from.host, refusal.ask, refusal.spare_tokens);
        }
    }

    fn answer_query(&self, query: &LoanOffer) {
        let report = match self.rates().customer(&query.customer) {
            Some(rate) => rate.share.report_loan(&query.loan),
            None => return,
        };
        report_loan(self, &query.customer, report);
    }

    fn take_report(&self, from: &Instance, report: &CustomerLoanReport) {
        let now = self.now();
        let settled = match self.rates().customer(&report.customer) {
            Some(rate) => rate.share.settle(now, &report.report),
            None => false,
        };
        if settled {
            let settled =
                LoanSettled { customer: report.customer.clone(), id: report.report.id.clone() };
            self.send(&from.host, Message::LoanSettled(settled));
        }
    }

    fn forget_loan(&self, settled: &LoanSettled) {
        if let Some(rate) = self.rates().customer(&settled.customer) {
            rate.share.forget_loan(&settled.id);
        }
    }

    fn disclaim(&self, from: &Instance, holder: FormerHolder) {
        let disclaimed = match self.rates().customer(&holder.customer) {
            Some(rate) => rate.share.disclaim_loans(&holder.former),
            // Without the customer's configuration no loan of it can be here.
            None => return,
        };
        if disclaimed {
            self.send(&from.host, Message::Disclaimed(holder));
        }
    }

    fn take_disclaimer(&self, from: &Instance, holder: &FormerHolder) {
        let now = self.now();
        if let Some(rate) = self.rates().customer(&holder.customer) {
            // The next round of upkeep clears the stored table.
            rate.share.clear_inherited(now, &from.host, &holder.former);
        }
    }

    /// Sends a message to a peer, as far as there are peers yet.
    pub(crate) fn send(&self, host: &str, message: Message) {
        if let Some(peers) = self.peers.get() {
            // Every message is asked for again, or replaced, if it is lost.
            let _ = peers.send(host, message);
        }
    }
}

/// Shares crash suspects with every peer.
pub(crate) fn share_suspects(state: &Arc<State>) {
    let state = state.clone();
    task::spawn(async move {
        let suspects = state.suspects().reports().to_vec();
        if let Some(peers) = state.peers.get() {
            peers.send_all(&Message::CrashReport(suspects));
        }
    });
}
