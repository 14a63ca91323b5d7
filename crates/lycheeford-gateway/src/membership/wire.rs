//! The form in which reports travel between hosts.
//!
//! One datagram holds one report; nothing in it must last, so that a lost one
//! costs only the time until the next.

use std::net::SocketAddr;

use lycheeford_policy::{
    Name, PeerReport, PeerState, ReportedLease, ReportedPlacement, RunningAt, ShortKey, TimeMs,
    WantedName,
};
use prost::Message;
use snafu::{OptionExt, ResultExt, Snafu};

/// Why a datagram isn't a report.
#[derive(Debug, Snafu)]
pub(super) enum DecodeError {
    #[snafu(display("the datagram isn't a report: {source}; check who sends to this port"))]
    Frame { source: prost::DecodeError },
    #[snafu(display("the field {field} is missing or wrong; run one version on all hosts"))]
    Field { field: &'static str },
}

#[derive(Clone, PartialEq, Message)]
struct WireReport {
    #[prost(string, tag = "1")]
    host: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sent_at_ms: u64,
    #[prost(uint64, optional, tag = "4")]
    echo_ms: Option<u64>,
    #[prost(string, tag = "5")]
    peer_address: String,
    #[prost(string, tag = "6")]
    caller_address: String,
    #[prost(string, tag = "7")]
    failure_domain: String,
    #[prost(uint32, tag = "8")]
    state: u32,
    #[prost(uint64, tag = "9")]
    revision: u64,
    #[prost(uint64, optional, tag = "10")]
    confirmed_age_ms: Option<u64>,
    #[prost(message, repeated, tag = "11")]
    running: Vec<WireRunning>,
    #[prost(message, repeated, tag = "12")]
    spent: Vec<WireSpent>,
    #[prost(message, repeated, tag = "13")]
    asked: Vec<WireAsked>,
    #[prost(message, repeated, tag = "14")]
    wanted: Vec<WireWanted>,
    #[prost(message, repeated, tag = "15")]
    suspects: Vec<WireSuspect>,
    #[prost(message, optional, tag = "16")]
    lease: Option<WireLease>,
    #[prost(message, repeated, tag = "17")]
    placements: Vec<WirePlacement>,
    #[prost(uint64, tag = "18")]
    placements_token: u64,
    #[prost(uint64, tag = "19")]
    placements_version: u64,
    #[prost(message, repeated, tag = "20")]
    waits: Vec<WireAsked>,
    #[prost(message, repeated, tag = "21")]
    levels: Vec<WireSpent>,
    #[prost(message, repeated, tag = "22")]
    heard: Vec<WireSpent>,
}

#[derive(Clone, PartialEq, Message)]
struct WireRunning {
    #[prost(fixed32, tag = "1")]
    target: u32,
    #[prost(fixed32, tag = "2")]
    model: u32,
    #[prost(uint32, tag = "3")]
    running: u32,
    #[prost(uint64, tag = "4")]
    tokens: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireSpent {
    #[prost(fixed32, tag = "1")]
    customer: u32,
    #[prost(double, tag = "2")]
    units: f64,
}

#[derive(Clone, PartialEq, Message)]
struct WireAsked {
    #[prost(fixed32, tag = "1")]
    name: u32,
    #[prost(uint64, tag = "2")]
    count: u64,
}

#[derive(Clone, PartialEq, Message)]
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
}

#[derive(Clone, PartialEq, Message)]
struct WireSuspect {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(string, repeated, tag = "2")]
    crashes: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
struct WireLease {
    #[prost(uint64, tag = "1")]
    token: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    renewed_age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WirePlacement {
    #[prost(fixed32, tag = "1")]
    target: u32,
    #[prost(fixed32, tag = "2")]
    name: u32,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(bool, tag = "4")]
    is_ready: bool,
}

/// Returns the datagram that tells a report.
pub(super) fn encode(report: PeerReport) -> Vec<u8> {
    WireReport::from(report).encode_to_vec()
}

/// Reads a datagram.
///
/// # Errors
///
/// Fails if it isn't a report.
pub(super) fn decode(datagram: &[u8]) -> Result<PeerReport, DecodeError> {
    PeerReport::try_from(WireReport::decode(datagram).context(FrameSnafu)?)
}

impl From<PeerReport> for WireReport {
    fn from(report: PeerReport) -> WireReport {
        WireReport {
            host: report.host.as_str().to_owned(),
            incarnation: report.incarnation,
            sent_at_ms: report.sent_at.as_ms(),
            echo_ms: report.echo.map(TimeMs::as_ms),
            peer_address: report.peer_address.to_string(),
            caller_address: report.caller_address.to_string(),
            failure_domain: report.failure_domain.as_str().to_owned(),
            state: match report.state {
                PeerState::Starting => 0,
                PeerState::Ready => 1,
                PeerState::Draining => 2,
            },
            revision: report.revision,
            confirmed_age_ms: report.confirmed_age_ms,
            running: report.running.into_iter().map(WireRunning::from).collect(),
            spent: report.spent.into_iter().map(WireSpent::from).collect(),
            levels: report.levels.into_iter().map(WireSpent::from).collect(),
            heard: report.heard.into_iter().map(WireSpent::from).collect(),
            asked: report.asked.into_iter().map(WireAsked::from).collect(),
            waits: report.waits.into_iter().map(WireAsked::from).collect(),
            wanted: report.wanted.into_iter().map(WireWanted::from).collect(),
            suspects: report
                .suspects
                .into_iter()
                .map(|(fingerprint, crashes)| WireSuspect {
                    fingerprint,
                    crashes: crashes.iter().map(|life| life.as_str().to_owned()).collect(),
                })
                .collect(),
            lease: report.lease.map(|lease| WireLease {
                token: lease.token,
                revision: lease.revision,
                renewed_age_ms: lease.renewed_age_ms,
            }),
            placements: report.placements.into_iter().map(WirePlacement::from).collect(),
            placements_token: report.placements_known.0,
            placements_version: report.placements_known.1,
        }
    }
}

impl TryFrom<WireReport> for PeerReport {
    type Error = DecodeError;

    fn try_from(wire: WireReport) -> Result<PeerReport, DecodeError> {
        let address = |text: &str, field: &'static str| {
            text.parse::<SocketAddr>().ok().context(FieldSnafu { field })
        };
        Ok(PeerReport {
            peer_address: address(&wire.peer_address, "peer_address")?,
            caller_address: address(&wire.caller_address, "caller_address")?,
            host: Some(Name::from(wire.host))
                .filter(|host| !host.is_empty())
                .context(FieldSnafu { field: "host" })?,
            incarnation: wire.incarnation,
            sent_at: TimeMs::from_ms(wire.sent_at_ms),
            echo: wire.echo_ms.map(TimeMs::from_ms),
            failure_domain: Name::from(wire.failure_domain),
            state: match wire.state {
                0 => PeerState::Starting,
                1 => PeerState::Ready,
                2 => PeerState::Draining,
                _ => return FieldSnafu { field: "state" }.fail(),
            },
            revision: wire.revision,
            confirmed_age_ms: wire.confirmed_age_ms,
            running: wire.running.into_iter().map(RunningAt::from).collect(),
            spent: wire.spent.into_iter().map(<(ShortKey, f64)>::from).collect(),
            levels: wire.levels.into_iter().map(<(ShortKey, f64)>::from).collect(),
            heard: wire.heard.into_iter().map(<(ShortKey, f64)>::from).collect(),
            asked: wire.asked.into_iter().map(<(ShortKey, u64)>::from).collect(),
            waits: wire.waits.into_iter().map(<(ShortKey, u64)>::from).collect(),
            wanted: wire.wanted.into_iter().map(WantedName::from).collect(),
            suspects: wire
                .suspects
                .into_iter()
                .map(|suspect| {
                    (suspect.fingerprint, suspect.crashes.into_iter().map(Name::from).collect())
                })
                .collect(),
            lease: wire.lease.map(|lease| ReportedLease {
                token: lease.token,
                revision: lease.revision,
                renewed_age_ms: lease.renewed_age_ms,
            }),
            placements: wire.placements.into_iter().map(ReportedPlacement::from).collect(),
            placements_known: (wire.placements_token, wire.placements_version),
        })
    }
}

impl From<RunningAt> for WireRunning {
    fn from(at: RunningAt) -> WireRunning {
        let RunningAt { target, model, running, tokens } = at;
        WireRunning { target: target.0, model: model.0, running, tokens }
    }
}

impl From<WireRunning> for RunningAt {
    fn from(wire: WireRunning) -> RunningAt {
        RunningAt {
            target: ShortKey(wire.target),
            model: ShortKey(wire.model),
            running: wire.running,
            tokens: wire.tokens,
        }
    }
}

impl From<(ShortKey, f64)> for WireSpent {
    fn from((customer, units): (ShortKey, f64)) -> WireSpent {
        WireSpent { customer: customer.0, units }
    }
}

impl From<WireSpent> for (ShortKey, f64) {
    fn from(wire: WireSpent) -> (ShortKey, f64) {
        (ShortKey(wire.customer), wire.units)
    }
}

impl From<(ShortKey, u64)> for WireAsked {
    fn from((name, count): (ShortKey, u64)) -> WireAsked {
        WireAsked { name: name.0, count }
    }
}

impl From<WireAsked> for (ShortKey, u64) {
    fn from(wire: WireAsked) -> (ShortKey, u64) {
        (ShortKey(wire.name), wire.count)
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
        }
    }
}

impl From<WireWanted> for WantedName {
    fn from(wire: WireWanted) -> WantedName {
        WantedName {
            service: Name::from(wire.service),
            model: Name::from(wire.model),
            adapter: wire.adapter.map(Name::from),
            waiting: wire.waiting,
            oldest_ms: wire.oldest_ms,
            priority: u8::try_from(wire.priority).unwrap_or(u8::MAX),
        }
    }
}

impl From<ReportedPlacement> for WirePlacement {
    fn from(placement: ReportedPlacement) -> WirePlacement {
        WirePlacement {
            target: placement.target.0,
            name: placement.name.0,
            version: placement.version,
            is_ready: placement.is_ready,
        }
    }
}

impl From<WirePlacement> for ReportedPlacement {
    fn from(wire: WirePlacement) -> ReportedPlacement {
        ReportedPlacement {
            target: ShortKey(wire.target),
            name: ShortKey(wire.name),
            version: wire.version,
            is_ready: wire.is_ready,
        }
    }
}
