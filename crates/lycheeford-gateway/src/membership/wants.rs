use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task;

use super::send::send;
use super::wire::{Message, News, Wants};
use crate::state::State;

/// The pause between two messages of what requests wait for.
const WANT_PAUSE_MS: u64 = 8;

/// Placements that one message tells at most; the reports tell the rest.
const PLACEMENTS_MAX: usize = 500;

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
    let wants_some = !names.is_empty();
    if !state.told_wants.swap(wants_some, Ordering::AcqRel) && !wants_some {
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
    let askers: Vec<_> = {
        let mut membership = state.membership();
        membership.askers(now).map(|asker| asker.told(now)).collect()
    };
    for (address, known) in askers {
        let Some(news) = news_for(state, known) else { return };
        send(socket, Message::News(news), address).await;
    }
}

/// Returns what a host that knows the placements up to `known` is told, if this host gives orders.
fn news_for(state: &State, known: (u64, u64)) -> Option<News> {
    let orders = state.orders();
    let (token, _, _) = orders.lease.held(state.now())?;
    let version = if known.0 == token { known.1 } else { 0 };
    let changes = orders.placements.changes_since(version);
    let placements = changes[..changes.len().min(PLACEMENTS_MAX)].to_vec();
    let waits = orders.waits().into_iter().map(|(model, wait_ms)| (model, wait_ms as f64));
    Some(News { token, placements, waits: waits.collect() })
}

/// Takes in what another host's requests wait for; returns what it is told, and where.
pub(super) fn take_wants(state: &State, wants: Wants) -> Option<(News, SocketAddr)> {
    let now = state.now();
    let wants_some = !wants.names.is_empty();
    let known = wants.placements_known;
    let address = wants.sender.peer_address;
    let is_due = state.membership().take_wants(now, wants);
    if !wants_some {
        return None;
    }
    state.wake_planner();
    let news = news_for(state, known)?;
    // What was decided before may already help.
    (is_due || !news.placements.is_empty()).then_some((news, address))
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
