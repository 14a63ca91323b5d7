use lycheeford_peer::{Inbox, Missed};
use lycheeford_policy::{Instance, Name};
use lycheeford_wire::{Hello, HostReport, Message};

use crate::configuration::spread;
use crate::loads::demand::take_demand;
use crate::placement::adopt::adopt;
use crate::rates::loans;
use crate::state::State;

impl Inbox for State {
    fn report(&self) -> HostReport {
        let now = self.now();
        let confirmed_age_ms = self.freshness.lock().confirmed_age_ms(now);
        HostReport {
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            configuration_revision: self.configuration.load().revision,
            confirmed_age_ms,
            draining: self.running.is_draining(),
            spare: self.rates.lock().spare(now),
        }
    }

    fn answered(&self, report: HostReport, age_ms: u64) {
        let now = self.now();
        let asked_at = now - age_ms;
        let instance = Instance { host: report.host.clone(), incarnation: report.incarnation };
        self.gone.lock().answered(&instance);
        spread::ask_for_configuration(self, &report.host, report.configuration_revision);
        self.freshness.lock().peer_report(
            asked_at,
            &report.host,
            report.confirmed_age_ms,
            report.configuration_revision,
        );
        self.take_spare(&report);
        self.members.lock().heard(asked_at, report);
    }

    fn told(&self, report: HostReport) {
        spread::ask_for_configuration(self, &report.host, report.configuration_revision);
        let instance = Instance { host: report.host, incarnation: report.incarnation };
        self.gone.lock().answered(&instance);
    }

    fn missed(&self, host: &str, how: Missed) {
        self.members.lock().missed(host, how);
        self.rates.lock().peer_missed(&Name::from(host));
    }

    fn message(&self, from: &Hello, message: Message) {
        let from = Instance { host: from.host.clone(), incarnation: from.incarnation };
        match message {
            Message::DemandReport(report) => {
                if self.coordinator.lock().is_active() {
                    take_demand(self, &from, report);
                }
            }
            Message::PlacementReport(report) => adopt(self, &from, report),
            Message::CrashReport(suspects) => self.suspects.lock().merge(&suspects),
            Message::LoanAsk(ask) => loans::answer_ask(self, &from, &ask),
            Message::LoanOffer(offer) => loans::take_offer(self, &offer),
            Message::LoanRefusal(refusal) => loans::take_refusal(self, &from, &refusal),
            Message::LoanQuery(query) => loans::answer_query(self, &query),
            Message::LoanReport(report) => loans::take_report(self, &from, &report),
            Message::LoanSettled(settled) => loans::forget_loan(self, &settled),
            Message::DisclaimAsk(holder) => loans::disclaim(self, &from, holder),
            Message::Disclaimed(holder) => loans::take_disclaimer(self, &from, &holder),
            Message::ConfigurationAsk(known) => {
                spread::offer_configuration(self, &from.host, &known);
            }
            Message::ConfigurationOffer(offer) => spread::take_configuration(self, offer),
            Message::Hello(_)
            | Message::Beat(_)
            | Message::BeatReply(_)
            | Message::Flush(_)
            | Message::Flushed(_) => {}
        }
    }
}

impl State {
    /// Takes in what a listed host could lend.
    fn take_spare(&self, report: &HostReport) {
        let mut rates = self.rates.lock();
        // Looked up under the lock, so that a host that leaves the list meanwhile is forgotten.
        if self.fleet.load().host(&report.host).is_some() {
            rates.peer_spare(&report.host, &report.spare);
        }
    }
}
