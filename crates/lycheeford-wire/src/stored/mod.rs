//! The JSON forms of the objects that the platform's service keeps.
//!
//! Each form converts to its domain type by `TryFrom`, which checks what the
//! decisions rely on (order, bounds, sums) and names the field that is wrong,
//! and back by `From`. A daemon that reads an object it can't convert leaves
//! it alone: it neither guesses nor overwrites.

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

/// Checks that `keys` strictly ascend, which binary search relies on.
fn check_sorted<K: Ord>(
    field: &'static str,
    mut keys: impl Iterator<Item = K>,
) -> Result<(), StoredError> {
    let Some(mut last) = keys.next() else { return Ok(()) };
    for key in keys {
        if key <= last {
            return Err(StoredError::unsorted(field));
        }
        last = key;
    }
    Ok(())
}
