use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use lycheeford_policy::{Configuration, Key, Name};

use crate::assemble_error::{AssembleError, Code};
use crate::check::check;
use crate::document::Document;
use crate::key_list::{KeyEntry, KeyList};

/// The maximum length of a chunk's text, in bytes.
///
/// The platform stores values of up to a megabyte, and a chunk is stored as a
/// JSON string, which escaping can make twice as long.
pub const CHUNK_BYTES_MAX: usize = 256 * 1024;

/// The kind of the head object in the platform's store.
pub const HEAD_KIND: &str = "head";
/// The name of the head object in the platform's store.
pub const HEAD_NAME: &str = "fleet";
/// The kind of the chunk objects in the platform's store.
pub const CHUNK_KIND: &str = "chunk";

/// The mean number of entries per chunk: the hash of an entry's name decides
/// whether the entry ends a chunk.
///
/// Chunk boundaries therefore depend only on names, unless entries are so large
/// that [`CHUNK_BYTES_MAX`] ends a chunk earlier. A change of one entry replaces
/// one chunk of about 16 KiB, which is all that a daemon has to read besides the
/// head.
const CHUNK_ENTRIES_MEAN: u8 = 128;

/// The single object whose conditional update commits a change of configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The number of the write, increased by 1 each time; daemons never return to a lower one.
    pub revision: u64,
    /// The latest revision that replaced the declared document.
    pub declared_revision: u64,
    /// The chunks of the declared document, in order.
    pub declared: Vec<Name>,
    /// The chunks of the keys, in order.
    pub keys: Vec<Name>,
    /// An id unique to the write, which shows on reading back whether the write took effect
    /// when the store's response was lost.
    pub stamp: String,
}

/// An immutable part of the stored configuration, named by its SHA-256.
///
/// The platform stores the text as one JSON string, so that a store or proxy
/// that reformats JSON can't change the bytes that are hashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The SHA-256 hash of the text, in hex.
    pub name: Name,
    /// Canonical JSON: compact, fields in a fixed order, entries sorted.
    pub text: String,
}

impl Chunk {
    fn new(text: String) -> Chunk {
        Chunk { name: Name::from(sha256_hex(&text)), text }
    }
}

/// Encodes the declared configuration, without the keys.
pub fn encode_declared(configuration: &Configuration) -> Vec<Chunk> {
    let document = Document::from(configuration);
    let mut writer = ChunkWriter::<Document>::default();
    for entry in document.models {
        writer.push(&entry.name.clone(), entry, |part| &mut part.models);
    }
    for entry in document.adapters {
        writer.push(&entry.name.clone(), entry, |part| &mut part.adapters);
    }
    for entry in document.services {
        writer.push(&entry.name.clone(), entry, |part| &mut part.services);
    }
    for entry in document.routes {
        writer.push(&entry.path_prefix.clone(), entry, |part| &mut part.routes);
    }
    for entry in document.customers {
        writer.push(&entry.name.clone(), entry, |part| &mut part.customers);
    }
    writer.part.weights = document.weights;
    writer.finish_chunk();
    writer.chunks
}

/// Encodes the keys, which must be sorted by id.
pub fn encode_keys(keys: &[Key]) -> Vec<Chunk> {
    let mut writer = ChunkWriter::<KeyList>::default();
    for key in keys {
        writer.push(&key.id, KeyEntry::from(key), |part| &mut part.keys);
    }
    writer.finish_chunk();
    writer.chunks
}

/// Returns the chunks in which `configuration` is stored.
///
/// The encoding is deterministic, so a daemon that follows the head need not
/// keep the chunks: it encodes the configuration in force and reads only the
/// chunks that [`missing_chunks`] lists.
pub fn encode(configuration: &Configuration) -> Vec<Chunk> {
    let mut chunks = encode_declared(configuration);
    chunks.extend(encode_keys(&configuration.keys));
    chunks
}

/// Lists the chunks that `head` names and that `present` doesn't contain.
pub fn missing_chunks(head: &Head, present: &[Chunk]) -> Vec<Name> {
    let mut names: Vec<&Name> = present.iter().map(|chunk| &chunk.name).collect();
    names.sort();
    let listed = head.declared.iter().chain(&head.keys);
    listed.filter(|name| names.binary_search(name).is_err()).cloned().collect()
}

/// Assembles a stored configuration from its chunks.
///
/// `chunks` may contain chunks that the head doesn't name, in any order. Every
/// chunk's hash is verified and the assembled document is checked again, so
/// that a partially written or altered set never becomes a configuration.
///
/// # Errors
///
/// Fails if a chunk is missing, altered or unreadable, if a key is stored twice,
/// or if the document has faults; the caller then keeps its current configuration.
pub fn assemble(head: &Head, chunks: &[Chunk]) -> Result<Configuration, AssembleError> {
    let mut sorted_chunks: Vec<&Chunk> = chunks.iter().collect();
    sorted_chunks.sort_by_key(|chunk| &chunk.name);
    let document = assemble_declared(head, &sorted_chunks)?;
    let mut configuration = check(&document).map_err(Code::Faulty)?;
    configuration.keys = assemble_keys(head, &sorted_chunks)?;
    configuration.revision = head.revision;
    Ok(configuration)
}

fn assemble_declared(head: &Head, sorted_chunks: &[&Chunk]) -> Result<Document, Code> {
    let mut document = Document::default();
    for name in &head.declared {
        let part: Document = read_chunk(name, sorted_chunks)?;
        document.models.extend(part.models);
        document.adapters.extend(part.adapters);
        document.services.extend(part.services);
        document.routes.extend(part.routes);
        document.customers.extend(part.customers);
        document.weights = part.weights.or(document.weights);
    }
    Ok(document)
}

fn assemble_keys(head: &Head, sorted_chunks: &[&Chunk]) -> Result<Vec<Key>, Code> {
    let mut keys = Vec::new();
    for name in &head.keys {
        let part: KeyList = read_chunk(name, sorted_chunks)?;
        keys.extend(part.keys.into_iter().map(Key::from));
    }
    keys.sort_by(|left: &Key, right: &Key| left.id.cmp(&right.id));
    match keys.windows(2).find(|pair| pair[0].id == pair[1].id) {
        Some(pair) => Err(Code::DuplicateKey(pair[0].id.clone())),
        None => Ok(keys),
    }
}

fn read_chunk<T: for<'de> Deserialize<'de>>(
    name: &Name,
    sorted_chunks: &[&Chunk],
) -> Result<T, Code> {
    let index = sorted_chunks
        .binary_search_by(|chunk| chunk.name.cmp(name))
        .map_err(|_| Code::Missing(name.clone()))?;
    let text = &sorted_chunks[index].text;
    if sha256_hex(text) != name.as_str() {
        return Err(Code::HashMismatch(name.clone()));
    }
    serde_json::from_str(text).map_err(|error| Code::Unreadable(name.clone(), error.to_string()))
}

fn sha256_hex(text: &str) -> String {
    hex::encode(Sha256::digest(text))
}

/// Groups entries into chunks.
#[derive(Debug, Default)]
struct ChunkWriter<P> {
    chunks: Vec<Chunk>,
    part: P,
    part_bytes: usize,
}

impl<P: Default + Serialize> ChunkWriter<P> {
    fn push<T: Serialize>(&mut self, name: &Name, entry: T, list: fn(&mut P) -> &mut Vec<T>) {
        let entry_bytes = to_json(&entry).len() + ENTRY_OVERHEAD_BYTES;
        if self.part_bytes + entry_bytes > CHUNK_BYTES_MAX - CHUNK_OVERHEAD_BYTES {
            self.finish_chunk();
        }
        list(&mut self.part).push(entry);
        self.part_bytes += entry_bytes;
        if Sha256::digest(name.as_bytes())[0].is_multiple_of(CHUNK_ENTRIES_MEAN) {
            self.finish_chunk();
        }
    }

    fn finish_chunk(&mut self) {
        let text = to_json(&self.part);
        if text != to_json(&P::default()) {
            self.chunks.push(Chunk::new(text));
        }
        self.part = P::default();
        self.part_bytes = 0;
    }
}

/// The length of the comma after an entry.
const ENTRY_OVERHEAD_BYTES: usize = 1;
/// An upper bound for the names of the lists and the site's weights in a chunk.
const CHUNK_OVERHEAD_BYTES: usize = 1024;

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("documents hold only text keys and finite numbers")
}
