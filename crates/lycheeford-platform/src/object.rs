use lycheeford_policy::Name;
use serde_json::Value;

use crate::PlatformError;
use crate::wire::{self, WireListing, WireObject};

/// A stored object: a value with its kind, name and version.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// The kind, such as `replica`.
    pub kind: Name,
    /// The name, unique in the kind.
    pub name: Name,
    /// The version of the write that stored the value, on which updates are conditional, as
    /// [`StoreVersion::to_number`](lycheeford_policy::StoreVersion::to_number).
    pub version: u64,
    /// The stored JSON value.
    pub value: Value,
}

impl Object {
    /// Decodes the platform's answer to a read of `kind` and `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Malformed`](crate::Category::Malformed) if the
    /// bytes aren't a valid answer or describe another object.
    pub fn from_json(bytes: &[u8], kind: &str, name: &str) -> Result<Object, PlatformError> {
        let object = Object::from(wire::decode::<WireObject>(bytes)?);
        wire::check_object(&object, kind, Some(name))?;
        Ok(object)
    }
}

/// Every object of a kind at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Listing {
    /// The version up to which the list includes all changes, as a number.
    pub revision: u64,
    /// The objects, sorted by name.
    pub objects: Vec<Object>,
}

impl Listing {
    /// Decodes the platform's answer to a list of `kind`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Malformed`](crate::Category::Malformed) if the
    /// bytes aren't a valid answer, an object is of another kind or newer than
    /// the list, or a name occurs twice.
    pub fn from_json(bytes: &[u8], kind: &str) -> Result<Listing, PlatformError> {
        Listing::try_from((wire::decode::<WireListing>(bytes)?, kind))
    }

    /// Returns the object with the given name, or `None` if the list has none.
    pub fn object(&self, name: &str) -> Option<&Object> {
        let index = self.objects.binary_search_by(|object| object.name.as_str().cmp(name)).ok()?;
        Some(&self.objects[index])
    }
}

/// The precondition of a conditional put.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No object of that name exists.
    Absent,
    /// The object exists at this version.
    Version(u64),
}
