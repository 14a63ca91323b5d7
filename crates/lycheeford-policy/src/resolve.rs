use crate::target_record::{
    MAX_CANCELLED_REPLICAS, MemoryReservation, OrderAction, TargetOrder, TargetRecord,
};
use crate::{GoneProofs, Incarnation, Name};

/// What a target says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetStatus {
    /// The life of the target.
    pub incarnation: Incarnation,
    /// The greatest fencing number that it took; trusted only where it checks them.
    pub highest_fence: u64,
    /// What it holds, loads or unloads.
    pub loaded: Vec<LoadedName>,
    /// The last orders that reached it.
    pub orders: Vec<OrderReport>,
}

/// A model or adapter that takes memory at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedName {
    /// The model or adapter.
    pub name: Name,
    /// The memory that it takes.
    pub memory_bytes: u64,
    /// How far it is.
    pub state: LoadState,
}

/// How far a load or unload is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// It loads.
    Loading,
    /// It serves.
    Ready,
    /// It unloads.
    Unloading,
}

/// What a target says of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// The order.
    pub order_id: Name,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// What became of an order at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It runs.
    Accepted,
    /// Its fencing number was old.
    RefusedStaleFence,
    /// The memory wasn't there.
    RefusedMemory,
    /// It was carried out.
    Done,
    /// It ran and failed.
    Failed,
}

/// Whether a target refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// It refuses them.
    Checked,
    /// It ignores the number.
    Ignored,
}

/// What is known beside the target's status when orders are resolved.
#[derive(Debug, Clone, Copy)]
pub struct ResolveEvidence<'a> {
    /// The instances that can send no more, as known before the status was asked for.
    pub gone: &'a GoneProofs,
    /// The own orders that were over before the status was asked for: answered
    /// by the target, given up unsent, or sent to an earlier life of it.
    pub sending_over: &'a [Name],
    /// The own orders whose connection had ended unanswered by then, to the
    /// life that the status is of: they may still lie in its buffers.
    pub sending_ended: &'a [Name],
    /// Whether the target checks fencing numbers.
    pub fence_check: FenceCheck,
}

/// Returns the record as the target's status settles it, or `None` if nothing changes.
///
/// The caller reads the record, then asks the target for its status on a fresh
/// connection, then stores the result on condition of the version read: so the
/// status is later than everything in the record.
///
/// - An order that the status shows as taken is settled, a refused or failed
///   one is dropped and its memory freed.
/// - One that the status doesn't show stays, unless it can take effect no
///   more: its sender is proven gone or says that sending is over, or sending
///   has ended and the target checks fences and has taken a greater one. A
///   greater fence alone proves nothing about an order that may yet be sent: a
///   target that restarts has forgotten it.
/// - A reservation without an order that the status doesn't show is freed.
/// - What the target holds without a reservation gets one.
/// - After a restart of the target the same rules hold for what its new life
///   shows; an order that a living sender may still send stays. A target proven
///   gone counts as one that shows nothing.
///
/// Once faults stop, two rounds of resolving every target, cancelling and
/// removing what nobody orders any more and clearing the cancellations free
/// every byte and replica that isn't in use.
///
/// A freed reservation cancels its replica in the same update, after which
/// [`ReplicaSet::remove`](crate::ReplicaSet::remove) takes it out of its set.
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
    resolved.order = resolved.order.filter(|order| is_open(order, status, evidence));
    resolved.set_aside.retain(|order| is_open(order, status, evidence));
    free_unheld(&mut resolved, status);
    adopt_unreserved(&mut resolved, status);
    (resolved != *record).then_some(resolved)
}

/// Tells whether an order may still take effect in a way that the status doesn't show.
fn is_open(order: &TargetOrder, status: &TargetStatus, evidence: &ResolveEvidence<'_>) -> bool {
    let outcome = status
        .orders
        .iter()
        .find(|report| report.order_id == order.id)
        .map(|report| report.outcome);
    match outcome {
        Some(OrderOutcome::Accepted) => match order.action {
            OrderAction::Load => !holds(status, &order.name),
            OrderAction::Unload => holds(status, &order.name),
        },
        Some(_) => false,
        None => !can_send_no_more(order, status, evidence),
    }
}

fn can_send_no_more(
    order: &TargetOrder,
    status: &TargetStatus,
    evidence: &ResolveEvidence<'_>,
) -> bool {
    let is_fenced_off =
        evidence.fence_check == FenceCheck::Checked && status.highest_fence > order.fence;
    evidence.gone.is_gone(&order.sender)
        || evidence.sending_over.contains(&order.id)
        || (is_fenced_off && evidence.sending_ended.contains(&order.id))
}

fn free_unheld(record: &mut TargetRecord, status: &TargetStatus) {
    let reservations = std::mem::take(&mut record.reservations);
    for held in reservations {
        let has_order = record
            .orders()
            .any(|order| order.name == held.name && order.action == OrderAction::Load);
        let has_room = record.cancelled.len() < MAX_CANCELLED_REPLICAS || held.replica.is_none();
        if has_order || holds(status, &held.name) || !has_room {
            record.reservations.push(held);
        } else if let Some(replica) = held.replica {
            record.put_cancelled(&held.name, replica);
        }
    }
}

fn adopt_unreserved(record: &mut TargetRecord, status: &TargetStatus) {
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

fn holds(status: &TargetStatus, name: &Name) -> bool {
    status.loaded.iter().any(|loaded| loaded.name == *name)
}
