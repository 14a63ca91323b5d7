mod configuration;
mod host;
mod loan;
mod placement;

use lycheeford_policy::Name;
use prost::Message as _;

use crate::error::WireError;
use crate::generated as wire;
use crate::generated::frame::Body;
use crate::message::{Beat, FormerHolder, Message};

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
        Message::ConfigurationAsk(chunk_names) => {
            let chunk_names = chunk_names.iter().map(|name| name.as_str().to_owned()).collect();
            Body::ConfigurationAsk(wire::ConfigurationAsk { chunk_names })
        }
        Message::ConfigurationOffer(offer) => Body::ConfigurationOffer(offer.into()),
        Message::Flush(sequence) => Body::Flush(wire::Flush { sequence }),
        Message::Flushed(sequence) => Body::Flushed(wire::Flushed { sequence }),
    };
    wire::Frame { body: Some(body) }.encode_to_vec()
}

/// Decodes the bytes of one frame.
///
/// # Errors
///
/// Fails if the bytes aren't a frame of this release, or if a required field is
/// missing.
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
        Body::ConfigurationAsk(ask) => {
            Message::ConfigurationAsk(ask.chunk_names.into_iter().map(Name::from).collect())
        }
        Body::ConfigurationOffer(offer) => Message::ConfigurationOffer(offer.try_into()?),
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
        former: required(former, "former")?,
    })
}

fn required<T, U>(part: Option<T>, field: &'static str) -> Result<U, WireError>
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
