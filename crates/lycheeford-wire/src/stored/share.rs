use lycheeford_policy::{
    Instance, MAX_SHARE_HOLDERS, ShareEntry, ShareTable, TakenShare, WHOLE_SHARE_PPM,
};
use serde::{Deserialize, Serialize};

use super::{StoredError, StoredInstance, check_sorted};

/// The stored form of a [`ShareTable`]; the object is named after the customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredShareTable {
    creator: StoredInstance,
    entries: Vec<StoredShareEntry>,
}

/// The stored form of a [`ShareEntry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredShareEntry {
    holder: StoredInstance,
    share_ppm: u32,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    taken: Vec<StoredTakenShare>,
}

/// The stored form of a [`TakenShare`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredTakenShare {
    from: Vec<StoredInstance>,
    share_ppm: u32,
}

impl From<&ShareTable> for StoredShareTable {
    fn from(table: &ShareTable) -> StoredShareTable {
        StoredShareTable {
            creator: (&table.creator).into(),
            entries: table.entries.iter().map(StoredShareEntry::from).collect(),
        }
    }
}

impl TryFrom<StoredShareTable> for ShareTable {
    type Error = StoredError;

    fn try_from(stored: StoredShareTable) -> Result<ShareTable, StoredError> {
        let holders = stored.entries.iter().map(|entry| &entry.holder.host);
        check_sorted("entries.holder.host", holders)?;
        if stored.entries.len() > MAX_SHARE_HOLDERS {
            return Err(StoredError::above_bound("entries", MAX_SHARE_HOLDERS as u64));
        }
        let total_ppm: u64 = stored.entries.iter().map(|entry| u64::from(entry.share_ppm)).sum();
        if total_ppm > u64::from(WHOLE_SHARE_PPM) {
            let bound = u64::from(WHOLE_SHARE_PPM);
            return Err(StoredError::above_bound("entries.share_ppm", bound));
        }
        Ok(ShareTable {
            creator: stored.creator.into(),
            entries: stored.entries.into_iter().map(ShareEntry::from).collect(),
        })
    }
}

impl From<&ShareEntry> for StoredShareEntry {
    fn from(entry: &ShareEntry) -> StoredShareEntry {
        StoredShareEntry {
            holder: (&entry.holder).into(),
            share_ppm: entry.share_ppm,
            taken: entry.taken.iter().map(StoredTakenShare::from).collect(),
        }
    }
}

impl From<StoredShareEntry> for ShareEntry {
    fn from(stored: StoredShareEntry) -> ShareEntry {
        ShareEntry {
            holder: stored.holder.into(),
            share_ppm: stored.share_ppm,
            taken: stored.taken.into_iter().map(TakenShare::from).collect(),
        }
    }
}

impl From<&TakenShare> for StoredTakenShare {
    fn from(taken: &TakenShare) -> StoredTakenShare {
        StoredTakenShare {
            from: taken.from.iter().map(StoredInstance::from).collect(),
            share_ppm: taken.share_ppm,
        }
    }
}

impl From<StoredTakenShare> for TakenShare {
    fn from(stored: StoredTakenShare) -> TakenShare {
        TakenShare {
            from: stored.from.into_iter().map(Instance::from).collect(),
            share_ppm: stored.share_ppm,
        }
    }
}
