use lycheeford_policy::Name;

use crate::{Object, PlatformError, RawJson, UnreadableValue, wire};

/// The changes of a kind after a revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WatchBatch {
    /// The revision up to which all changes are included.
    pub revision: u64,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
    /// The number of changes that are left out because the names of their objects can't be read.
    pub unnamed: usize,
}

impl WatchBatch {
    /// Decodes the platform's answer to a watch of `kind`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Malformed`](crate::Category::Malformed) if the
    /// bytes aren't a valid answer, an object is of another kind or newer than
    /// the batch, or the changes are out of order. An object whose value can't
    /// be decoded doesn't make the others unreadable.
    pub fn from_json(bytes: &[u8], kind: &str) -> Result<WatchBatch, PlatformError> {
        wire::watch_batch(RawJson::new(bytes), kind)
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
    /// Returns the change of an object that has a mark if it was deleted.
    ///
    /// With an unreadable mark the object may exist or not, so its value counts as unreadable.
    pub fn new(
        mut object: Object,
        deleted: Result<Option<RawJson<'_>>, UnreadableValue>,
    ) -> WatchEvent {
        match deleted.and_then(|raw| raw.map_or(Ok(false), RawJson::decode)) {
            Ok(true) => {
                let Object { kind, name, version, .. } = object;
                return WatchEvent::Deleted { kind, name, version };
            }
            Ok(false) => {}
            Err(error) => object.value = Err(error),
        }
        WatchEvent::Put(object)
    }

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
