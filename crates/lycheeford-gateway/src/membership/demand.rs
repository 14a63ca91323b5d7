use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task;
use lycheeford_policy::ShortKey;

use super::send::send;
use super::table::DueUpdate;
use super::wire::{LoadForecasts, Message, PlacementUpdate, WaitingDemand};
use crate::state::State;

/// The least interval between two demand messages.
const DEMAND_INTERVAL_MS: u64 = 8;

/// The most placements in one message; the reports carry the rest.
const PLACEMENTS_MAX: usize = 500;

/// Reports waiting demand to the lease holder at once and, as the lease holder, sends placements to
/// the hosts that wait.
pub(crate) async fn send_demand(state: Arc<State>, socket: Arc<UdpSocket>) {
    while state.demand_changed.1.recv().await.is_ok() {
        report_demand(&state, &socket).await;
        send_load_forecasts(&state, &socket).await;
        send_placement_updates(&state, &socket).await;
        task::sleep(Duration::from_millis(DEMAND_INTERVAL_MS)).await;
    }
}

/// Reports to the lease holder what requests here wait for, and reports once when none waits any
/// more.
pub(super) async fn report_demand(state: &State, socket: &UdpSocket) {
    let now = state.now();
    let (names, placements_known) = {
        let mut dispatcher = state.dispatcher();
        (dispatcher.wanted(now), dispatcher.placements_known())
    };
    let has_demand = !names.is_empty();
    if !state.has_reported_demand.swap(has_demand, Ordering::AcqRel) && !has_demand {
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
    let demand = WaitingDemand { sender: state.settings.record(), names, placements_known };
    send(state, socket, Message::WaitingDemand(demand), address).await;
}

/// Sends the forecasts of loads to the hosts with waiting requests, if this host holds the lease.
///
/// They are sent to the host that reported the demand, whether or not it is a partner of this one.
async fn send_load_forecasts(state: &State, socket: &UdpSocket) {
    let now = state.now();
    let Some(forecasts) = state.orders().load_forecasts(now) else { return };
    let LoadForecasts { token, held_ms, .. } = forecasts;
    let due = state.membership().due_forecasts(now, &forecasts);
    for due in due {
        state.membership().record_forecasts(&due);
        let forecasts = LoadForecasts { token, held_ms, loads: due.loads };
        send(state, socket, Message::LoadForecasts(forecasts), due.address).await;
    }
}

/// Applies the forecasts of the lease holder.
pub(super) fn apply_load_forecasts(state: &State, forecasts: &LoadForecasts) {
    let now = state.now();
    state.dispatcher().apply_forecasts(now, forecasts);
}

/// Sends the placements to the hosts with waiting requests, if this host holds the lease.
async fn send_placement_updates(state: &State, socket: &UdpSocket) {
    let due = state.membership().due_updates(state.now());
    for due in due {
        if let Some(update) = placement_update(state, &due) {
            send(state, socket, Message::PlacementUpdate(update), due.address).await;
        }
    }
}

/// Returns the update for a host, if this host holds the lease and the update is useful to that
/// host.
///
/// Everything else is left to the reports: sending all placements to all hosts at once would
/// saturate the link of a small host.
fn placement_update(state: &State, due: &DueUpdate) -> Option<PlacementUpdate> {
    let now = state.now();
    let (token, after, up_to, placements, waits) = {
        let orders = state.orders();
        let (token, _, _) = orders.lease.held(now)?;
        let (known_token, known_version) = due.placements_after;
        let after = if known_token == token { known_version } else { 0 };
        let changes = orders.placements.changes_since(after);
        let placements = changes[..changes.len().min(PLACEMENTS_MAX)].to_vec();
        let up_to = placements.last().map_or(after, |last| last.version);
        (token, after, up_to, placements, orders.remaining_waits())
    };
    let waits: Vec<(ShortKey, f64)> = waits
        .into_iter()
        .filter(|(model, _)| due.names.contains(model))
        .map(|(model, wait_ms)| (model, wait_ms as f64))
        .collect();
    let is_useful = due.is_overdue
        || placements.iter().any(|placement| due.names.contains(&placement.name))
        || waits.iter().any(|(model, _)| !due.waits.contains(model));
    if !is_useful {
        return None;
    }
    let sent_waits = waits.iter().map(|(model, _)| *model).collect();
    state.membership().record_update(now, &due.host, (token, up_to), sent_waits);
    Some(PlacementUpdate { token, placements, placements_after: after, waits })
}

/// Records another host's waiting demand; returns the update for it and its address.
pub(super) fn record_demand(
    state: &State,
    demand: WaitingDemand,
) -> Option<(PlacementUpdate, SocketAddr)> {
    let due = state.membership().record_demand(state.now(), demand)?;
    state.wake_planner();
    let update = placement_update(state, &due)?;
    Some((update, due.address))
}

/// Applies a placement update of the lease holder.
pub(super) fn apply_placement_update(state: &State, update: &PlacementUpdate) {
    let now = state.now();
    let waits: Vec<_> =
        update.waits.iter().map(|(model, wait_ms)| (*model, *wait_ms as u64)).collect();
    let mut dispatcher = state.dispatcher();
    let (known_token, known_version) = dispatcher.placements_known();
    let version = if known_token == update.token { known_version } else { 0 };
    if update.placements_after <= version {
        dispatcher.apply_placements(update.token, &update.placements);
    }
    dispatcher.update_waits(now, &waits);
    dispatcher.dispatch(now);
}
