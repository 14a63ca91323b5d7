use serde::{Deserialize, Serialize};

use lycheeford_policy::{Key, Name};

/// The JSON form of a chunk of keys in the platform's store.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeyList {
    pub(crate) keys: Vec<KeyEntry>,
}

/// The JSON form of a key in the platform's store.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeyEntry {
    id: Name,
    customer: Name,
    salt: Name,
    digest: Name,
}

impl From<&Key> for KeyEntry {
    fn from(key: &Key) -> KeyEntry {
        KeyEntry {
            id: key.id.clone(),
            customer: key.customer.clone(),
            salt: key.salt.clone(),
            digest: key.digest.clone(),
        }
    }
}

impl From<KeyEntry> for Key {
    fn from(entry: KeyEntry) -> Key {
        Key { id: entry.id, customer: entry.customer, salt: entry.salt, digest: entry.digest }
    }
}
