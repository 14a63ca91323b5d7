use crate::replica::{Replica, ReplicaSet};
use crate::{Incarnation, Instance, Name};

/// How long a daemon sees the same order unresolved before it sets it aside.
///
/// It keeps its bytes and its replica; only the target takes other orders
/// meanwhile. Each daemon measures by its own clock, since nothing depends on
/// it but the wait of others.
pub const ORDER_SET_ASIDE_MS: u64 = 30_000;

/// The orders that can be set aside at one target.
pub const MAX_ORDERS_SET_ASIDE: usize = 16;

/// The cancelled replicas that one target's record can hold.
pub const MAX_CANCELLED_REPLICAS: usize = 64;

/// What is reserved and ordered at one target, stored as one object.
///
/// Memory is reserved here before a load is sent, and freed when the target's
/// own status shows that the load's effect never came, and can't come any
/// more, or is undone. See [`resolve`](crate::resolve).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetRecord {
    /// The life of the target that the record is about.
    pub incarnation: Incarnation,
    /// The last fencing number used.
    pub fence: u64,
    /// What holds memory, sorted by name.
    pub reservations: Vec<MemoryReservation>,
    /// The order that isn't resolved.
    pub order: Option<TargetOrder>,
    /// Unresolved orders that others don't wait for any more.
    pub set_aside: Vec<TargetOrder>,
    /// Replicas whose load must not be recorded here, until their set lacks them.
    pub cancelled: Vec<CancelledReplica>,
}

/// Memory reserved for one model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryReservation {
    /// The model or adapter.
    pub name: Name,
    /// The memory.
    pub memory_bytes: u64,
    /// The decided replica; `None` for one that the target held on its own.
    pub replica: Option<ReplicaRef>,
}

/// The replica that a reservation is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRef {
    /// The replica's id.
    pub id: u64,
    /// The daemon that decided it.
    pub decider: Instance,
}

/// An order that was recorded and may have been sent.
///
/// It is sent at most once, by the instance that recorded it; another try is
/// another order with another id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetOrder {
    /// The id, unique over all orders of all daemons.
    pub id: Name,
    /// The fencing number.
    pub fence: u64,
    /// The instance that recorded it and alone may send it.
    pub sender: Instance,
    /// What it asks for.
    pub action: OrderAction,
    /// The model or adapter.
    pub name: Name,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAction {
    /// Load the model or adapter.
    Load,
    /// Unload it.
    Unload,
}

/// A replica whose load must not be recorded any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelledReplica {
    /// The model or adapter.
    pub name: Name,
    /// The replica.
    pub replica: ReplicaRef,
}

/// Why an order can't be recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordFault {
    /// Another order isn't resolved.
    OrderPending,
    /// The memory isn't there.
    NoMemory,
    /// The model or adapter has a reservation already.
    AlreadyReserved,
    /// The model or adapter has no reservation, or an order of it isn't resolved.
    NotSettled,
    /// The replica was cancelled, or another daemon decided it.
    Cancelled,
    /// The record can't hold more.
    Full,
}

/// A load that a daemon wants to record.
#[derive(Debug, Clone)]
pub struct LoadRequest<'a> {
    /// The order's id, unique over all orders.
    pub order_id: &'a Name,
    /// The model or adapter.
    pub name: &'a Name,
    /// The memory that it takes.
    pub memory_bytes: u64,
    /// The decided replica.
    pub replica: &'a Replica,
    /// The daemon; only the replica's decider may order its load.
    pub sender: &'a Instance,
    /// The memory of the target.
    pub capacity_bytes: u64,
}

impl TargetRecord {
    /// Returns the record with the memory reserved and the load recorded.
    ///
    /// The order may be sent, once, after this is stored on condition of the
    /// version that it was made from.
    ///
    /// # Errors
    ///
    /// [`RecordFault`] says why not.
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
        record.put_order(load.order_id, load.sender, OrderAction::Load, load.name);
        Ok(record)
    }

    /// Returns the record with an unload recorded; its bytes stay reserved.
    ///
    /// # Errors
    ///
    /// [`RecordFault`] says why not.
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
        record.put_order(order_id, sender, OrderAction::Unload, name);
        Ok(record)
    }

    /// Returns the record with its unresolved order set aside, for a daemon
    /// that has seen it unresolved for [`ORDER_SET_ASIDE_MS`].
    ///
    /// # Errors
    ///
    /// [`RecordFault::Full`] if too many are, [`RecordFault::NotSettled`] if there is none.
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
    /// This cleans up after a daemon that stopped between its decision and the
    /// reservation. Whoever reads the record later refuses the load, and an
    /// update based on an earlier version fails.
    ///
    /// # Errors
    ///
    /// [`RecordFault::AlreadyReserved`] if it is reserved, [`RecordFault::Full`]
    /// without room.
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
        record.put_cancelled(name, replica);
        Ok(record)
    }

    /// Returns the record without the cancellations of `name` that are no longer needed.
    ///
    /// One is needed until the stored set lacks the replica and its decider can
    /// order its load no more. `may_order` tells that: another daemon may until
    /// it is proven gone, and this one while any task of it has yet to record
    /// the load.
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

    /// Returns the memory that is reserved.
    pub fn reserved_bytes(&self) -> u64 {
        self.reservations.iter().fold(0, |sum, held| sum.saturating_add(held.memory_bytes))
    }

    /// Returns the unresolved orders, the set-aside ones included.
    pub fn orders(&self) -> impl Iterator<Item = &TargetOrder> {
        self.set_aside.iter().chain(&self.order)
    }

    /// Returns the reservation of a model or adapter.
    pub fn reservation(&self, name: &str) -> Option<&MemoryReservation> {
        self.position(name).ok().map(|index| &self.reservations[index])
    }

    /// Tells whether the replica's load must not be recorded here.
    pub fn is_cancelled(&self, name: &Name, id: u64) -> bool {
        self.cancelled.iter().any(|cancelled| cancelled.name == *name && cancelled.replica.id == id)
    }

    pub(crate) fn put_cancelled(&mut self, name: &Name, replica: ReplicaRef) {
        if !self.is_cancelled(name, replica.id) {
            self.cancelled.push(CancelledReplica { name: name.clone(), replica });
        }
    }

    pub(crate) fn position(&self, name: &str) -> Result<usize, usize> {
        self.reservations.binary_search_by(|held| held.name.as_str().cmp(name))
    }

    fn put_order(&mut self, id: &Name, sender: &Instance, action: OrderAction, name: &Name) {
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
