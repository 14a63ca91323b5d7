use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task;
use lycheeford_policy::{Name, PartnerRole, ReportPace};
use slog::warn;

use super::demand::{apply_load_forecasts, apply_placement_update, record_demand, report_demand};
use super::limits::{LimitEvent, handle_permit_reply};
use super::report::{SharedReport, apply_report};
use super::send::send;
use super::streams::{apply_stream_update, handle_stream_reply, reply_to_query};
use super::unread::{count_unread, count_unread_fields};
use super::wire::{self, Decoded, Message};
use crate::request::update_limit;
use crate::state::State;

/// The largest UDP payload over IPv4.
const DATAGRAM_BYTES_MAX: usize = 65_507;
/// The pause after a receive error.
const RECEIVE_PAUSE_MS: u64 = 50;
/// The most hosts that get a report in one round without being known to be alive.
const UNKNOWN_HOSTS_MAX: usize = 16;
/// The number of report intervals after which a silent visitor gets no more reports. A visitor is a
/// host that reports to this one although it isn't a partner.
const VISIT_PAUSES: u64 = 2;

/// Receives and handles the messages of other hosts until the future is dropped.
pub(crate) async fn receive(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length_bytes, address)) => match wire::decode(&buffer[..length_bytes]) {
                Ok(Decoded { message, unread_fields }) => {
                    count_unread_fields(&state, address, &unread_fields);
                    apply(&state, &socket, message).await;
                }
                Err(error) => count_unread(&state, address, &error),
            },
            Err(error) => {
                warn!(state.log, "report_unreceived"; "error" => %error);
                task::sleep(Duration::from_millis(RECEIVE_PAUSE_MS)).await;
            }
        }
    }
}

async fn apply(state: &State, socket: &UdpSocket, message: Message) {
    match message {
        Message::Report(report) => apply_report(state, &report),
        Message::WaitingDemand(demand) => {
            if let Some((update, address)) = record_demand(state, demand) {
                send(state, socket, Message::PlacementUpdate(update), address).await;
            }
        }
        Message::PlacementUpdate(update) => apply_placement_update(state, &update),
        Message::LoadForecasts(forecasts) => apply_load_forecasts(state, &forecasts),
        Message::PermitRequest(request) => state.queue_event(LimitEvent::PeerRequest(request)),
        Message::PermitReply(reply) => handle_permit_reply(state, &reply),
        Message::LimitReport(limit) => state.queue_event(LimitEvent::PeerLimit(limit)),
        Message::LimitUpdate(limit) => update_limit(state, limit.target, limit.per_s),
        Message::StreamUpdate(update) => apply_stream_update(state, &update),
        Message::StreamQuery(query) => {
            let reply = reply_to_query(state, &query);
            send(state, socket, Message::StreamReply(reply), query.sender).await;
        }
        Message::StreamReply(reply) => handle_stream_reply(state, &reply),
    }
}

/// Sends reports to this host's partners, to visitors, and to some of the listed hosts that aren't
/// known to be alive, until the future is dropped.
pub(crate) async fn send_reports(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut round = 0;
    let mut pace = ReportPace::default();
    loop {
        let started_at = state.now();
        let partners = update_layout(&state);
        let mut shared = SharedReport::gather(&state, round);
        // Each round starts at another partner, so that an overloaded link doesn't always drop the
        // same partner's report.
        let first = round % partners.len().max(1);
        for (host, role, address) in partners[first..].iter().chain(&partners[..first]) {
            let report = shared.for_host(&state, host, *role);
            let sent_bytes =
                send(&state, &socket, Message::Report(Box::new(report)), *address).await;
            if let Some(pause_ms) = pace.sent(sent_bytes) {
                task::sleep(Duration::from_millis(pause_ms)).await;
                shared = SharedReport::gather(&state, round);
            }
        }
        let unknown_hosts = state.membership().hosts.silent_addresses(state.now());
        for index in 0..unknown_hosts.len().min(UNKNOWN_HOSTS_MAX) {
            let address = unknown_hosts[(round * UNKNOWN_HOSTS_MAX + index) % unknown_hosts.len()];
            let report = Message::Report(Box::new(shared.for_unknown_host()));
            if let Some(pause_ms) = pace.sent(send(&state, &socket, report, address).await) {
                task::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        round += 1;
        report_demand(&state, &socket).await;
        let report_ms = state.membership().hosts.report_ms();
        let pause_ms = report_ms.saturating_sub(state.now().since_ms(started_at)).max(1);
        task::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Computes the current partners and visitors, and drops the counts of running requests of hosts
/// that are silent or no longer partners.
fn update_layout(state: &State) -> Vec<(Name, Option<PartnerRole>, SocketAddr)> {
    let now = state.now();
    let (partners, lapsed, place) = {
        let mut membership = state.membership();
        let layout = membership.hosts.layout(now);
        membership.peers.set_layout(layout);
        let peers = &membership.peers;
        let partners = peers.layout().partners().iter().map(|(host, role)| (host, Some(*role)));
        let unpaired_hosts = peers.unpaired_hosts(now, VISIT_PAUSES * membership.hosts.report_ms());
        let address = |(host, role): (&Name, Option<PartnerRole>)| {
            let record = &membership.hosts.host(host)?.record;
            Some((host.clone(), role, record.peer_address))
        };
        let partners =
            partners.chain(unpaired_hosts.map(|host| (host, None))).filter_map(address).collect();
        let lapsed: Vec<_> = membership.peers.lapsed(now).cloned().collect();
        (partners, lapsed, membership.hosts.place())
    };
    let mut dispatcher = state.dispatcher();
    dispatcher.targets.set_host_place(place);
    for host in lapsed {
        dispatcher.targets.runs_elsewhere(&host, &[]);
    }
    partners
}
