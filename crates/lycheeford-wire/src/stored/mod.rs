//! The JSON forms of the objects stored in the platform's service.
//!
//! Each form converts to its domain type by `TryFrom`, which checks the
//! properties that decisions rely on (order, limits, sums) and names the
//! invalid field, and back by `From`. A daemon leaves an object that it can't
//! convert unchanged: it neither guesses its content nor overwrites it.

mod error;
mod host;
mod ledger;
mod replica;
mod share;
mod target;

pub use self::error::StoredError;
pub use self::host::{StoredHost, StoredHostState, StoredRole};
pub use self::ledger::{StoredLedgerBucket, StoredLedgerRecord, StoredLedgerState};
pub use self::replica::{StoredReplica, StoredReplicaSet};
pub use self::share::{StoredShareEntry, StoredShareTable, StoredTakenShare};
pub use self::target::{
    StoredAction, StoredCancelledReplica, StoredOrder, StoredReplicaRef, StoredReservation,
    StoredTargetRecord,
};

use lycheeford_policy::{Instance, Name};
use serde::{Deserialize, Serialize};

/// The stored form of an [`Instance`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredInstance {
    host: Name,
    incarnation: u64,
}

impl From<&Instance> for StoredInstance {
    fn from(instance: &Instance) -> StoredInstance {
        StoredInstance { host: instance.host.clone(), incarnation: instance.incarnation.0 }
    }
}

impl From<StoredInstance> for Instance {
    fn from(stored: StoredInstance) -> Instance {
        Instance::new(stored.host, stored.incarnation)
    }
}

/// Checks that `keys` are in strictly ascending order, which binary search relies on.
fn check_sorted<K: Ord>(
    field: &'static str,
    mut keys: impl Iterator<Item = K>,
) -> Result<(), StoredError> {
    let Some(mut previous) = keys.next() else { return Ok(()) };
    for key in keys {
        if key <= previous {
            return Err(StoredError::unsorted(field));
        }
        previous = key;
    }
    Ok(())
}
