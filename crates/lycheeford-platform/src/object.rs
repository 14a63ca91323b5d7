use lycheeford_policy::Name;
use serde_json::Value;

use crate::PlatformError;
use crate::wire::{self, WireListing, WireObject};

/// A stored value with its name and version.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// The kind, such as `replica`.
    pub kind: Name,
    /// The name, unique in the kind.
    pub name: Name,
    /// The revision of the write that stored the value.
    pub version: u64,
    /// The value.
    pub value: Value,
}

impl Object {
    /// Decodes the platform's answer to a read of `kind` and `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Malformed`](crate::Category::Malformed) if the
    /// bytes aren't such an answer or describe another object.
    pub fn from_json(bytes: &[u8], kind: &str, name: &str) -> Result<Object, PlatformError> {
        let object = Object::from(wire::decode::<WireObject>(bytes)?);
        wire::check_object(&object, kind, Some(name))?;
        Ok(object)
    }
}

/// Every object of a kind at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Listing {
    /// The revision at which the list was whole.
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
    /// bytes aren't such an answer, an object is of another kind or newer than
    /// the list, or a name stands twice.
    pub fn from_json(bytes: &[u8], kind: &str) -> Result<Listing, PlatformError> {
        Listing::try_from((wire::decode::<WireListing>(bytes)?, kind))
    }

    /// Returns the object called `name`.
    pub fn object(&self, name: &str) -> Option<&Object> {
        let index = self.objects.binary_search_by(|object| object.name.as_str().cmp(name)).ok()?;
        Some(&self.objects[index])
    }
}

/// What a conditional put expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No object of that name.
    Absent,
    /// The object at this version.
    Version(u64),
}
