use serde::{Deserialize, Serialize};

use lycheeford_policy::Name;

/// The longest text of a chunk.
///
/// The platform holds values of up to a megabyte; a chunk is stored as a JSON
/// string, which escaping can make twice as long.
pub const CHUNK_BYTES_MAX: usize = 256 * 1024;

/// The kind of the head object in the platform's store.
pub const HEAD_KIND: &str = "head";
/// The name of the head object in the platform's store.
pub const HEAD_NAME: &str = "fleet";
/// The kind of the chunk objects in the platform's store.
pub const CHUNK_KIND: &str = "chunk";

/// The one object whose conditional update commits a change of configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Grows by one with each write; a daemon only moves forward.
    pub revision: u64,
    /// The chunks of the declared document, in order.
    pub declared: Vec<Name>,
    /// The chunks of the keys, in order.
    pub keys: Vec<Name>,
    /// Unique to the write, so that a lost answer can be settled by reading back.
    pub stamp: String,
}

/// An immutable part of the stored configuration, named by its SHA-256.
///
/// The platform stores the text as one JSON string, so that no rewriting of
/// JSON on the way changes the bytes that the name covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The SHA-256 of the text, in hex.
    pub name: Name,
    /// Canonical JSON.
    pub text: String,
}
