use lycheeford_policy::Name;

use crate::wire::{self, WireWatch};
use crate::{Object, PlatformError};

/// The changes of a kind after a revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WatchBatch {
    /// The revision up to which all changes are included.
    pub revision: u64,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
}

impl WatchBatch {
    /// Decodes the platform's answer to a watch of `kind`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Malformed`](crate::Category::Malformed) if the
    /// bytes aren't a valid answer, an object is of another kind or newer than
    /// the batch, or the changes are out of order.
    pub fn from_json(bytes: &[u8], kind: &str) -> Result<WatchBatch, PlatformError> {
        WatchBatch::try_from((wire::decode::<WireWatch>(bytes)?, kind))
    }
}

/// One change of one object.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// The object was created or replaced.
    Put(Object),
    /// The object was deleted.
    Deleted {
        /// The kind of the deleted object.
        kind: Name,
        /// The name of the deleted object.
        name: Name,
        /// The revision of the deletion.
        version: u64,
    },
}

impl WatchEvent {
    /// Returns the name of the object that changed.
    pub fn name(&self) -> &Name {
        match self {
            WatchEvent::Put(object) => &object.name,
            WatchEvent::Deleted { name, .. } => name,
        }
    }

    /// Returns the revision of the change.
    pub fn version(&self) -> u64 {
        match self {
            WatchEvent::Put(object) => object.version,
            WatchEvent::Deleted { version, .. } => *version,
        }
    }
}
