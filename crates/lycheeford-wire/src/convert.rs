use lycheeford_policy::{
    AskId, CrashSuspect, Incarnation, Instance, Loan, LoanId, LoanReport, LoanState, Name,
};
use prost::Message as _;

use crate::error::WireError;
use crate::generated as wire;
use crate::generated::frame::Body;
use crate::generated::loan_report::State;
use crate::message::{
    Activity, Beat, CustomerLoanReport, Demand, DemandReport, Expected, FormerHolder, Hello,
    HostReport, LoanAsk, LoanOffer, LoanRefusal, LoanSettled, Message, PlacementReport, Refused,
    SpareTokens, TargetPlacement,
};

/// Encodes a message as the bytes of one frame.
pub fn encode(message: Message) -> Vec<u8> {
    let body = match message {
        Message::Hello(hello) => Body::Hello(hello.into()),
        Message::Beat(beat) => {
            Body::Beat(wire::Beat { sequence: beat.sequence, report: Some(beat.report.into()) })
        }
        Message::BeatReply(beat) => Body::BeatReply(wire::BeatReply {
            sequence: beat.sequence,
            report: Some(beat.report.into()),
        }),
        Message::LoanAsk(ask) => Body::LoanAsk(ask.into()),
        Message::LoanOffer(offer) => Body::LoanOffer(offer.into()),
        Message::LoanRefusal(refusal) => Body::LoanRefusal(refusal.into()),
        Message::LoanQuery(query) => {
            let wire::LoanOffer { customer, loan } = query.into();
            Body::LoanQuery(wire::LoanQuery { customer, loan })
        }
        Message::LoanReport(report) => Body::LoanReport(report.into()),
        Message::LoanSettled(settled) => Body::LoanSettled(settled.into()),
        Message::DisclaimAsk(holder) => Body::DisclaimAsk(wire::DisclaimAsk {
            customer: holder.customer.as_str().to_owned(),
            former: Some(holder.former.into()),
        }),
        Message::Disclaimed(holder) => Body::Disclaimed(wire::Disclaimed {
            customer: holder.customer.as_str().to_owned(),
            former: Some(holder.former.into()),
        }),
        Message::DemandReport(report) => Body::DemandReport(report.into()),
        Message::PlacementReport(report) => Body::PlacementReport(report.into()),
        Message::CrashReport(suspects) => {
            Body::CrashReport(wire::CrashReport { suspects: encoded_all(suspects) })
        }
        Message::Flush(sequence) => Body::Flush(wire::Flush { sequence }),
        Message::Flushed(sequence) => Body::Flushed(wire::Flushed { sequence }),
    };
    wire::Frame { body: Some(body) }.encode_to_vec()
}

/// Decodes the bytes of one frame.
///
/// # Errors
///
/// Fails if the bytes aren't a frame of this release, or if a field that has
/// to be there is missing.
pub fn decode(bytes: &[u8]) -> Result<Message, WireError> {
    let frame = wire::Frame::decode(bytes).map_err(WireError::protobuf)?;
    let message = match frame.body.ok_or_else(WireError::unknown_body)? {
        Body::Hello(hello) => Message::Hello(hello.try_into()?),
        Body::Beat(beat) => Message::Beat(checked_beat(beat.sequence, beat.report)?),
        Body::BeatReply(beat) => Message::BeatReply(checked_beat(beat.sequence, beat.report)?),
        Body::LoanAsk(ask) => Message::LoanAsk(ask.try_into()?),
        Body::LoanOffer(offer) => Message::LoanOffer(offer.try_into()?),
        Body::LoanRefusal(refusal) => Message::LoanRefusal(refusal.try_into()?),
        Body::LoanQuery(wire::LoanQuery { customer, loan }) => {
            Message::LoanQuery(wire::LoanOffer { customer, loan }.try_into()?)
        }
        Body::LoanReport(report) => Message::LoanReport(report.try_into()?),
        Body::LoanSettled(settled) => Message::LoanSettled(settled.try_into()?),
        Body::DisclaimAsk(ask) => Message::DisclaimAsk(former_holder(ask.customer, ask.former)?),
        Body::Disclaimed(answer) => {
            Message::Disclaimed(former_holder(answer.customer, answer.former)?)
        }
        Body::DemandReport(report) => Message::DemandReport(report.try_into()?),
        Body::PlacementReport(report) => Message::PlacementReport(report.try_into()?),
        Body::CrashReport(report) => Message::CrashReport(checked_all(report.suspects)?),
        Body::Flush(flush) => Message::Flush(flush.sequence),
        Body::Flushed(flushed) => Message::Flushed(flushed.sequence),
    };
    Ok(message)
}

fn checked_beat(sequence: u64, report: Option<wire::HostReport>) -> Result<Beat, WireError> {
    let report = report.ok_or_else(|| WireError::missing("report"))?.try_into()?;
    Ok(Beat { sequence, report })
}

fn former_holder(
    customer: String,
    former: Option<wire::Instance>,
) -> Result<FormerHolder, WireError> {
    Ok(FormerHolder {
        customer: checked_name(customer, "customer")?,
        former: present(former, "former")?,
    })
}

fn present<T, U>(part: Option<T>, field: &'static str) -> Result<U, WireError>
where
    U: TryFrom<T, Error = WireError>,
{
    U::try_from(part.ok_or_else(|| WireError::missing(field))?)
}

fn checked_name(text: String, field: &'static str) -> Result<Name, WireError> {
    if text.is_empty() {
        return Err(WireError::missing(field));
    }
    Ok(Name::from(text))
}

fn checked_all<T, U>(items: Vec<T>) -> Result<Vec<U>, WireError>
where
    U: TryFrom<T, Error = WireError>,
{
    items.into_iter().map(U::try_from).collect()
}

fn encoded_all<T, U: From<T>>(items: Vec<T>) -> Vec<U> {
    items.into_iter().map(U::from).collect()
}

impl From<Hello> for wire::Hello {
    fn from(domain: Hello) -> wire::Hello {
        wire::Hello { host: domain.host.as_str().to_owned(), incarnation: domain.incarnation.0 }
    }
}

impl TryFrom<wire::Hello> for Hello {
    type Error = WireError;

    fn try_from(wire: wire::Hello) -> Result<Hello, WireError> {
        Ok(Hello {
            host: checked_name(wire.host, "host")?,
            incarnation: Incarnation(wire.incarnation),
        })
    }
}

impl From<HostReport> for wire::HostReport {
    fn from(domain: HostReport) -> wire::HostReport {
        wire::HostReport {
            host: domain.host.as_str().to_owned(),
            incarnation: domain.incarnation.0,
            configuration_revision: domain.configuration_revision,
            confirmed_age_ms: domain.confirmed_age_ms,
            draining: domain.draining,
            spare: encoded_all(domain.spare),
        }
    }
}

impl TryFrom<wire::HostReport> for HostReport {
    type Error = WireError;

    fn try_from(wire: wire::HostReport) -> Result<HostReport, WireError> {
        Ok(HostReport {
            host: checked_name(wire.host, "host")?,
            incarnation: Incarnation(wire.incarnation),
            configuration_revision: wire.configuration_revision,
            confirmed_age_ms: wire.confirmed_age_ms,
            draining: wire.draining,
            spare: checked_all(wire.spare)?,
        })
    }
}

impl From<SpareTokens> for wire::SpareTokens {
    fn from(domain: SpareTokens) -> wire::SpareTokens {
        wire::SpareTokens { customer: domain.customer.as_str().to_owned(), tokens: domain.tokens }
    }
}

impl TryFrom<wire::SpareTokens> for SpareTokens {
    type Error = WireError;

    fn try_from(wire: wire::SpareTokens) -> Result<SpareTokens, WireError> {
        Ok(SpareTokens { customer: checked_name(wire.customer, "customer")?, tokens: wire.tokens })
    }
}

impl From<LoanAsk> for wire::LoanAsk {
    fn from(domain: LoanAsk) -> wire::LoanAsk {
        wire::LoanAsk {
            customer: domain.customer.as_str().to_owned(),
            ask: domain.ask.0,
            tokens: domain.tokens,
        }
    }
}

impl TryFrom<wire::LoanAsk> for LoanAsk {
    type Error = WireError;

    fn try_from(wire: wire::LoanAsk) -> Result<LoanAsk, WireError> {
        Ok(LoanAsk {
            customer: checked_name(wire.customer, "customer")?,
            ask: AskId(wire.ask),
            tokens: wire.tokens,
        })
    }
}

impl From<LoanOffer> for wire::LoanOffer {
    fn from(domain: LoanOffer) -> wire::LoanOffer {
        wire::LoanOffer {
            customer: domain.customer.as_str().to_owned(),
            loan: Some(domain.loan.into()),
        }
    }
}

impl TryFrom<wire::LoanOffer> for LoanOffer {
    type Error = WireError;

    fn try_from(wire: wire::LoanOffer) -> Result<LoanOffer, WireError> {
        Ok(LoanOffer {
            customer: checked_name(wire.customer, "customer")?,
            loan: present(wire.loan, "loan")?,
        })
    }
}

impl From<LoanRefusal> for wire::LoanRefusal {
    fn from(domain: LoanRefusal) -> wire::LoanRefusal {
        wire::LoanRefusal {
            customer: domain.customer.as_str().to_owned(),
            ask: domain.ask.0,
            spare_tokens: domain.spare_tokens,
        }
    }
}

impl TryFrom<wire::LoanRefusal> for LoanRefusal {
    type Error = WireError;

    fn try_from(wire: wire::LoanRefusal) -> Result<LoanRefusal, WireError> {
        Ok(LoanRefusal {
            customer: checked_name(wire.customer, "customer")?,
            ask: AskId(wire.ask),
            spare_tokens: wire.spare_tokens,
        })
    }
}

impl From<LoanSettled> for wire::LoanSettled {
    fn from(domain: LoanSettled) -> wire::LoanSettled {
        wire::LoanSettled {
            customer: domain.customer.as_str().to_owned(),
            id: Some(domain.id.into()),
        }
    }
}

impl TryFrom<wire::LoanSettled> for LoanSettled {
    type Error = WireError;

    fn try_from(wire: wire::LoanSettled) -> Result<LoanSettled, WireError> {
        Ok(LoanSettled {
            customer: checked_name(wire.customer, "customer")?,
            id: present(wire.id, "id")?,
        })
    }
}

impl From<Instance> for wire::Instance {
    fn from(domain: Instance) -> wire::Instance {
        wire::Instance { host: domain.host.as_str().to_owned(), incarnation: domain.incarnation.0 }
    }
}

impl TryFrom<wire::Instance> for Instance {
    type Error = WireError;

    fn try_from(wire: wire::Instance) -> Result<Instance, WireError> {
        Ok(Instance {
            host: checked_name(wire.host, "host")?,
            incarnation: Incarnation(wire.incarnation),
        })
    }
}

impl From<LoanId> for wire::LoanId {
    fn from(domain: LoanId) -> wire::LoanId {
        wire::LoanId { lender: Some(domain.lender.into()), number: domain.number }
    }
}

impl TryFrom<wire::LoanId> for LoanId {
    type Error = WireError;

    fn try_from(wire: wire::LoanId) -> Result<LoanId, WireError> {
        Ok(LoanId { lender: present(wire.lender, "lender")?, number: wire.number })
    }
}

impl From<Loan> for wire::Loan {
    fn from(domain: Loan) -> wire::Loan {
        wire::Loan {
            id: Some(domain.id.into()),
            borrower: Some(domain.borrower.into()),
            ask: domain.ask.0,
            tokens: domain.tokens,
        }
    }
}

impl TryFrom<wire::Loan> for Loan {
    type Error = WireError;

    fn try_from(wire: wire::Loan) -> Result<Loan, WireError> {
        Ok(Loan {
            id: present(wire.id, "id")?,
            borrower: present(wire.borrower, "borrower")?,
            ask: AskId(wire.ask),
            tokens: wire.tokens,
        })
    }
}

impl From<DemandReport> for wire::DemandReport {
    fn from(domain: DemandReport) -> wire::DemandReport {
        wire::DemandReport {
            demands: encoded_all(domain.demands),
            activity: encoded_all(domain.activity),
        }
    }
}

impl TryFrom<wire::DemandReport> for DemandReport {
    type Error = WireError;

    fn try_from(wire: wire::DemandReport) -> Result<DemandReport, WireError> {
        Ok(DemandReport {
            demands: checked_all(wire.demands)?,
            activity: checked_all(wire.activity)?,
        })
    }
}

impl From<Demand> for wire::Demand {
    fn from(domain: Demand) -> wire::Demand {
        wire::Demand {
            name: domain.name.as_str().to_owned(),
            customer: domain.customer.as_str().to_owned(),
            class: u32::from(domain.class),
            waiting: domain.waiting,
            deadline_in_ms: domain.deadline_in_ms,
            waited_ms: domain.waited_ms,
        }
    }
}

impl TryFrom<wire::Demand> for Demand {
    type Error = WireError;

    fn try_from(wire: wire::Demand) -> Result<Demand, WireError> {
        Ok(Demand {
            name: checked_name(wire.name, "name")?,
            customer: checked_name(wire.customer, "customer")?,
            class: u8::try_from(wire.class).unwrap_or(u8::MAX),
            waiting: wire.waiting,
            deadline_in_ms: wire.deadline_in_ms,
            waited_ms: wire.waited_ms,
        })
    }
}

impl From<Activity> for wire::Activity {
    fn from(domain: Activity) -> wire::Activity {
        wire::Activity {
            name: domain.name.as_str().to_owned(),
            served: domain.served,
            running: domain.running,
        }
    }
}

impl TryFrom<wire::Activity> for Activity {
    type Error = WireError;

    fn try_from(wire: wire::Activity) -> Result<Activity, WireError> {
        Ok(Activity {
            name: checked_name(wire.name, "name")?,
            served: wire.served,
            running: wire.running,
        })
    }
}

impl From<PlacementReport> for wire::PlacementReport {
    fn from(domain: PlacementReport) -> wire::PlacementReport {
        wire::PlacementReport {
            sequence: domain.sequence,
            targets: encoded_all(domain.targets),
            expected: encoded_all(domain.expected),
            refused: encoded_all(domain.refused),
        }
    }
}

impl TryFrom<wire::PlacementReport> for PlacementReport {
    type Error = WireError;

    fn try_from(wire: wire::PlacementReport) -> Result<PlacementReport, WireError> {
        Ok(PlacementReport {
            sequence: wire.sequence,
            targets: checked_all(wire.targets)?,
            expected: checked_all(wire.expected)?,
            refused: checked_all(wire.refused)?,
        })
    }
}

impl From<TargetPlacement> for wire::TargetPlacement {
    fn from(domain: TargetPlacement) -> wire::TargetPlacement {
        wire::TargetPlacement {
            target: domain.target.as_str().to_owned(),
            incarnation: domain.incarnation.0,
            accepts_work: domain.accepts_work,
            running: domain.running,
            queued: domain.queued,
            ready: domain.ready.iter().map(|name| name.as_str().to_owned()).collect(),
        }
    }
}

impl TryFrom<wire::TargetPlacement> for TargetPlacement {
    type Error = WireError;

    fn try_from(wire: wire::TargetPlacement) -> Result<TargetPlacement, WireError> {
        Ok(TargetPlacement {
            target: checked_name(wire.target, "target")?,
            incarnation: Incarnation(wire.incarnation),
            accepts_work: wire.accepts_work,
            running: wire.running,
            queued: wire.queued,
            ready: wire.ready.into_iter().map(Name::from).collect(),
        })
    }
}

impl From<Expected> for wire::Expected {
    fn from(domain: Expected) -> wire::Expected {
        wire::Expected { name: domain.name.as_str().to_owned(), ready_in_ms: domain.ready_in_ms }
    }
}

impl TryFrom<wire::Expected> for Expected {
    type Error = WireError;

    fn try_from(wire: wire::Expected) -> Result<Expected, WireError> {
        Ok(Expected { name: checked_name(wire.name, "name")?, ready_in_ms: wire.ready_in_ms })
    }
}

impl From<Refused> for wire::Refused {
    fn from(domain: Refused) -> wire::Refused {
        wire::Refused {
            name: domain.name.as_str().to_owned(),
            customer: domain.customer.as_str().to_owned(),
            retry_after_ms: domain.retry_after_ms,
        }
    }
}

impl TryFrom<wire::Refused> for Refused {
    type Error = WireError;

    fn try_from(wire: wire::Refused) -> Result<Refused, WireError> {
        Ok(Refused {
            name: checked_name(wire.name, "name")?,
            customer: checked_name(wire.customer, "customer")?,
            retry_after_ms: wire.retry_after_ms,
        })
    }
}

impl From<CustomerLoanReport> for wire::LoanReport {
    fn from(domain: CustomerLoanReport) -> wire::LoanReport {
        let state = match domain.report.state {
            LoanState::Running => State::Running(wire::Running {}),
            LoanState::Closed { used_tokens, returned_tokens } => {
                State::Closed(wire::Closed { used_tokens, returned_tokens })
            }
            LoanState::BorrowerGone => State::BorrowerGone(wire::BorrowerGone {}),
        };
        wire::LoanReport {
            customer: domain.customer.as_str().to_owned(),
            id: Some(domain.report.id.into()),
            state: Some(state),
        }
    }
}

impl TryFrom<wire::LoanReport> for CustomerLoanReport {
    type Error = WireError;

    fn try_from(wire: wire::LoanReport) -> Result<CustomerLoanReport, WireError> {
        let state = match wire.state.ok_or_else(|| WireError::missing("state"))? {
            State::Running(_) => LoanState::Running,
            State::Closed(wire::Closed { used_tokens, returned_tokens }) => {
                LoanState::Closed { used_tokens, returned_tokens }
            }
            State::BorrowerGone(_) => LoanState::BorrowerGone,
        };
        Ok(CustomerLoanReport {
            customer: checked_name(wire.customer, "customer")?,
            report: LoanReport { id: present(wire.id, "id")?, state },
        })
    }
}

impl From<CrashSuspect> for wire::CrashSuspect {
    fn from(domain: CrashSuspect) -> wire::CrashSuspect {
        let target_lives = domain.crashes.iter().map(|life| life.as_str().to_owned()).collect();
        wire::CrashSuspect { fingerprint: domain.fingerprint, target_lives }
    }
}

impl TryFrom<wire::CrashSuspect> for CrashSuspect {
    type Error = WireError;

    fn try_from(wire: wire::CrashSuspect) -> Result<CrashSuspect, WireError> {
        let mut crashes = wire
            .target_lives
            .into_iter()
            .map(|life| checked_name(life, "target life"))
            .collect::<Result<Vec<Name>, WireError>>()?;
        crashes.sort();
        Ok(CrashSuspect { fingerprint: wire.fingerprint, crashes, noted: 0 })
    }
}
