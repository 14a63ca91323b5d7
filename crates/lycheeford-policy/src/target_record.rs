use crate::replica::{Replica, ReplicaSet};
use crate::{Incarnation, Instance, Name};

/// How long a daemon sees the same order unresolved before it sets the order aside.
///
/// An order that is set aside keeps its reserved memory and its replica, but the target accepts
/// other orders meanwhile. Each daemon measures this time by its own clock, since only the waiting
/// time of other orders depends on it.
pub const ORDER_SET_ASIDE_MS: u64 = 30_000;

/// The largest number of orders set aside at one target.
pub const MAX_ORDERS_SET_ASIDE: usize = 16;

/// The largest number of cancelled replicas in the record of one target.
pub const MAX_CANCELLED_REPLICAS: usize = 64;

/// The reservations and orders of one target, stored as one object.
///
/// Memory is reserved here before a load is sent. It is freed when the target's own status shows
/// that the load did not take effect and can no longer do so, or that it was undone. See
/// [`resolve`](crate::resolve).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetRecord {
    /// The incarnation of the target that the record describes.
    pub incarnation: Incarnation,
    /// The last fencing number assigned to an order.
    pub fence: u64,
    /// The reservations, sorted by name.
    pub reservations: Vec<MemoryReservation>,
    /// The unresolved order for which further orders have to wait.
    pub order: Option<TargetOrder>,
    /// Unresolved orders for which further orders no longer wait.
    pub set_aside: Vec<TargetOrder>,
    /// Replicas whose load must not be recorded here; see
    /// [`clear_cancelled`](Self::clear_cancelled) for how long each entry is kept.
    pub cancelled: Vec<CancelledReplica>,
}

/// Memory reserved for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryReservation {
    /// The name of the model or adapter.
    pub name: Name,
    /// The reserved memory in bytes.
    pub memory_bytes: u64,
    /// The decided replica; `None` if the target loaded the model or adapter without an order
    /// recorded here.
    pub replica: Option<ReplicaRef>,
}

/// The replica that a reservation is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRef {
    /// The id of the replica within its set.
    pub id: u64,
    /// The daemon that decided the replica.
    pub decider: Instance,
}

/// An order that is recorded and may have been sent.
///
/// The instance that recorded the order sends it at most once; a retry is a new order with a new
/// id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetOrder {
    /// The id, unique over all orders of all daemons.
    pub id: Name,
    /// The fencing number, which increases with each order to the target.
    pub fence: u64,
    /// The instance that recorded the order; no other instance may send it.
    pub sender: Instance,
    /// Whether the order loads or unloads.
    pub action: OrderAction,
    /// The name of the model or adapter.
    pub name: Name,
}

/// The action that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Load the model or adapter.
    Load,
    /// Unload the model or adapter.
    Unload,
}

/// A replica whose load must not be recorded any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelledReplica {
    /// The name of the model or adapter.
    pub name: Name,
    /// The replica and the daemon that decided it.
    pub replica: ReplicaRef,
}

/// The reason why an order can't be recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordFault {
    /// Another order is unresolved.
    OrderPending,
    /// The target does not have enough free memory.
    NoMemory,
    /// The model or adapter already has a reservation.
    AlreadyReserved,
    /// The model or adapter has no reservation, or an order for it is unresolved. For
    /// [`TargetRecord::set_aside()`]: the order is not the unresolved one.
    NotSettled,
    /// The replica was cancelled, or another daemon decided it.
    Cancelled,
    /// The record has reached its limit of entries of this kind.
    Full,
}

/// The parameters of a load that a daemon wants to record.
#[derive(Debug, Clone)]
pub struct LoadRequest<'a> {
    /// The id of the order, unique over all orders.
    pub order_id: &'a Name,
    /// The name of the model or adapter.
    pub name: &'a Name,
    /// The memory that the load needs, in bytes.
    pub memory_bytes: u64,
    /// The decided replica that the load is for.
    pub replica: &'a Replica,
    /// The daemon that orders the load; only the replica's decider may do so.
    pub sender: &'a Instance,
    /// The total memory of the target, in bytes.
    pub capacity_bytes: u64,
}

impl TargetRecord {
    /// Returns the record with the memory reserved and the load order recorded.
    ///
    /// The order may be sent once, after the returned record is stored on condition of the version
    /// that it was derived from.
    ///
    /// # Errors
    ///
    /// [`RecordFault`] with the reason.
    pub fn record_load(&self, load: &LoadRequest<'_>) -> Result<TargetRecord, RecordFault> {
        if self.order.is_some() {
            return Err(RecordFault::OrderPending);
        }
        if self.is_cancelled(load.name, load.replica.id) || load.replica.decider != *load.sender {
            return Err(RecordFault::Cancelled);
        }
        let Err(index) = self.position(load.name) else {
            return Err(RecordFault::AlreadyReserved);
        };
        if self.reserved_bytes().saturating_add(load.memory_bytes) > load.capacity_bytes {
            return Err(RecordFault::NoMemory);
        }
        let mut record = self.clone();
        let replica = ReplicaRef { id: load.replica.id, decider: load.replica.decider.clone() };
        let reservation = MemoryReservation {
            name: load.name.clone(),
            memory_bytes: load.memory_bytes,
            replica: Some(replica),
        };
        record.reservations.insert(index, reservation);
        record.set_order(load.order_id, load.sender, OrderAction::Load, load.name);
        Ok(record)
    }

    /// Returns the record with an unload order recorded; the memory stays reserved.
    ///
    /// # Errors
    ///
    /// [`RecordFault`] with the reason.
    pub fn record_unload(
        &self,
        order_id: &Name,
        name: &Name,
        sender: &Instance,
    ) -> Result<TargetRecord, RecordFault> {
        if self.order.is_some() {
            return Err(RecordFault::OrderPending);
        }
        if self.position(name).is_err() || self.orders().any(|order| order.name == *name) {
            return Err(RecordFault::NotSettled);
        }
        let mut record = self.clone();
        record.set_order(order_id, sender, OrderAction::Unload, name);
        Ok(record)
    }

    /// Returns the record with its unresolved order set aside, for a daemon that has seen the order
    /// unresolved for [`ORDER_SET_ASIDE_MS`].
    ///
    /// # Errors
    ///
    /// [`RecordFault::Full`] if too many orders are set aside, [`RecordFault::NotSettled`] if the
    /// order is not the unresolved one.
    pub fn set_aside(&self, order_id: &Name) -> Result<TargetRecord, RecordFault> {
        if self.set_aside.len() >= MAX_ORDERS_SET_ASIDE {
            return Err(RecordFault::Full);
        }
        let mut record = self.clone();
        let order = record.order.take_if(|order| order.id == *order_id);
        record.set_aside.push(order.ok_or(RecordFault::NotSettled)?);
        Ok(record)
    }

    /// Returns the record with a decided replica cancelled whose load was never recorded here.
    ///
    /// This cleans up after a daemon that stopped between its decision and the reservation. A
    /// daemon that reads the record later refuses the load, and an update based on an earlier
    /// version fails.
    ///
    /// # Errors
    ///
    /// [`RecordFault::AlreadyReserved`] if memory is reserved for the replica,
    /// [`RecordFault::Full`] if the record can't hold another cancellation.
    pub fn cancel(&self, name: &Name, replica: &Replica) -> Result<TargetRecord, RecordFault> {
        let is_reserved = self.position(name).is_ok_and(|index| {
            self.reservations[index].replica.as_ref().is_some_and(|held| held.id == replica.id)
        });
        if is_reserved {
            return Err(RecordFault::AlreadyReserved);
        }
        if self.cancelled.len() >= MAX_CANCELLED_REPLICAS {
            return Err(RecordFault::Full);
        }
        let mut record = self.clone();
        let replica = ReplicaRef { id: replica.id, decider: replica.decider.clone() };
        record.add_cancelled(name, replica);
        Ok(record)
    }

    /// Returns the record without the cancellations of `name` that are no longer needed, or `None`
    /// if nothing changes.
    ///
    /// A cancellation is needed until the stored set lacks the replica and its decider can no
    /// longer order its load. `may_order` returns whether the decider still can: another daemon can
    /// until it is proven gone, and this daemon while any of its tasks has yet to record the load.
    pub fn clear_cancelled(
        &self,
        name: &Name,
        set: &ReplicaSet,
        may_order: impl Fn(&ReplicaRef) -> bool,
    ) -> Option<TargetRecord> {
        let mut record = self.clone();
        record.cancelled.retain(|cancelled| {
            cancelled.name != *name
                || set.contains(cancelled.replica.id)
                || may_order(&cancelled.replica)
        });
        (record != *self).then_some(record)
    }

    /// Returns the sum of the reserved memory in bytes.
    pub fn reserved_bytes(&self) -> u64 {
        self.reservations.iter().fold(0, |sum, held| sum.saturating_add(held.memory_bytes))
    }

    /// Returns the unresolved orders, including those that are set aside.
    pub fn orders(&self) -> impl Iterator<Item = &TargetOrder> {
        self.set_aside.iter().chain(&self.order)
    }

    /// Returns the reservation of a model or adapter, if it has one.
    pub fn reservation(&self, name: &str) -> Option<&MemoryReservation> {
        self.position(name).ok().map(|index| &self.reservations[index])
    }

    /// Returns whether the load of the replica must not be recorded here.
    pub fn is_cancelled(&self, name: &Name, id: u64) -> bool {
        self.cancelled.iter().any(|cancelled| cancelled.name == *name && cancelled.replica.id == id)
    }

    pub(crate) fn add_cancelled(&mut self, name: &Name, replica: ReplicaRef) {
        if !self.is_cancelled(name, replica.id) {
            self.cancelled.push(CancelledReplica { name: name.clone(), replica });
        }
    }

    pub(crate) fn position(&self, name: &str) -> Result<usize, usize> {
        self.reservations.binary_search_by(|held| held.name.as_str().cmp(name))
    }

    fn set_order(&mut self, id: &Name, sender: &Instance, action: OrderAction, name: &Name) {
        self.fence += 1;
        self.order = Some(TargetOrder {
            id: id.clone(),
            fence: self.fence,
            sender: sender.clone(),
            action,
            name: name.clone(),
        });
    }
}
