use crate::target_record::TargetRecord;
use crate::{Instance, Name};

/// The decided replicas of one model or adapter, stored as one object.
///
/// Each load follows a fixed order: record the decision here, then the order in the target's
/// record, then send the order. An unload goes the other way round: a replica leaves this object
/// last. All these updates are conditional on the version read, so that no replica is loaded that
/// is not decided here.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    /// The last id assigned; ids are never reused.
    pub last_id: u64,
    /// The replicas, sorted by id.
    pub replicas: Vec<Replica>,
}

/// A decided replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// The id, unique within the model or adapter.
    pub id: u64,
    /// The target that the replica is decided for.
    pub target: Name,
    /// The daemon that decided the replica; no other daemon may order its load.
    pub decider: Instance,
}

/// The reason why a replica can't be decided or removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaFault {
    /// The set already has the largest allowed number of replicas.
    TooMany,
    /// A replica is already decided for this target.
    AlreadyThere,
    /// The set has no replica with this id.
    NoSuchReplica,
    /// The target's record has not cancelled the replica: it still holds the reservation, or the
    /// load may yet be ordered.
    StillHeld,
}

impl ReplicaSet {
    /// Returns the set with one more replica for `target`, and that replica.
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
    /// `name` is the model or adapter of this set, and `record` is the stored record of the
    /// replica's target. The cancellation in that record is itself a conditional update and
    /// guarantees that no load of the replica can be recorded later.
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

    /// Returns whether the set holds the replica `id`.
    pub fn contains(&self, id: u64) -> bool {
        self.position(id).is_some()
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.replicas.binary_search_by_key(&id, |replica| replica.id).ok()
    }
}
