use std::sync::Arc;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task;
use slog::warn;

use super::report::{Common, take_report};
use super::wire;
use crate::state::State;

/// The pause between two reports of what requests wait for.
const WANT_PAUSE_MS: u64 = 8;
/// The largest datagram.
const DATAGRAM_BYTES_MAX: usize = 65_507;
/// The pause after a failure to receive.
const RECEIVE_PAUSE_MS: u64 = 50;

/// Takes in what the other hosts say until the future is dropped.
pub(crate) async fn receive_reports(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length_bytes, _)) => match wire::decode(&buffer[..length_bytes]) {
                Ok(report) => take_report(&state, &report),
                Err(error) => warn!(state.log, "report_unreadable"; "error" => %error),
            },
            Err(error) => {
                warn!(state.log, "report_unreceived"; "error" => %error);
                task::sleep(Duration::from_millis(RECEIVE_PAUSE_MS)).await;
            }
        }
    }
}

/// Reports to all other hosts until the future is dropped.
pub(crate) async fn send_reports(state: Arc<State>, socket: Arc<UdpSocket>) {
    loop {
        let peers: Vec<_> = state.peers().peers().to_vec();
        let common = Common::gather(&state);
        for peer in &peers {
            let datagram = wire::encode(common.for_peer(&state, peer));
            send(&socket, &datagram, peer.report.peer_address).await;
        }
        let strangers = state.strangers();
        for address in strangers {
            send(&socket, &wire::encode(common.for_stranger()), address).await;
        }
        let pause_ms = state.peers().report_ms();
        task::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Tells the holder of orders at once what requests wait for, and the others
/// what this host as the holder has placed.
pub(crate) async fn send_wants(state: Arc<State>, socket: Arc<UdpSocket>) {
    while state.want_changed.1.recv().await.is_ok() {
        let now = state.now();
        let peers: Vec<_> = state.peers().alive(now).cloned().collect();
        let common = Common::gather(&state);
        let is_holder = state.orders().lease.held(now).is_some();
        for peer in &peers {
            let is_asked = peer.report.lease.is_some() && common.wants_anything();
            let is_told = is_holder && !peer.report.wanted.is_empty();
            if is_asked || is_told {
                let datagram = wire::encode(common.for_peer(&state, peer));
                send(&socket, &datagram, peer.report.peer_address).await;
            }
        }
        task::sleep(Duration::from_millis(WANT_PAUSE_MS)).await;
    }
}

async fn send(socket: &UdpSocket, datagram: &[u8], address: std::net::SocketAddr) {
    // A report that can't be sent is like one that is lost; the next one follows.
    let _ = socket.send_to(datagram, address).await;
}
