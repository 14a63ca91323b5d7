use lycheeford_policy::{Name, Replica, ReplicaSet};
use serde::{Deserialize, Serialize};

use super::{StoredError, StoredInstance, check_sorted};

/// The stored form of a [`ReplicaSet`]; the object is named after the model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredReplicaSet {
    last_id: u64,
    replicas: Vec<StoredReplica>,
}

/// The stored form of a [`Replica`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredReplica {
    id: u64,
    target: Name,
    decider: StoredInstance,
}

impl From<&ReplicaSet> for StoredReplicaSet {
    fn from(set: &ReplicaSet) -> StoredReplicaSet {
        StoredReplicaSet {
            last_id: set.last_id,
            replicas: set.replicas.iter().map(StoredReplica::from).collect(),
        }
    }
}

impl TryFrom<StoredReplicaSet> for ReplicaSet {
    type Error = StoredError;

    fn try_from(stored: StoredReplicaSet) -> Result<ReplicaSet, StoredError> {
        check_sorted("replicas.id", stored.replicas.iter().map(|replica| replica.id))?;
        if stored.replicas.last().is_some_and(|replica| replica.id > stored.last_id) {
            return Err(StoredError::unknown_id("replicas.id"));
        }
        Ok(ReplicaSet {
            last_id: stored.last_id,
            replicas: stored.replicas.into_iter().map(Replica::from).collect(),
        })
    }
}

impl From<&Replica> for StoredReplica {
    fn from(replica: &Replica) -> StoredReplica {
        StoredReplica {
            id: replica.id,
            target: replica.target.clone(),
            decider: (&replica.decider).into(),
        }
    }
}

impl From<StoredReplica> for Replica {
    fn from(stored: StoredReplica) -> Replica {
        Replica { id: stored.id, target: stored.target, decider: stored.decider.into() }
    }
}
