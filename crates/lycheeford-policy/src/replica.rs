use crate::target_record::TargetRecord;
use crate::{Instance, Name};

/// The decided replicas of one model or adapter, stored as one object.
///
/// Nothing is loaded that isn't decided here first: decide, then record the
/// order at the target, then send it. On unload it goes the other way round,
/// and a replica leaves this object last. All by conditional update.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    /// The last id given; ids are never given twice.
    pub last_id: u64,
    /// The replicas, sorted by id.
    pub replicas: Vec<Replica>,
}

/// One decided replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// The id, unique within the model or adapter.
    pub id: u64,
    /// The target that it is decided for.
    pub target: Name,
    /// The daemon that decided it and alone may order its load.
    pub decider: Instance,
}

/// Why a replica can't be decided or removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaFault {
    /// As many replicas as allowed are decided.
    TooMany,
    /// One is decided for this target already.
    AlreadyThere,
    /// No such replica.
    NoSuchReplica,
    /// The target's record still holds the replica, or its load may yet be ordered.
    StillHeld,
}

impl ReplicaSet {
    /// Returns the set with one more replica, and the replica.
    ///
    /// # Errors
    ///
    /// [`ReplicaFault::TooMany`] or [`ReplicaFault::AlreadyThere`].
    pub fn decide(
        &self,
        target: &Name,
        replicas_max: u32,
        decider: &Instance,
    ) -> Result<(ReplicaSet, Replica), ReplicaFault> {
        if self.on_target(target).is_some() {
            return Err(ReplicaFault::AlreadyThere);
        }
        if self.replicas.len() >= replicas_max as usize {
            return Err(ReplicaFault::TooMany);
        }
        let id = self.last_id + 1;
        let replica = Replica { id, target: target.clone(), decider: decider.clone() };
        let mut set = self.clone();
        set.last_id = id;
        set.replicas.push(replica.clone());
        Ok((set, replica))
    }

    /// Returns the set without a replica that the target's record has cancelled.
    ///
    /// `name` is the model or adapter of this set, `record` the stored record of
    /// the replica's target. The cancellation there, itself a conditional
    /// update, makes sure that no load of the replica can be recorded later.
    ///
    /// # Errors
    ///
    /// [`ReplicaFault::NoSuchReplica`] or [`ReplicaFault::StillHeld`].
    pub fn remove(
        &self,
        name: &Name,
        id: u64,
        record: &TargetRecord,
    ) -> Result<ReplicaSet, ReplicaFault> {
        let index = self.position(id).ok_or(ReplicaFault::NoSuchReplica)?;
        if !record.is_cancelled(name, id) {
            return Err(ReplicaFault::StillHeld);
        }
        let mut set = self.clone();
        set.replicas.remove(index);
        Ok(set)
    }

    /// Returns the replica decided for `target`.
    pub fn on_target(&self, target: &Name) -> Option<&Replica> {
        self.replicas.iter().find(|replica| replica.target == *target)
    }

    /// Tells whether the set holds the replica `id`.
    pub fn contains(&self, id: u64) -> bool {
        self.position(id).is_some()
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.replicas.binary_search_by_key(&id, |replica| replica.id).ok()
    }
}
