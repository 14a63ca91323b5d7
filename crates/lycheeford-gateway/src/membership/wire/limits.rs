use std::net::SocketAddr;

use lycheeford_policy::{PermitAnswer, PermitAsk, PermitRank, ShortKey, TargetLife};
use prost::Oneof;
use snafu::{OptionExt, ensure};

use super::{DecodeError, FieldSnafu};

/// The highest valid limit, in requests per second.
const PER_S_MAX: f64 = 1e9;
/// The longest duration in a message; longer ones are clamped.
const TIME_MS_MAX: u64 = 86_400_000;

/// A request to the host that grants the permits of a rate-limited target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PermitRequest {
    pub(crate) target: TargetLife,
    /// The target's limit that the sender knows, received `age_ms` ago.
    pub(crate) per_s: f64,
    pub(crate) age_ms: u64,
    pub(crate) ask: PermitAsk,
}

/// The reply to a permit request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in super::super) struct PermitReply {
    /// The number of the permit request.
    pub(crate) number: u64,
    pub(crate) answer: PermitAnswer,
}

/// The limit, or its absence, in a target's response to one host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LimitReport {
    pub(crate) target: TargetLife,
    /// The limit in requests per second; absent if the target has none.
    pub(crate) per_s: Option<f64>,
    /// How long before this message the request was sent whose response gave the limit.
    pub(crate) took_ms: u64,
}

/// Whether a target is rate-limited, as reported by the host that grants its permits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in super::super) struct LimitUpdate {
    pub(crate) target: TargetLife,
    /// The limit in requests per second; absent if the target has none.
    pub(crate) per_s: Option<f64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireTargetLife {
    #[prost(fixed32, tag = "1")]
    target: u32,
    #[prost(uint64, tag = "2")]
    life: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WirePermitRequest {
    #[prost(message, optional, tag = "1")]
    target: Option<WireTargetLife>,
    #[prost(double, tag = "2")]
    per_s: f64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(string, tag = "4")]
    asker: String,
    #[prost(uint64, tag = "5")]
    number: u64,
    /// The priority of a request that no other target can serve; absent if another one can.
    #[prost(uint32, optional, tag = "6")]
    priority: Option<u32>,
    #[prost(uint64, tag = "7")]
    patience_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WirePermitReply {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(oneof = "WireAnswer", tags = "2, 3, 4")]
    answer: Option<WireAnswer>,
}

#[derive(Clone, PartialEq, Oneof)]
enum WireAnswer {
    /// The limit in force, in requests per second.
    #[prost(double, tag = "2")]
    Granted(f64),
    #[prost(bool, tag = "3")]
    Unlimited(bool),
    #[prost(message, tag = "4")]
    Denied(WireDenied),
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireDenied {
    #[prost(double, tag = "1")]
    per_s: f64,
    #[prost(uint64, tag = "2")]
    wait_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireLimit {
    #[prost(message, optional, tag = "1")]
    target: Option<WireTargetLife>,
    #[prost(double, optional, tag = "2")]
    per_s: Option<f64>,
    #[prost(uint64, tag = "3")]
    took_ms: u64,
}

impl From<TargetLife> for WireTargetLife {
    fn from(life: TargetLife) -> WireTargetLife {
        let TargetLife { target, life } = life;
        WireTargetLife { target: target.0, life }
    }
}

impl From<WireTargetLife> for TargetLife {
    fn from(wire: WireTargetLife) -> TargetLife {
        TargetLife { target: ShortKey(wire.target), life: wire.life }
    }
}

impl From<PermitRequest> for WirePermitRequest {
    fn from(request: PermitRequest) -> WirePermitRequest {
        let PermitRequest { target, per_s, age_ms, ask } = request;
        let priority = match ask.rank {
            PermitRank::Needed { priority } => Some(u32::from(priority)),
            PermitRank::Spare => None,
        };
        WirePermitRequest {
            target: Some(target.into()),
            per_s,
            age_ms,
            asker: ask.asker.to_string(),
            number: ask.number,
            priority,
            patience_ms: ask.patience_ms,
        }
    }
}

impl TryFrom<WirePermitRequest> for PermitRequest {
    type Error = DecodeError;

    fn try_from(wire: WirePermitRequest) -> Result<PermitRequest, DecodeError> {
        let rank = match wire.priority {
            Some(priority) => {
                let priority = u8::try_from(priority).ok();
                PermitRank::Needed { priority: priority.context(FieldSnafu { field: "priority" })? }
            }
            None => PermitRank::Spare,
        };
        let asker = wire.asker.parse::<SocketAddr>().ok();
        Ok(PermitRequest {
            target: target_from_wire(wire.target)?,
            per_s: per_s_from_wire(wire.per_s)?,
            age_ms: wire.age_ms.min(TIME_MS_MAX),
            ask: PermitAsk {
                asker: asker.context(FieldSnafu { field: "asker" })?,
                number: wire.number,
                rank,
                patience_ms: wire.patience_ms.min(TIME_MS_MAX),
            },
        })
    }
}

impl From<PermitReply> for WirePermitReply {
    fn from(reply: PermitReply) -> WirePermitReply {
        let answer = match reply.answer {
            PermitAnswer::Granted { per_s } => WireAnswer::Granted(per_s),
            PermitAnswer::Unlimited => WireAnswer::Unlimited(true),
            PermitAnswer::Denied { per_s, wait_ms } => {
                WireAnswer::Denied(WireDenied { per_s, wait_ms })
            }
        };
        WirePermitReply { number: reply.number, answer: Some(answer) }
    }
}

impl TryFrom<WirePermitReply> for PermitReply {
    type Error = DecodeError;

    fn try_from(wire: WirePermitReply) -> Result<PermitReply, DecodeError> {
        let answer = match wire.answer.context(FieldSnafu { field: "answer" })? {
            WireAnswer::Granted(per_s) => PermitAnswer::Granted { per_s: per_s_from_wire(per_s)? },
            WireAnswer::Unlimited(_) => PermitAnswer::Unlimited,
            WireAnswer::Denied(WireDenied { per_s, wait_ms }) => PermitAnswer::Denied {
                per_s: per_s_from_wire(per_s)?,
                wait_ms: wait_ms.min(TIME_MS_MAX),
            },
        };
        Ok(PermitReply { number: wire.number, answer })
    }
}

impl From<LimitReport> for WireLimit {
    fn from(observed: LimitReport) -> WireLimit {
        let LimitReport { target, per_s, took_ms } = observed;
        WireLimit { target: Some(target.into()), per_s, took_ms }
    }
}

impl TryFrom<WireLimit> for LimitReport {
    type Error = DecodeError;

    fn try_from(wire: WireLimit) -> Result<LimitReport, DecodeError> {
        Ok(LimitReport {
            target: target_from_wire(wire.target)?,
            per_s: wire.per_s.map(per_s_from_wire).transpose()?,
            took_ms: wire.took_ms.min(TIME_MS_MAX),
        })
    }
}

impl From<LimitUpdate> for WireLimit {
    fn from(update: LimitUpdate) -> WireLimit {
        let LimitUpdate { target, per_s } = update;
        WireLimit { target: Some(target.into()), per_s, took_ms: 0 }
    }
}

impl TryFrom<WireLimit> for LimitUpdate {
    type Error = DecodeError;

    fn try_from(wire: WireLimit) -> Result<LimitUpdate, DecodeError> {
        let LimitReport { target, per_s, .. } = LimitReport::try_from(wire)?;
        Ok(LimitUpdate { target, per_s })
    }
}

fn target_from_wire(target: Option<WireTargetLife>) -> Result<TargetLife, DecodeError> {
    target.map(TargetLife::from).context(FieldSnafu { field: "target" })
}

fn per_s_from_wire(per_s: f64) -> Result<f64, DecodeError> {
    ensure!((0.0..=PER_S_MAX).contains(&per_s), FieldSnafu { field: "per_s" });
    Ok(per_s)
}
