use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use lycheeford_policy::{Configuration, Key, Name};

use crate::assemble_error::{AssembleError, Code};
use crate::check::check;
use crate::document::Document;
use crate::key_list::{KeyEntry, KeyList};

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

/// One entry in this many ends a chunk, by the hash of its name.
///
/// Where a chunk ends then depends on names alone, so a change of one entry
/// replaces one chunk of about 16 KiB, which is all that a daemon has to read
/// beside the head.
const CHUNK_ENTRIES_MEAN: u8 = 128;

/// The one object whose conditional update commits a change of configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Grows by one with each write; a daemon only moves forward.
    pub revision: u64,
    /// The revision that last replaced the declared document.
    pub declared_revision: u64,
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
    /// Canonical JSON: compact, fields in a fixed order, entries sorted.
    pub text: String,
}

impl Chunk {
    fn new(text: String) -> Chunk {
        Chunk { name: Name::from(digest(&text)), text }
    }
}

/// Encodes what is declared, without the keys.
pub fn encode_declared(configuration: &Configuration) -> Vec<Chunk> {
    let document = Document::from(configuration);
    let mut splitter = Splitter::<Document>::default();
    for entry in document.models {
        splitter.push(&entry.name.clone(), entry, |part| &mut part.models);
    }
    for entry in document.adapters {
        splitter.push(&entry.name.clone(), entry, |part| &mut part.adapters);
    }
    for entry in document.services {
        splitter.push(&entry.name.clone(), entry, |part| &mut part.services);
    }
    for entry in document.routes {
        splitter.push(&entry.path_prefix.clone(), entry, |part| &mut part.routes);
    }
    for entry in document.customers {
        splitter.push(&entry.name.clone(), entry, |part| &mut part.customers);
    }
    splitter.part.weights = document.weights;
    splitter.close();
    splitter.chunks
}

/// Encodes the keys, sorted by id.
pub fn encode_keys(keys: &[Key]) -> Vec<Chunk> {
    let mut splitter = Splitter::<KeyList>::default();
    for key in keys {
        splitter.push(&key.id, KeyEntry::from(key), |part| &mut part.keys);
    }
    splitter.close();
    splitter.chunks
}

/// Returns the chunks that `configuration` is stored as.
///
/// The encoding is the same everywhere, so a daemon that follows the head need
/// not keep the chunks: it encodes what is in force and reads only those that
/// [`missing_chunks`] lists.
pub fn encode(configuration: &Configuration) -> Vec<Chunk> {
    let mut chunks = encode_declared(configuration);
    chunks.extend(encode_keys(&configuration.keys));
    chunks
}

/// Lists the chunks that `head` names and that aren't among `present`.
pub fn missing_chunks(head: &Head, present: &[Chunk]) -> Vec<Name> {
    let mut names: Vec<&Name> = present.iter().map(|chunk| &chunk.name).collect();
    names.sort();
    let listed = head.declared.iter().chain(&head.keys);
    listed.filter(|name| names.binary_search(name).is_err()).cloned().collect()
}

/// Puts a stored configuration together again.
///
/// `chunks` may hold more than the head names, in any order. Every chunk's
/// hash is verified and the whole is checked once more, so that a half-written
/// or altered set never becomes a configuration.
///
/// # Errors
///
/// A chunk that is absent, altered or unreadable, or a document with faults;
/// the caller keeps the configuration that it has.
pub fn assemble(head: &Head, chunks: &[Chunk]) -> Result<Configuration, AssembleError> {
    let mut sorted: Vec<&Chunk> = chunks.iter().collect();
    sorted.sort_by_key(|chunk| &chunk.name);
    let document = assemble_declared(head, &sorted)?;
    let mut configuration = check(&document).map_err(Code::Faulty)?;
    configuration.keys = assemble_keys(head, &sorted)?;
    configuration.revision = head.revision;
    Ok(configuration)
}

fn assemble_declared(head: &Head, sorted: &[&Chunk]) -> Result<Document, Code> {
    let mut document = Document::default();
    for name in &head.declared {
        let part: Document = read_chunk(name, sorted)?;
        document.models.extend(part.models);
        document.adapters.extend(part.adapters);
        document.services.extend(part.services);
        document.routes.extend(part.routes);
        document.customers.extend(part.customers);
        document.weights = part.weights.or(document.weights);
    }
    Ok(document)
}

fn assemble_keys(head: &Head, sorted: &[&Chunk]) -> Result<Vec<Key>, Code> {
    let mut keys = Vec::new();
    for name in &head.keys {
        let part: KeyList = read_chunk(name, sorted)?;
        keys.extend(part.keys.into_iter().map(Key::from));
    }
    keys.sort_by(|one: &Key, other: &Key| one.id.cmp(&other.id));
    match keys.windows(2).find(|pair| pair[0].id == pair[1].id) {
        Some(pair) => Err(Code::KeyTwice(pair[0].id.clone())),
        None => Ok(keys),
    }
}

fn read_chunk<T: for<'de> Deserialize<'de>>(name: &Name, sorted: &[&Chunk]) -> Result<T, Code> {
    let index = sorted
        .binary_search_by(|chunk| chunk.name.cmp(name))
        .map_err(|_| Code::Missing(name.clone()))?;
    let text = &sorted[index].text;
    if digest(text) != name.as_str() {
        return Err(Code::Altered(name.clone()));
    }
    serde_json::from_str(text).map_err(|error| Code::Unreadable(name.clone(), error.to_string()))
}

fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text))
}

/// Cuts entries into chunks.
#[derive(Debug, Default)]
struct Splitter<P> {
    chunks: Vec<Chunk>,
    part: P,
    part_bytes: usize,
}

impl<P: Default + Serialize> Splitter<P> {
    fn push<T: Serialize>(&mut self, name: &Name, entry: T, list: fn(&mut P) -> &mut Vec<T>) {
        let entry_bytes = json(&entry).len() + ENTRY_OVERHEAD_BYTES;
        if self.part_bytes + entry_bytes > CHUNK_BYTES_MAX - PART_OVERHEAD_BYTES {
            self.close();
        }
        list(&mut self.part).push(entry);
        self.part_bytes += entry_bytes;
        if Sha256::digest(name.as_bytes())[0].is_multiple_of(CHUNK_ENTRIES_MEAN) {
            self.close();
        }
    }

    fn close(&mut self) {
        let text = json(&self.part);
        if text != json(&P::default()) {
            self.chunks.push(Chunk::new(text));
        }
        self.part = P::default();
        self.part_bytes = 0;
    }
}

/// The comma after an entry.
const ENTRY_OVERHEAD_BYTES: usize = 1;
/// The names of the lists and the site's weights.
const PART_OVERHEAD_BYTES: usize = 1024;

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("documents hold only text keys and finite numbers")
}
