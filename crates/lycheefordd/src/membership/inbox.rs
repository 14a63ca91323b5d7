use lycheeford_peer::{BeatFailure, PeerHandler};
use lycheeford_policy::{Instance, Name};
use lycheeford_wire::{Hello, HostReport, Message, WireError};

use crate::configuration::transfer;
use crate::loads::demand::record_demand;
use crate::membership::unread::count_unread;
use crate::placement::adopt::adopt;
use crate::rates::loans;
use crate::state::State;

impl PeerHandler for State {
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

    fn reply_received(&self, report: HostReport, age_ms: u64) {
        let now = self.now();
        let asked_at = now - age_ms;
        let instance = Instance { host: report.host.clone(), incarnation: report.incarnation };
        self.gone.lock().answered(&instance);
        transfer::request_configuration(self, &report.host, report.configuration_revision);
        self.freshness.lock().record_peer_confirmation(
            asked_at,
            &report.host,
            report.confirmed_age_ms,
            report.configuration_revision,
        );
        self.record_spare(&report);
        self.members.lock().record_report(asked_at, report);
    }

    fn beat_received(&self, from: &Hello, report: HostReport) {
        self.members.lock().record_build(from);
        transfer::request_configuration(self, &report.host, report.configuration_revision);
        let instance = Instance { host: report.host, incarnation: report.incarnation };
        self.gone.lock().answered(&instance);
    }

    fn beat_failed(&self, host: &str, how: BeatFailure) {
        self.members.lock().record_missed(host, how);
        self.rates.lock().record_missed_peer(&Name::from(host));
    }

    fn message_unread(&self, host: &Name, build: Option<&Name>, error: &WireError) {
        count_unread(self, host, build, error);
    }

    fn message_received(&self, from: &Hello, message: Message) {
        let from = Instance { host: from.host.clone(), incarnation: from.incarnation };
        match message {
            Message::DemandReport(report) => {
                if self.coordinator.lock().is_active() {
                    record_demand(self, &from, report);
                }
            }
            Message::PlacementReport(report) => adopt(self, &from, report),
            Message::CrashReport(suspects) => {
                self.suspects.lock().merge(self.now(), &suspects);
            }
            Message::LoanAsk(ask) => loans::answer_ask(self, &from, &ask),
            Message::LoanOffer(offer) => loans::accept_offer(self, &offer),
            Message::LoanRefusal(refusal) => loans::record_refusal(self, &from, &refusal),
            Message::LoanQuery(query) => loans::answer_query(self, &query),
            Message::LoanReport(report) => loans::settle_loan(self, &from, &report),
            Message::LoanSettled(settled) => loans::forget_loan(self, &settled),
            Message::DisclaimAsk(holder) => loans::disclaim(self, &from, holder),
            Message::Disclaimed(holder) => loans::record_disclaimer(self, &from, &holder),
            Message::ConfigurationAsk(known) => {
                transfer::offer_configuration(self, &from.host, &known);
            }
            Message::ConfigurationOffer(offer) => transfer::accept_configuration(self, offer),
            Message::Hello(_)
            | Message::Beat(_)
            | Message::BeatReply(_)
            | Message::Flush(_)
            | Message::Flushed(_) => {}
        }
    }
}

impl State {
    /// Records the spare tokens that a listed host reported.
    fn record_spare(&self, report: &HostReport) {
        let mut rates = self.rates.lock();
        // The lookup is under the lock, so that a host that leaves the list concurrently is not
        // added again.
        if self.fleet.load().host(&report.host).is_some() {
            rates.record_peer_spare(&report.host, &report.spare);
        }
    }
}
