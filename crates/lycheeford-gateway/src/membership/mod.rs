//! Communication with the other hosts.
//!
//! Each host reports to its partners several times a second what it, and the hosts it relays for,
//! run and spend (`report`, `exchange`). The partners follow from the hosts that are alive
//! ([`lycheeford_policy::ReportLayout`]). Permits of rate-limited targets are requested from the
//! host that grants them (`limits`). The models that requests wait for are reported directly to the
//! lease holder (`demand`). The software versions that began streams are told to a few hosts, which
//! are asked when a caller resumes a stream elsewhere (`streams`). Hosts discover each other by a
//! list in the store (`hosts`), which also keeps the requests and prompt parts that crash targets
//! (`stored_suspects`), the software versions that serve (`stored_versions`) and, while a service
//! has several, those that began streams (`stored_streams`).

mod demand;
mod exchange;
mod hosts;
mod limits;
mod recall;
mod report;
mod send;
mod stored_streams;
mod stored_suspects;
mod stored_versions;
mod streams;
mod table;
#[cfg(test)]
mod tests;
mod unread;
mod wire;

pub(crate) use self::demand::send_demand;
pub(crate) use self::exchange::{receive, send_reports};
pub(crate) use self::hosts::{deregister_host, maintain_hosts};
pub(crate) use self::limits::{LimitEvent, grant_permits};
pub(crate) use self::recall::recall_versions;
pub(crate) use self::report::apply_own_placements;
pub(crate) use self::send::{Unsent, log_unsent};
pub(crate) use self::streams::{
    StreamEvent, Streams, keeper_addresses, record_serving_versions, record_stream,
    send_stream_events, track_versions,
};
pub(crate) use self::table::Membership;
pub(crate) use self::unread::log_unread;
pub(crate) use self::wire::{
    LimitReport, LoadForecasts, PermitRequest, RemainingLoad, StreamQuery,
};
