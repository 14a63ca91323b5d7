//! The form in which hosts talk to each other.
//!
//! One datagram holds one message; nothing in it must last, so that a lost one
//! costs only the time until the next.

mod counts;
mod datagram;
mod host;
mod orders;
mod report;
mod targets;
#[cfg(test)]
mod tests;

use lycheeford_policy::PeerReport;
use prost::{Message as _, Oneof};
use snafu::{OptionExt, ResultExt, Snafu};

pub(super) use self::orders::{News, Wants};
use self::orders::{WireNews, WireWants};
use self::report::WireReport;

/// Why a datagram isn't a message of another host.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(self)))]
pub(super) enum DecodeError {
    #[snafu(display("the datagram isn't a message: {source}; check who sends to this port"))]
    Frame { source: prost::DecodeError },
    #[snafu(display("the datagram can't be inflated: {source}; run one version on all hosts"))]
    Deflate { source: std::io::Error },
    #[snafu(display("the field {field} is missing or wrong; run one version on all hosts"))]
    Field { field: &'static str },
}

/// What one host says to another.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Message {
    /// What it knows, several times a second.
    Report(Box<PeerReport>),
    /// What its requests wait for, to the holder of orders.
    Wants(Wants),
    /// What has been placed, from the holder of orders to those who wait.
    News(News),
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireMessage {
    #[prost(oneof = "WireBody", tags = "1, 2, 3")]
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
}

/// Returns the datagram that holds a message.
pub(super) fn encode(message: Message) -> Vec<u8> {
    let body = match message {
        Message::Report(report) => WireBody::Report(Box::new(WireReport::from(*report))),
        Message::Wants(wants) => WireBody::Wants(WireWants::from(wants)),
        Message::News(news) => WireBody::News(WireNews::from(news)),
    };
    datagram::pack(&WireMessage { body: Some(body) }.encode_to_vec())
}

/// Reads a datagram.
///
/// # Errors
///
/// Fails if it holds no message.
pub(super) fn decode(datagram: &[u8]) -> Result<Message, DecodeError> {
    let message = WireMessage::decode(&*datagram::unpack(datagram)?).context(FrameSnafu)?;
    Ok(match message.body.context(FieldSnafu { field: "body" })? {
        WireBody::Report(report) => Message::Report(Box::new(PeerReport::try_from(*report)?)),
        WireBody::Wants(wants) => Message::Wants(Wants::try_from(wants)?),
        WireBody::News(news) => Message::News(News::from(news)),
    })
}
