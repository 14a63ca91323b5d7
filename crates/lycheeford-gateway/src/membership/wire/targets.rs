use std::net::SocketAddr;

use lycheeford_policy::{
    Name, Residency, ResidentModel, TargetChange, TargetChangeBatch, TargetEntry, TargetState,
};
use prost::Oneof;
use snafu::OptionExt;

use super::{DecodeError, FieldSnafu};

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireToldChanges {
    #[prost(uint64, tag = "1")]
    after: u64,
    #[prost(uint64, tag = "2")]
    up_to: u64,
    #[prost(message, repeated, tag = "3")]
    changes: Vec<WireChange>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireChange {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(oneof = "WireChanged", tags = "2, 3")]
    changed: Option<WireChanged>,
}

#[derive(Clone, PartialEq, Oneof)]
enum WireChanged {
    #[prost(message, tag = "2")]
    Put(WireTarget),
    #[prost(string, tag = "3")]
    Gone(String),
}

/// A target entry without the locations of weights in memory and on disk, which only the lease
/// holder needs.
#[derive(Clone, PartialEq, prost::Message)]
struct WireTarget {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    life: u64,
    #[prost(string, tag = "4")]
    service: String,
    #[prost(string, tag = "5")]
    address: String,
    #[prost(string, tag = "6")]
    failure_domain: String,
    #[prost(bool, tag = "7")]
    is_leaving: bool,
    #[prost(uint64, optional, tag = "8")]
    remaining_ms: Option<u64>,
    #[prost(uint32, tag = "9")]
    slots: u32,
    #[prost(message, repeated, tag = "10")]
    models: Vec<WireModel>,
    /// Absent if the sender doesn't know versions, which isn't the same as an empty one.
    #[prost(string, optional, tag = "11")]
    version: Option<String>,
    /// Absent from builds that don't know of cold targets.
    #[prost(uint64, tag = "12")]
    cold_remaining_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireModel {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, repeated, tag = "2")]
    adapters: Vec<String>,
}

impl From<TargetChangeBatch> for WireToldChanges {
    fn from(told: TargetChangeBatch) -> WireToldChanges {
        let TargetChangeBatch { after, up_to, changes } = told;
        let change = |(revision, change)| WireChange {
            revision,
            changed: Some(match change {
                TargetChange::Put(entry) => WireChanged::Put(WireTarget::from(entry)),
                TargetChange::Gone(name) => WireChanged::Gone(name.as_str().to_owned()),
            }),
        };
        WireToldChanges { after, up_to, changes: changes.into_iter().map(change).collect() }
    }
}

impl TryFrom<WireToldChanges> for TargetChangeBatch {
    type Error = DecodeError;

    fn try_from(wire: WireToldChanges) -> Result<TargetChangeBatch, DecodeError> {
        let change = |wire: WireChange| {
            let change = match wire.changed.context(FieldSnafu { field: "changed" })? {
                WireChanged::Put(target) => TargetChange::Put(TargetEntry::try_from(target)?),
                WireChanged::Gone(name) => TargetChange::Gone(Name::from(name)),
            };
            Ok((wire.revision, change))
        };
        let changes: Result<Vec<_>, DecodeError> = wire.changes.into_iter().map(change).collect();
        Ok(TargetChangeBatch { after: wire.after, up_to: wire.up_to, changes: changes? })
    }
}

impl From<TargetEntry> for WireTarget {
    fn from(entry: TargetEntry) -> WireTarget {
        let (is_leaving, remaining_ms) = match entry.state {
            TargetState::Ready => (false, None),
            TargetState::Leaving { remaining_ms } => (true, remaining_ms),
        };
        WireTarget {
            id: entry.id.as_str().to_owned(),
            revision: entry.revision,
            life: entry.life,
            service: entry.service.as_str().to_owned(),
            address: entry.address.to_string(),
            failure_domain: entry.failure_domain.as_str().to_owned(),
            is_leaving,
            remaining_ms,
            slots: entry.slots,
            models: entry.residency.models.into_iter().map(WireModel::from).collect(),
            version: Some(entry.version.as_str().to_owned()),
            cold_remaining_ms: entry.cold_remaining_ms,
        }
    }
}

impl TryFrom<WireTarget> for TargetEntry {
    type Error = DecodeError;

    fn try_from(wire: WireTarget) -> Result<TargetEntry, DecodeError> {
        let address = wire.address.parse::<SocketAddr>().ok();
        let mut models: Vec<ResidentModel> =
            wire.models.into_iter().map(ResidentModel::from).collect();
        models.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(TargetEntry {
            id: Name::from(wire.id),
            revision: wire.revision,
            life: wire.life,
            service: Name::from(wire.service),
            version: Name::from(wire.version.context(FieldSnafu { field: "version" })?),
            address: address.context(FieldSnafu { field: "address" })?,
            failure_domain: Name::from(wire.failure_domain),
            state: if wire.is_leaving {
                TargetState::Leaving { remaining_ms: wire.remaining_ms }
            } else {
                TargetState::Ready
            },
            slots: wire.slots,
            cold_remaining_ms: wire.cold_remaining_ms,
            residency: Residency { models, ..Residency::default() },
        })
    }
}

impl From<ResidentModel> for WireModel {
    fn from(model: ResidentModel) -> WireModel {
        let adapters = model.adapters.iter().map(|name| name.as_str().to_owned()).collect();
        WireModel { name: model.name.as_str().to_owned(), adapters }
    }
}

impl From<WireModel> for ResidentModel {
    fn from(wire: WireModel) -> ResidentModel {
        let mut adapters: Vec<Name> = wire.adapters.into_iter().map(Name::from).collect();
        adapters.sort();
        ResidentModel { name: Name::from(wire.name), adapters }
    }
}
