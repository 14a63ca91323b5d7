use lycheeford_policy::{
    CancelledReplica, Incarnation, MAX_CANCELLED_REPLICAS, MAX_ORDERS_SET_ASIDE, MemoryReservation,
    Name, OrderAction, ReplicaRef, TargetOrder, TargetRecord,
};
use serde::{Deserialize, Serialize};

use super::{StoredError, StoredInstance, check_sorted};

/// The stored form of a [`TargetRecord`]; the object is named after the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredTargetRecord {
    incarnation: u64,
    fence: u64,
    reservations: Vec<StoredReservation>,
    order: Option<StoredOrder>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    set_aside: Vec<StoredOrder>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    cancelled: Vec<StoredCancelledReplica>,
}

/// The stored form of a [`MemoryReservation`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredReservation {
    name: Name,
    memory_bytes: u64,
    replica: Option<StoredReplicaRef>,
}

/// The stored form of a [`ReplicaRef`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredReplicaRef {
    id: u64,
    decider: StoredInstance,
}

/// The stored form of a [`TargetOrder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredOrder {
    id: Name,
    fence: u64,
    sender: StoredInstance,
    action: StoredAction,
    name: Name,
}

/// The stored form of an [`OrderAction`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredAction {
    /// Load the model or adapter.
    Load,
    /// Unload the model or adapter.
    Unload,
}

/// The stored form of a [`CancelledReplica`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredCancelledReplica {
    name: Name,
    replica: StoredReplicaRef,
}

impl From<&TargetRecord> for StoredTargetRecord {
    fn from(record: &TargetRecord) -> StoredTargetRecord {
        StoredTargetRecord {
            incarnation: record.incarnation.0,
            fence: record.fence,
            reservations: record.reservations.iter().map(StoredReservation::from).collect(),
            order: record.order.as_ref().map(StoredOrder::from),
            set_aside: record.set_aside.iter().map(StoredOrder::from).collect(),
            cancelled: record.cancelled.iter().map(StoredCancelledReplica::from).collect(),
        }
    }
}

impl TryFrom<StoredTargetRecord> for TargetRecord {
    type Error = StoredError;

    fn try_from(stored: StoredTargetRecord) -> Result<TargetRecord, StoredError> {
        check_sorted(
            "reservations.name",
            stored.reservations.iter().map(|reservation| &reservation.name),
        )?;
        check_bound("set_aside", stored.set_aside.len(), MAX_ORDERS_SET_ASIDE)?;
        check_bound("cancelled", stored.cancelled.len(), MAX_CANCELLED_REPLICAS)?;
        let mut orders = stored.set_aside.iter().chain(&stored.order);
        if orders.any(|order| order.fence > stored.fence) {
            return Err(StoredError::unknown_id("order.fence"));
        }
        Ok(TargetRecord {
            incarnation: Incarnation(stored.incarnation),
            fence: stored.fence,
            reservations: stored.reservations.into_iter().map(MemoryReservation::from).collect(),
            order: stored.order.map(TargetOrder::from),
            set_aside: stored.set_aside.into_iter().map(TargetOrder::from).collect(),
            cancelled: stored.cancelled.into_iter().map(CancelledReplica::from).collect(),
        })
    }
}

fn check_bound(field: &'static str, len: usize, bound: usize) -> Result<(), StoredError> {
    if len > bound {
        return Err(StoredError::above_bound(field, bound as u64));
    }
    Ok(())
}

impl From<&MemoryReservation> for StoredReservation {
    fn from(reservation: &MemoryReservation) -> StoredReservation {
        StoredReservation {
            name: reservation.name.clone(),
            memory_bytes: reservation.memory_bytes,
            replica: reservation.replica.as_ref().map(StoredReplicaRef::from),
        }
    }
}

impl From<StoredReservation> for MemoryReservation {
    fn from(stored: StoredReservation) -> MemoryReservation {
        MemoryReservation {
            name: stored.name,
            memory_bytes: stored.memory_bytes,
            replica: stored.replica.map(ReplicaRef::from),
        }
    }
}

impl From<&ReplicaRef> for StoredReplicaRef {
    fn from(replica: &ReplicaRef) -> StoredReplicaRef {
        StoredReplicaRef { id: replica.id, decider: (&replica.decider).into() }
    }
}

impl From<StoredReplicaRef> for ReplicaRef {
    fn from(stored: StoredReplicaRef) -> ReplicaRef {
        ReplicaRef { id: stored.id, decider: stored.decider.into() }
    }
}

impl From<&TargetOrder> for StoredOrder {
    fn from(order: &TargetOrder) -> StoredOrder {
        StoredOrder {
            id: order.id.clone(),
            fence: order.fence,
            sender: (&order.sender).into(),
            action: order.action.into(),
            name: order.name.clone(),
        }
    }
}

impl From<StoredOrder> for TargetOrder {
    fn from(stored: StoredOrder) -> TargetOrder {
        TargetOrder {
            id: stored.id,
            fence: stored.fence,
            sender: stored.sender.into(),
            action: stored.action.into(),
            name: stored.name,
        }
    }
}

impl From<OrderAction> for StoredAction {
    fn from(action: OrderAction) -> StoredAction {
        match action {
            OrderAction::Load => StoredAction::Load,
            OrderAction::Unload => StoredAction::Unload,
        }
    }
}

impl From<StoredAction> for OrderAction {
    fn from(stored: StoredAction) -> OrderAction {
        match stored {
            StoredAction::Load => OrderAction::Load,
            StoredAction::Unload => OrderAction::Unload,
        }
    }
}

impl From<&CancelledReplica> for StoredCancelledReplica {
    fn from(cancelled: &CancelledReplica) -> StoredCancelledReplica {
        StoredCancelledReplica {
            name: cancelled.name.clone(),
            replica: (&cancelled.replica).into(),
        }
    }
}

impl From<StoredCancelledReplica> for CancelledReplica {
    fn from(stored: StoredCancelledReplica) -> CancelledReplica {
        CancelledReplica { name: stored.name, replica: stored.replica.into() }
    }
}
