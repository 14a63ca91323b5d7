use std::net::SocketAddr;

use lycheeford_policy::{Name, ShortKey, StreamKey, StreamVersion, VersionKnowledge};
use prost::Oneof;
use snafu::OptionExt;

use super::{DecodeError, FieldSnafu};

/// The versions that began streams, sent to the hosts that keep them.
#[derive(Debug, Clone, PartialEq)]
pub(in super::super) struct StreamUpdate {
    pub(crate) streams: Vec<StreamVersion>,
}

/// A question about the version that began a stream, sent to a host that keeps it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StreamQuery {
    pub(crate) service: Name,
    pub(crate) stream: StreamKey,
    /// The address to which the reply is sent.
    pub(crate) sender: SocketAddr,
    /// The number of the query, unique within its sender.
    pub(crate) number: u64,
}

/// The reply to a [`StreamQuery`].
#[derive(Debug, Clone, PartialEq)]
pub(in super::super) struct StreamReply {
    pub(crate) number: u64,
    pub(crate) knowledge: VersionKnowledge,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireStreamUpdate {
    #[prost(message, repeated, tag = "1")]
    streams: Vec<WireStream>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireStream {
    #[prost(fixed64, tag = "1")]
    stream: u64,
    #[prost(fixed32, tag = "2")]
    version: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireStreamQuery {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, tag = "2")]
    stream: u64,
    #[prost(string, tag = "3")]
    sender: String,
    #[prost(uint64, tag = "4")]
    number: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireStreamReply {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(oneof = "WireKnowledge", tags = "2, 3, 4, 5")]
    knowledge: Option<WireKnowledge>,
}

#[derive(Clone, PartialEq, Oneof)]
enum WireKnowledge {
    #[prost(fixed32, tag = "2")]
    Began(u32),
    #[prost(fixed32, tag = "3")]
    Sole(u32),
    #[prost(bool, tag = "4")]
    Several(bool),
    #[prost(bool, tag = "5")]
    Recent(bool),
}

impl From<StreamUpdate> for WireStreamUpdate {
    fn from(update: StreamUpdate) -> WireStreamUpdate {
        let stream =
            |known: StreamVersion| WireStream { stream: known.stream.0, version: known.version.0 };
        WireStreamUpdate { streams: update.streams.into_iter().map(stream).collect() }
    }
}

impl From<WireStreamUpdate> for StreamUpdate {
    fn from(wire: WireStreamUpdate) -> StreamUpdate {
        let stream = |wire: WireStream| StreamVersion {
            stream: StreamKey(wire.stream),
            version: ShortKey(wire.version),
        };
        StreamUpdate { streams: wire.streams.into_iter().map(stream).collect() }
    }
}

impl From<StreamQuery> for WireStreamQuery {
    fn from(query: StreamQuery) -> WireStreamQuery {
        WireStreamQuery {
            service: query.service.as_str().to_owned(),
            stream: query.stream.0,
            sender: query.sender.to_string(),
            number: query.number,
        }
    }
}

impl TryFrom<WireStreamQuery> for StreamQuery {
    type Error = DecodeError;

    fn try_from(wire: WireStreamQuery) -> Result<StreamQuery, DecodeError> {
        let sender = wire.sender.parse::<SocketAddr>().ok();
        Ok(StreamQuery {
            service: Name::from(wire.service),
            stream: StreamKey(wire.stream),
            sender: sender.context(FieldSnafu { field: "sender" })?,
            number: wire.number,
        })
    }
}

impl From<StreamReply> for WireStreamReply {
    fn from(reply: StreamReply) -> WireStreamReply {
        let knowledge = match reply.knowledge {
            VersionKnowledge::Began(version) => WireKnowledge::Began(version.0),
            VersionKnowledge::Sole(version) => WireKnowledge::Sole(version.0),
            VersionKnowledge::Several => WireKnowledge::Several(true),
            VersionKnowledge::Recent => WireKnowledge::Recent(true),
        };
        WireStreamReply { number: reply.number, knowledge: Some(knowledge) }
    }
}

impl TryFrom<WireStreamReply> for StreamReply {
    type Error = DecodeError;

    fn try_from(wire: WireStreamReply) -> Result<StreamReply, DecodeError> {
        let knowledge = match wire.knowledge.context(FieldSnafu { field: "knowledge" })? {
            WireKnowledge::Began(version) => VersionKnowledge::Began(ShortKey(version)),
            WireKnowledge::Sole(version) => VersionKnowledge::Sole(ShortKey(version)),
            WireKnowledge::Several(_) => VersionKnowledge::Several,
            WireKnowledge::Recent(_) => VersionKnowledge::Recent,
        };
        Ok(StreamReply { number: wire.number, knowledge })
    }
}
