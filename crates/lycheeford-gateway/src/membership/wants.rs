use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task;

use super::spread::send;
use super::wire::{Message, News, Wants};
use crate::state::State;

/// The pause between two messages of what requests wait for.
const WANT_PAUSE_MS: u64 = 8;

/// Tells the holder of orders at once what requests wait for, and those who
/// wait what this host as the holder has placed.
pub(crate) async fn send_wants(state: Arc<State>, socket: Arc<UdpSocket>) {
    while state.want_changed.1.recv().await.is_ok() {
        tell_holder(&state, &socket).await;
        tell_waiting(&state, &socket).await;
        task::sleep(Duration::from_millis(WANT_PAUSE_MS)).await;
    }
}

/// Tells the holder of orders what requests wait for here, or once that none does any more.
pub(super) async fn tell_holder(state: &State, socket: &UdpSocket) {
    let now = state.now();
    let (names, placements_known) = {
        let mut dispatcher = state.dispatcher();
        (dispatcher.wanted(now), dispatcher.placements_known())
    };
    let waits = !names.is_empty();
    if !state.told_wants.swap(waits, Ordering::AcqRel) && !waits {
        return;
    }
    if state.orders().lease.held(now).is_some() {
        return;
    }
    let address = {
        let membership = state.membership();
        let holder = membership.lease(now).map(|lease| lease.holder);
        let known = holder.and_then(|holder| membership.hosts.host(&holder).cloned());
        known.map(|known| known.record.peer_address)
    };
    let Some(address) = address else { return };
    let wants = Wants { sender: state.settings.record(), names, placements_known };
    send(socket, Message::Wants(wants), address).await;
}

/// Tells the hosts whose requests wait what has been placed, if this host gives orders.
async fn tell_waiting(state: &State, socket: &UdpSocket) {
    let now = state.now();
    let Some((token, _, _)) = state.orders().lease.held(now) else { return };
    let waiting: Vec<_> = {
        let membership = state.membership();
        let waiting = membership
            .wants(now)
            .map(|(wants, _)| (wants.sender.peer_address, wants.placements_known));
        waiting.collect()
    };
    for (address, (known_token, known_version)) in waiting {
        let news = {
            let orders = state.orders();
            let version = if known_token == token { known_version } else { 0 };
            let placements = orders.placements.changes_since(version).to_vec();
            let waits = orders.waits();
            let waits = waits.into_iter().map(|(model, wait_ms)| (model, wait_ms as f64));
            News { token, placements, waits: waits.collect() }
        };
        send(socket, Message::News(news), address).await;
    }
}

/// Takes in what another host's requests wait for.
pub(super) fn take_wants(state: &State, wants: Wants) {
    let waits = !wants.names.is_empty();
    state.membership().take_wants(state.now(), wants);
    if waits {
        state.wake_planner();
        // What was decided before may already help.
        state.wake_wants();
    }
}

/// Takes in what the holder of orders has placed.
pub(super) fn take_news(state: &State, news: &News) {
    let now = state.now();
    let waits: Vec<_> =
        news.waits.iter().map(|(model, wait_ms)| (*model, *wait_ms as u64)).collect();
    let mut dispatcher = state.dispatcher();
    dispatcher.take_placements(news.token, &news.placements);
    dispatcher.take_waits(now, &waits);
    dispatcher.dispatch(now);
}
