use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task;
use lycheeford_policy::ShortKey;

use super::send::send;
use super::table::Due;
use super::wire::{Message, News, Wants};
use crate::state::State;

/// The least interval between two demand messages.
const WANT_PAUSE_MS: u64 = 8;

/// The most placements in one message; the reports carry the rest.
const PLACEMENTS_MAX: usize = 500;

/// Reports waiting demand to the lease holder at once and, as the lease holder, sends placements to
/// the hosts that wait.
pub(crate) async fn send_wants(state: Arc<State>, socket: Arc<UdpSocket>) {
    while state.want_changed.1.recv().await.is_ok() {
        tell_holder(&state, &socket).await;
        tell_waiting(&state, &socket).await;
        task::sleep(Duration::from_millis(WANT_PAUSE_MS)).await;
    }
}

/// Reports to the lease holder what requests here wait for, and reports once when none waits any
/// more.
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
    send(state, socket, Message::Wants(wants), address).await;
}

/// Sends the placements to the hosts with waiting requests, if this host holds the lease.
async fn tell_waiting(state: &State, socket: &UdpSocket) {
    let due = state.membership().due(state.now());
    for due in due {
        if let Some(news) = news_for(state, &due) {
            send(state, socket, Message::News(news), due.address).await;
        }
    }
}

/// Returns the update for a host, if this host holds the lease and the update is useful to that
/// host.
///
/// Everything else is left to the reports: sending all placements to all hosts at once would
/// saturate the link of a small host.
fn news_for(state: &State, due: &Due) -> Option<News> {
    let now = state.now();
    let (token, after, up_to, placements, waits) = {
        let orders = state.orders();
        let (token, _, _) = orders.lease.held(now)?;
        let (known_token, known_version) = due.placements_after;
        let after = if known_token == token { known_version } else { 0 };
        let changes = orders.placements.changes_since(after);
        let placements = changes[..changes.len().min(PLACEMENTS_MAX)].to_vec();
        let up_to = placements.last().map_or(after, |last| last.version);
        (token, after, up_to, placements, orders.waits())
    };
    let waits: Vec<(ShortKey, f64)> = waits
        .into_iter()
        .filter(|(model, _)| due.names.contains(model))
        .map(|(model, wait_ms)| (model, wait_ms as f64))
        .collect();
    let helps = due.was_left
        || placements.iter().any(|placement| due.names.contains(&placement.name))
        || waits.iter().any(|(model, _)| !due.waits.contains(model));
    if !helps {
        return None;
    }
    let told_waits = waits.iter().map(|(model, _)| *model).collect();
    state.membership().told(now, &due.host, (token, up_to), told_waits);
    Some(News { token, placements, placements_after: after, waits })
}

/// Records another host's waiting demand; returns the update for it and its address.
pub(super) fn take_wants(state: &State, wants: Wants) -> Option<(News, SocketAddr)> {
    let due = state.membership().take_wants(state.now(), wants)?;
    state.wake_planner();
    let news = news_for(state, &due)?;
    Some((news, due.address))
}

/// Applies a placement update of the lease holder.
pub(super) fn take_news(state: &State, news: &News) {
    let now = state.now();
    let waits: Vec<_> =
        news.waits.iter().map(|(model, wait_ms)| (*model, *wait_ms as u64)).collect();
    let mut dispatcher = state.dispatcher();
    let (known_token, known_version) = dispatcher.placements_known();
    let version = if known_token == news.token { known_version } else { 0 };
    if news.placements_after <= version {
        dispatcher.take_placements(news.token, &news.placements);
    }
    dispatcher.take_waits(now, &waits);
    dispatcher.dispatch(now);
}
