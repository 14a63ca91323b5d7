use lycheeford_policy::Name;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{PlatformError, RawJson, UnreadableValue, wire};

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
    /// The stored JSON value, or why it can't be decoded: any writer may have stored it.
    pub value: Result<Value, UnreadableValue>,
}

impl Object {
    /// Returns an object from the parts of an answer.
    ///
    /// An unreadable version makes the value unreadable too, and counts as `revision`, up to which
    /// the answer includes all changes. A missing value is null.
    pub fn new(
        kind: Name,
        name: Name,
        version: Result<u64, UnreadableValue>,
        value: Result<Option<RawJson<'_>>, UnreadableValue>,
        revision: u64,
    ) -> Object {
        let decode = |raw: Option<RawJson<'_>>| raw.map_or(Ok(Value::Null), RawJson::decode_any);
        let (version, value) = match version {
            Ok(version) => (version, value.and_then(decode)),
            Err(error) => (revision, Err(error)),
        };
        Object { kind, name, version, value }
    }

    /// Decodes the platform's answer to a read of `kind` and `name`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Malformed`](crate::Category::Malformed) if the
    /// bytes aren't a valid answer or describe another object.
    pub fn from_json(bytes: &[u8], kind: &str, name: &str) -> Result<Object, PlatformError> {
        wire::object(RawJson::new(bytes), kind, name)
    }

    /// Decodes the stored value.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be decoded at all, or isn't a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, UnreadableValue> {
        let value = self.value.as_ref().map_err(UnreadableValue::clone)?;
        T::deserialize(value).map_err(UnreadableValue::new)
    }
}

/// Every object of a kind at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Listing {
    /// The version up to which the list includes all changes, as a number.
    pub revision: u64,
    /// The objects, sorted by name.
    pub objects: Vec<Object>,
    /// The number of objects that are left out because not even their names can be read.
    pub unnamed: usize,
}

impl Listing {
    /// Decodes the platform's answer to a list of `kind`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Malformed`](crate::Category::Malformed) if the
    /// bytes aren't a valid answer, an object is of another kind or newer than
    /// the list, or a name occurs twice. An object whose value can't be decoded
    /// doesn't make the others unreadable.
    pub fn from_json(bytes: &[u8], kind: &str) -> Result<Listing, PlatformError> {
        wire::listing(RawJson::new(bytes), kind)
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
