use lycheeford_policy::{HostRecord, Name, ReportedLease, ReportedPlacement, ShortKey, WantedName};
use snafu::OptionExt;

use super::counts::WireCount;
use super::host::WireHost;
use super::{DecodeError, FieldSnafu};

/// The models and adapters that a host's requests wait for, as sent to the lease holder.
#[derive(Debug, Clone, PartialEq)]
pub(in super::super) struct WaitingDemand {
    pub(in super::super) sender: HostRecord,
    /// Empty if no request waits any more.
    pub(in super::super) names: Vec<WantedName>,
    /// The token and version of the last placements that the host knows.
    pub(in super::super) placements_known: (u64, u64),
}

/// Placements sent by the lease holder to the hosts with waiting requests.
#[derive(Debug, Clone, PartialEq)]
pub(in super::super) struct PlacementUpdate {
    /// The fencing token of the lease holder.
    pub(in super::super) token: u64,
    /// Models and adapters that were loaded or unloaded.
    pub(in super::super) placements: Vec<ReportedPlacement>,
    /// The version that `placements` follows. The receiver ignores them if it knows only an older
    /// version, since changes would be missing in between.
    pub(in super::super) placements_after: u64,
    /// The remaining wait of requests for each model, in milliseconds.
    pub(in super::super) waits: Vec<(ShortKey, f64)>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireWants {
    #[prost(message, optional, tag = "1")]
    sender: Option<WireHost>,
    #[prost(message, repeated, tag = "2")]
    names: Vec<WireWanted>,
    #[prost(uint64, tag = "3")]
    placements_token: u64,
    #[prost(uint64, tag = "4")]
    placements_version: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireNews {
    #[prost(uint64, tag = "1")]
    token: u64,
    #[prost(message, repeated, tag = "2")]
    placements: Vec<WirePlacement>,
    #[prost(message, repeated, tag = "3")]
    waits: Vec<WireCount>,
    #[prost(uint64, tag = "4")]
    placements_after: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireWanted {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    model: String,
    #[prost(string, optional, tag = "3")]
    adapter: Option<String>,
    #[prost(uint32, tag = "4")]
    waiting: u32,
    #[prost(uint64, tag = "5")]
    oldest_ms: u64,
    #[prost(uint32, tag = "6")]
    priority: u32,
    #[prost(fixed32, optional, tag = "7")]
    version: Option<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireLease {
    #[prost(string, tag = "1")]
    holder: String,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint64, tag = "3")]
    revision: u64,
    #[prost(uint64, tag = "4")]
    renewed_age_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WirePlacement {
    #[prost(fixed32, tag = "1")]
    target: u32,
    #[prost(fixed32, tag = "2")]
    name: u32,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(bool, tag = "4")]
    is_ready: bool,
}

impl From<WaitingDemand> for WireWants {
    fn from(demand: WaitingDemand) -> WireWants {
        WireWants {
            sender: Some(WireHost::from(demand.sender)),
            names: demand.names.into_iter().map(WireWanted::from).collect(),
            placements_token: demand.placements_known.0,
            placements_version: demand.placements_known.1,
        }
    }
}

impl TryFrom<WireWants> for WaitingDemand {
    type Error = DecodeError;

    fn try_from(wire: WireWants) -> Result<WaitingDemand, DecodeError> {
        Ok(WaitingDemand {
            sender: wire.sender.context(FieldSnafu { field: "sender" })?.try_into()?,
            names: wire.names.into_iter().map(WantedName::from).collect(),
            placements_known: (wire.placements_token, wire.placements_version),
        })
    }
}

impl From<PlacementUpdate> for WireNews {
    fn from(update: PlacementUpdate) -> WireNews {
        WireNews {
            token: update.token,
            placements: update.placements.into_iter().map(WirePlacement::from).collect(),
            waits: update.waits.into_iter().map(WireCount::from).collect(),
            placements_after: update.placements_after,
        }
    }
}

impl From<WireNews> for PlacementUpdate {
    fn from(wire: WireNews) -> PlacementUpdate {
        PlacementUpdate {
            token: wire.token,
            placements: wire.placements.into_iter().map(ReportedPlacement::from).collect(),
            waits: wire.waits.into_iter().map(<(ShortKey, f64)>::from).collect(),
            placements_after: wire.placements_after,
        }
    }
}

impl From<WantedName> for WireWanted {
    fn from(name: WantedName) -> WireWanted {
        WireWanted {
            service: name.service.as_str().to_owned(),
            model: name.model.as_str().to_owned(),
            adapter: name.adapter.map(|adapter| adapter.as_str().to_owned()),
            waiting: name.waiting,
            oldest_ms: name.oldest_ms,
            priority: u32::from(name.priority),
            version: name.version.map(|version| version.0),
        }
    }
}

impl From<WireWanted> for WantedName {
    fn from(wire: WireWanted) -> WantedName {
        WantedName {
            service: Name::from(wire.service),
            model: Name::from(wire.model),
            adapter: wire.adapter.map(Name::from),
            version: wire.version.map(ShortKey),
            waiting: wire.waiting,
            oldest_ms: wire.oldest_ms,
            priority: u8::try_from(wire.priority).unwrap_or(u8::MAX),
        }
    }
}

impl From<ReportedLease> for WireLease {
    fn from(lease: ReportedLease) -> WireLease {
        let ReportedLease { holder, token, revision, renewed_age_ms } = lease;
        WireLease { holder: holder.as_str().to_owned(), token, revision, renewed_age_ms }
    }
}

impl From<WireLease> for ReportedLease {
    fn from(wire: WireLease) -> ReportedLease {
        let WireLease { holder, token, revision, renewed_age_ms } = wire;
        ReportedLease { holder: Name::from(holder), token, revision, renewed_age_ms }
    }
}

impl From<ReportedPlacement> for WirePlacement {
    fn from(placement: ReportedPlacement) -> WirePlacement {
        let ReportedPlacement { target, name, version, is_ready } = placement;
        WirePlacement { target: target.0, name: name.0, version, is_ready }
    }
}

impl From<WirePlacement> for ReportedPlacement {
    fn from(wire: WirePlacement) -> ReportedPlacement {
        let WirePlacement { target, name, version, is_ready } = wire;
        ReportedPlacement { target: ShortKey(target), name: ShortKey(name), version, is_ready }
    }
}
