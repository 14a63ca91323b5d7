use std::net::SocketAddr;

use lycheeford_policy::{HostRecord, HostSign, Name, PeerState, ShortKey};
use snafu::OptionExt;

use super::{DecodeError, FieldSnafu};

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireHost {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(string, tag = "2")]
    peer_address: String,
    #[prost(string, tag = "3")]
    caller_address: String,
    #[prost(string, tag = "4")]
    failure_domain: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireSign {
    #[prost(fixed32, tag = "1")]
    key: u32,
    #[prost(uint32, tag = "2")]
    state: u32,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(message, optional, tag = "4")]
    record: Option<WireHost>,
}

impl From<HostRecord> for WireHost {
    fn from(record: HostRecord) -> WireHost {
        let HostRecord { host, peer_address, caller_address, failure_domain } = record;
        WireHost {
            host: host.as_str().to_owned(),
            peer_address: peer_address.to_string(),
            caller_address: caller_address.to_string(),
            failure_domain: failure_domain.as_str().to_owned(),
        }
    }
}

impl TryFrom<WireHost> for HostRecord {
    type Error = DecodeError;

    fn try_from(wire: WireHost) -> Result<HostRecord, DecodeError> {
        let address = |text: &str, field: &'static str| {
            text.parse::<SocketAddr>().ok().context(FieldSnafu { field })
        };
        Ok(HostRecord {
            peer_address: address(&wire.peer_address, "peer_address")?,
            caller_address: address(&wire.caller_address, "caller_address")?,
            host: Some(Name::from(wire.host))
                .filter(|host| !host.is_empty())
                .context(FieldSnafu { field: "host" })?,
            failure_domain: Name::from(wire.failure_domain),
        })
    }
}

impl From<HostSign> for WireSign {
    fn from(sign: HostSign) -> WireSign {
        let HostSign { key, state, age_ms, record } = sign;
        WireSign {
            key: key.0,
            state: state_to_wire(state),
            age_ms,
            record: record.map(WireHost::from),
        }
    }
}

impl TryFrom<WireSign> for HostSign {
    type Error = DecodeError;

    fn try_from(wire: WireSign) -> Result<HostSign, DecodeError> {
        Ok(HostSign {
            key: ShortKey(wire.key),
            state: state_from_wire(wire.state)?,
            age_ms: wire.age_ms,
            record: wire.record.map(HostRecord::try_from).transpose()?,
        })
    }
}

pub(super) fn state_to_wire(state: PeerState) -> u32 {
    match state {
        PeerState::Starting => 0,
        PeerState::Ready => 1,
        PeerState::Draining => 2,
        PeerState::CutOff => 3,
    }
}

pub(super) fn state_from_wire(state: u32) -> Result<PeerState, DecodeError> {
    match state {
        0 => Ok(PeerState::Starting),
        1 => Ok(PeerState::Ready),
        2 => Ok(PeerState::Draining),
        3 => Ok(PeerState::CutOff),
        _ => FieldSnafu { field: "state" }.fail(),
    }
}
