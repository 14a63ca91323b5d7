//! The wire format of messages between hosts.
//!
//! A datagram holds one message. No message carries state that isn't sent again, so a lost one
//! costs only the time until the next.
//!
//! Hosts with different builds of this program exchange messages while a fleet is upgraded.
//! docs/DESIGN.md, "Builds side by side", has the rule by which the format may change; `builds`
//! checks it against messages of earlier builds.

#[cfg(test)]
mod builds;
mod counts;
mod datagram;
mod host;
mod limits;
mod loads;
mod orders;
mod report;
mod streams;
mod targets;
#[cfg(test)]
mod tests;

use lycheeford_policy::PeerReport;
use prost::{Message as _, Oneof};
use snafu::{OptionExt, ResultExt, Snafu};

pub(crate) use self::limits::{LimitReport, PermitRequest};
pub(super) use self::limits::{LimitUpdate, PermitReply};
use self::limits::{WireLimit, WirePermitReply, WirePermitRequest};
use self::loads::WireLoadForecasts;
pub(crate) use self::loads::{LoadForecasts, RemainingLoad};
pub(super) use self::orders::{PlacementUpdate, WaitingDemand};
use self::orders::{WireNews, WireWants};
use self::report::WireReport;
pub(crate) use self::streams::StreamQuery;
pub(super) use self::streams::{StreamReply, StreamUpdate};
use self::streams::{WireStreamQuery, WireStreamReply, WireStreamUpdate};

/// Why a datagram isn't a valid message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(self)))]
pub(super) enum DecodeError {
    #[snafu(display("the datagram isn't a message: {source}; check who sends to this port"))]
    Frame { source: prost::DecodeError },
    #[snafu(display("the datagram can't be inflated: {source}; check who sends to this port"))]
    Deflate { source: std::io::Error },
    #[snafu(display(
        "the field {field} is missing, wrong or unknown; compare the builds of both hosts"
    ))]
    Field { field: &'static str },
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Message {
    /// The sender's state, several times a second.
    Report(Box<PeerReport>),
    /// The models and adapters that the sender's requests wait for, sent to the lease holder.
    WaitingDemand(WaitingDemand),
    /// New placements, sent by the lease holder to the hosts with waiting requests.
    PlacementUpdate(PlacementUpdate),
    /// A permit request, sent to the host that grants the target's permits.
    PermitRequest(PermitRequest),
    /// The reply to a permit request.
    PermitReply(PermitReply),
    /// The limit in a target's response, sent to the host that grants its permits.
    LimitReport(LimitReport),
    /// A change of a target's limit, sent by the granting host to all hosts.
    LimitUpdate(LimitUpdate),
    /// The versions that began streams, sent to the hosts that keep them.
    StreamUpdate(StreamUpdate),
    /// A question about the version that began a stream, sent to a host that keeps it.
    StreamQuery(StreamQuery),
    /// The reply to such a question.
    StreamReply(StreamReply),
    /// When models will be ready, sent by the lease holder to the hosts with waiting requests.
    LoadForecasts(LoadForecasts),
}

/// A decoded message.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Decoded {
    pub(super) message: Message,
    /// The fields of which some content was left out, because a newer build gave it a form that this
    /// one doesn't know.
    pub(super) unread_fields: Vec<&'static str>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireMessage {
    #[prost(oneof = "WireBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    body: Option<WireBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum WireBody {
    #[prost(message, boxed, tag = "1")]
    Report(Box<WireReport>),
    #[prost(message, tag = "2")]
    Wants(WireWants),
    #[prost(message, tag = "3")]
    News(WireNews),
    #[prost(message, tag = "4")]
    PermitRequest(WirePermitRequest),
    #[prost(message, tag = "5")]
    PermitReply(WirePermitReply),
    #[prost(message, tag = "6")]
    HeardLimit(WireLimit),
    #[prost(message, tag = "7")]
    LimitNews(WireLimit),
    #[prost(message, tag = "8")]
    StreamUpdate(WireStreamUpdate),
    #[prost(message, tag = "9")]
    StreamQuery(WireStreamQuery),
    #[prost(message, tag = "10")]
    StreamReply(WireStreamReply),
    #[prost(message, tag = "11")]
    LoadForecasts(WireLoadForecasts),
}

/// Encodes a message into a datagram.
pub(super) fn encode(message: Message) -> Vec<u8> {
    let body = match message {
        Message::Report(report) => WireBody::Report(Box::new(WireReport::from(*report))),
        Message::WaitingDemand(demand) => WireBody::Wants(WireWants::from(demand)),
        Message::PlacementUpdate(update) => WireBody::News(WireNews::from(update)),
        Message::PermitRequest(request) => WireBody::PermitRequest(request.into()),
        Message::PermitReply(reply) => WireBody::PermitReply(reply.into()),
        Message::LimitReport(observed) => WireBody::HeardLimit(observed.into()),
        Message::LimitUpdate(update) => WireBody::LimitNews(update.into()),
        Message::StreamUpdate(update) => WireBody::StreamUpdate(update.into()),
        Message::StreamQuery(query) => WireBody::StreamQuery(query.into()),
        Message::StreamReply(reply) => WireBody::StreamReply(reply.into()),
        Message::LoadForecasts(forecasts) => WireBody::LoadForecasts(forecasts.into()),
    };
    datagram::pack(&WireMessage { body: Some(body) }.encode_to_vec())
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if it holds no valid message.
pub(super) fn decode(datagram: &[u8]) -> Result<Decoded, DecodeError> {
    let message = WireMessage::decode(&*datagram::unpack(datagram)?).context(FrameSnafu)?;
    let mut unread_fields = Vec::new();
    let message = match message.body.context(FieldSnafu { field: "body" })? {
        WireBody::Report(mut report) => {
            unread_fields = report.remove_unknown();
            Message::Report(Box::new(PeerReport::try_from(*report)?))
        }
        WireBody::Wants(demand) => Message::WaitingDemand(WaitingDemand::try_from(demand)?),
        WireBody::News(update) => Message::PlacementUpdate(PlacementUpdate::from(update)),
        WireBody::PermitRequest(request) => {
            Message::PermitRequest(PermitRequest::try_from(request)?)
        }
        WireBody::PermitReply(reply) => Message::PermitReply(PermitReply::try_from(reply)?),
        WireBody::HeardLimit(observed) => Message::LimitReport(LimitReport::try_from(observed)?),
        WireBody::LimitNews(update) => Message::LimitUpdate(LimitUpdate::try_from(update)?),
        WireBody::StreamUpdate(update) => Message::StreamUpdate(StreamUpdate::from(update)),
        WireBody::StreamQuery(query) => Message::StreamQuery(StreamQuery::try_from(query)?),
        WireBody::StreamReply(reply) => Message::StreamReply(StreamReply::try_from(reply)?),
        WireBody::LoadForecasts(forecasts) => {
            Message::LoadForecasts(LoadForecasts::from(forecasts))
        }
    };
    Ok(Decoded { message, unread_fields })
}
