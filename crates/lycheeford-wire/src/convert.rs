use lycheeford_policy::{Incarnation, Name};
use prost::Message as _;

use crate::error::WireError;
use crate::generated as wire;
use crate::generated::frame::Body;
use crate::message::{
    Beat, CrashCount, Demand, DemandReport, Expected, Hello, HostReport, LoanGrant, LoanQuery,
    LoanRequest, LoanSettlement, Message, PlacementReport, Refused, Served, SpareTokens,
    TargetLoad, TargetPlacement,
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
        Message::LoanRequest(request) => Body::LoanRequest(request.into()),
        Message::LoanGrant(grant) => Body::LoanGrant(grant.into()),
        Message::LoanSettlement(settlement) => Body::LoanSettlement(settlement.into()),
        Message::LoanQuery(query) => Body::LoanQuery(query.into()),
        Message::DemandReport(report) => Body::DemandReport(report.into()),
        Message::PlacementReport(report) => Body::PlacementReport(report.into()),
        Message::CrashReport(crashes) => Body::CrashReport(wire::CrashReport {
            crashes: crashes.into_iter().map(Into::into).collect(),
        }),
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
        Body::LoanRequest(request) => Message::LoanRequest(request.try_into()?),
        Body::LoanGrant(grant) => Message::LoanGrant(grant.try_into()?),
        Body::LoanSettlement(settlement) => Message::LoanSettlement(settlement.try_into()?),
        Body::LoanQuery(query) => Message::LoanQuery(query.try_into()?),
        Body::DemandReport(report) => Message::DemandReport(report.try_into()?),
        Body::PlacementReport(report) => Message::PlacementReport(report.try_into()?),
        Body::CrashReport(report) => {
            Message::CrashReport(report.crashes.into_iter().map(Into::into).collect())
        }
        Body::Flush(flush) => Message::Flush(flush.sequence),
        Body::Flushed(flushed) => Message::Flushed(flushed.sequence),
    };
    Ok(message)
}

fn checked_beat(sequence: u64, report: Option<wire::HostReport>) -> Result<Beat, WireError> {
    let report = report.ok_or_else(|| WireError::missing("report"))?.try_into()?;
    Ok(Beat { sequence, report })
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

impl From<LoanRequest> for wire::LoanRequest {
    fn from(domain: LoanRequest) -> wire::LoanRequest {
        wire::LoanRequest {
            loan_id: domain.loan_id,
            customer: domain.customer.as_str().to_owned(),
            tokens: domain.tokens,
        }
    }
}

impl TryFrom<wire::LoanRequest> for LoanRequest {
    type Error = WireError;

    fn try_from(wire: wire::LoanRequest) -> Result<LoanRequest, WireError> {
        Ok(LoanRequest {
            loan_id: wire.loan_id,
            customer: checked_name(wire.customer, "customer")?,
            tokens: wire.tokens,
        })
    }
}

impl From<LoanGrant> for wire::LoanGrant {
    fn from(domain: LoanGrant) -> wire::LoanGrant {
        wire::LoanGrant {
            loan_id: domain.loan_id,
            customer: domain.customer.as_str().to_owned(),
            tokens: domain.tokens,
            ready_in_ms: domain.ready_in_ms,
        }
    }
}

impl TryFrom<wire::LoanGrant> for LoanGrant {
    type Error = WireError;

    fn try_from(wire: wire::LoanGrant) -> Result<LoanGrant, WireError> {
        Ok(LoanGrant {
            loan_id: wire.loan_id,
            customer: checked_name(wire.customer, "customer")?,
            tokens: wire.tokens,
            ready_in_ms: wire.ready_in_ms,
        })
    }
}

impl From<LoanSettlement> for wire::LoanSettlement {
    fn from(domain: LoanSettlement) -> wire::LoanSettlement {
        wire::LoanSettlement {
            loan_id: domain.loan_id,
            customer: domain.customer.as_str().to_owned(),
            used_tokens: domain.used_tokens,
        }
    }
}

impl TryFrom<wire::LoanSettlement> for LoanSettlement {
    type Error = WireError;

    fn try_from(wire: wire::LoanSettlement) -> Result<LoanSettlement, WireError> {
        Ok(LoanSettlement {
            loan_id: wire.loan_id,
            customer: checked_name(wire.customer, "customer")?,
            used_tokens: wire.used_tokens,
        })
    }
}

impl From<LoanQuery> for wire::LoanQuery {
    fn from(domain: LoanQuery) -> wire::LoanQuery {
        wire::LoanQuery { loan_id: domain.loan_id, customer: domain.customer.as_str().to_owned() }
    }
}

impl TryFrom<wire::LoanQuery> for LoanQuery {
    type Error = WireError;

    fn try_from(wire: wire::LoanQuery) -> Result<LoanQuery, WireError> {
        Ok(LoanQuery { loan_id: wire.loan_id, customer: checked_name(wire.customer, "customer")? })
    }
}

impl From<DemandReport> for wire::DemandReport {
    fn from(domain: DemandReport) -> wire::DemandReport {
        wire::DemandReport {
            demands: encoded_all(domain.demands),
            served: encoded_all(domain.served),
            loads: encoded_all(domain.loads),
        }
    }
}

impl TryFrom<wire::DemandReport> for DemandReport {
    type Error = WireError;

    fn try_from(wire: wire::DemandReport) -> Result<DemandReport, WireError> {
        Ok(DemandReport {
            demands: checked_all(wire.demands)?,
            served: checked_all(wire.served)?,
            loads: checked_all(wire.loads)?,
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

impl From<Served> for wire::Served {
    fn from(domain: Served) -> wire::Served {
        wire::Served { name: domain.name.as_str().to_owned(), requests: domain.requests }
    }
}

impl TryFrom<wire::Served> for Served {
    type Error = WireError;

    fn try_from(wire: wire::Served) -> Result<Served, WireError> {
        Ok(Served { name: checked_name(wire.name, "name")?, requests: wire.requests })
    }
}

impl From<TargetLoad> for wire::TargetLoad {
    fn from(domain: TargetLoad) -> wire::TargetLoad {
        wire::TargetLoad { target: domain.target.as_str().to_owned(), running: domain.running }
    }
}

impl TryFrom<wire::TargetLoad> for TargetLoad {
    type Error = WireError;

    fn try_from(wire: wire::TargetLoad) -> Result<TargetLoad, WireError> {
        Ok(TargetLoad { target: checked_name(wire.target, "target")?, running: wire.running })
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

impl From<CrashCount> for wire::CrashCount {
    fn from(domain: CrashCount) -> wire::CrashCount {
        wire::CrashCount { fingerprint: domain.fingerprint, crashes: domain.crashes }
    }
}

impl From<wire::CrashCount> for CrashCount {
    fn from(wire: wire::CrashCount) -> CrashCount {
        CrashCount { fingerprint: wire.fingerprint, crashes: wire.crashes }
    }
}
