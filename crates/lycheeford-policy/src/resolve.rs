use crate::target_record::{
    MAX_CANCELLED_REPLICAS, MemoryReservation, OrderAction, TargetOrder, TargetRecord,
};
use crate::{GoneProofs, Incarnation, Name};

/// A target's report of its own state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetStatus {
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The greatest fencing number that the target has accepted; trusted only if the target checks
    /// fencing numbers.
    pub highest_fence: u64,
    /// The models and adapters that the target loads, holds or unloads.
    pub loaded: Vec<LoadedName>,
    /// The last orders that reached the target, with their outcomes.
    pub orders: Vec<OrderReport>,
}

/// A model or adapter that occupies memory at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedName {
    /// The name of the model or adapter.
    pub name: Name,
    /// The memory that the model or adapter occupies, in bytes.
    pub memory_bytes: u64,
    /// Whether the model or adapter is loading, ready or unloading.
    pub state: LoadState,
}

/// The lifecycle state of a model or adapter at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// The load is running.
    Loading,
    /// The model or adapter can serve requests.
    Ready,
    /// The unload is running.
    Unloading,
}

/// The report of a target on an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// The id of the order.
    pub order_id: Name,
    /// The state of the order at the target.
    pub outcome: OrderOutcome,
}

/// The state of an order at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order is being carried out.
    Accepted,
    /// The order was refused because its fencing number was too old.
    RefusedStaleFence,
    /// The order was refused because the target did not have enough free memory.
    RefusedMemory,
    /// The order was carried out.
    Done,
    /// The order was started and failed.
    Failed,
}

/// Whether a target refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// The target refuses such orders.
    Checked,
    /// The target ignores fencing numbers.
    Ignored,
}

/// The evidence beyond the status of the target from which orders are resolved.
#[derive(Debug, Clone, Copy)]
pub struct ResolveEvidence<'a> {
    /// The instances that can no longer send, as known before the status was requested.
    pub gone: &'a GoneProofs,
    /// The orders of this daemon whose sending was concluded before the status was requested: they
    /// were answered by the target, abandoned before they were sent, or sent to an earlier
    /// incarnation of the target.
    pub concluded_orders: &'a [Name],
    /// The orders of this daemon whose connection, to the incarnation that the status describes,
    /// had ended without an answer before the status was requested. Such an order may still be in
    /// the buffers of the target.
    pub unanswered_orders: &'a [Name],
    /// Whether the target checks fencing numbers.
    pub fence_check: FenceCheck,
}

/// Returns the record updated by the target's status, or `None` if nothing changes.
///
/// The caller reads the record, then requests the status of the target on a fresh connection, then
/// stores the result on condition of the version read. The status is thus later than everything in
/// the record.
///
/// - An order that the status shows as accepted is resolved once the status shows its effect. A
///   finished, refused or failed order is removed; the memory of a load that did not take effect is
///   freed.
/// - An order that the status does not show stays, unless it can no longer take effect. That is the
///   case if its sender is proven gone or reports that sending is concluded, or if the connection
///   has ended and the target checks fencing numbers and has accepted a greater one. A greater
///   fencing number alone proves nothing about an order that may yet be sent, since a target that
///   restarts has lost its fencing number.
/// - A reservation is freed if it has no load order and the status does not show its model or
///   adapter.
/// - A model or adapter that the target holds without a reservation gets one.
/// - After a restart of the target, the same rules apply to the status of the new incarnation; an
///   order that a running sender may still send stays. A target proven gone counts as a target
///   whose status shows nothing.
///
/// Once faults stop, two rounds of the following free all memory and all replicas that are not in
/// use: resolve every target, cancel and remove replicas whose load no daemon orders any more, and
/// clear the cancellations.
///
/// Freeing a reservation cancels its replica in the same update;
/// [`ReplicaSet::remove`](crate::ReplicaSet::remove) can then remove the replica from its set.
pub fn resolve(
    record: &TargetRecord,
    status: &TargetStatus,
    evidence: &ResolveEvidence<'_>,
) -> Option<TargetRecord> {
    if status.incarnation < record.incarnation {
        return None;
    }
    let mut resolved = record.clone();
    resolved.incarnation = status.incarnation;
    resolved.order = resolved.order.filter(|order| is_unresolved(order, status, evidence));
    resolved.set_aside.retain(|order| is_unresolved(order, status, evidence));
    free_unused_reservations(&mut resolved, status);
    reserve_unrecorded(&mut resolved, status);
    (resolved != *record).then_some(resolved)
}

/// Returns whether an order may still take effect in a way that the status doesn't show.
fn is_unresolved(
    order: &TargetOrder,
    status: &TargetStatus,
    evidence: &ResolveEvidence<'_>,
) -> bool {
    let outcome = status
        .orders
        .iter()
        .find(|report| report.order_id == order.id)
        .map(|report| report.outcome);
    match outcome {
        Some(OrderOutcome::Accepted) => match order.action {
            OrderAction::Load => !is_loaded(status, &order.name),
            OrderAction::Unload => is_loaded(status, &order.name),
        },
        Some(_) => false,
        None => !cannot_take_effect(order, status, evidence),
    }
}

fn cannot_take_effect(
    order: &TargetOrder,
    status: &TargetStatus,
    evidence: &ResolveEvidence<'_>,
) -> bool {
    let is_fenced_off =
        evidence.fence_check == FenceCheck::Checked && status.highest_fence > order.fence;
    evidence.gone.is_gone(&order.sender)
        || evidence.concluded_orders.contains(&order.id)
        || (is_fenced_off && evidence.unanswered_orders.contains(&order.id))
}

fn free_unused_reservations(record: &mut TargetRecord, status: &TargetStatus) {
    let reservations = std::mem::take(&mut record.reservations);
    for held in reservations {
        let has_order = record
            .orders()
            .any(|order| order.name == held.name && order.action == OrderAction::Load);
        let has_room = record.cancelled.len() < MAX_CANCELLED_REPLICAS || held.replica.is_none();
        if has_order || is_loaded(status, &held.name) || !has_room {
            record.reservations.push(held);
        } else if let Some(replica) = held.replica {
            record.add_cancelled(&held.name, replica);
        }
    }
}

fn reserve_unrecorded(record: &mut TargetRecord, status: &TargetStatus) {
    for loaded in &status.loaded {
        if let Err(index) = record.position(&loaded.name) {
            let reservation = MemoryReservation {
                name: loaded.name.clone(),
                memory_bytes: loaded.memory_bytes,
                replica: None,
            };
            record.reservations.insert(index, reservation);
        }
    }
}

fn is_loaded(status: &TargetStatus, name: &Name) -> bool {
    status.loaded.iter().any(|loaded| loaded.name == *name)
}
