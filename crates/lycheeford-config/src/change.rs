use std::error::Error;
use std::fmt::{self, Display};

use lycheeford_policy::{Configuration, Key, Name};

use crate::stored::{Chunk, Head, encode_declared, encode_keys};

/// A planned change of the stored configuration.
///
/// To carry it out, first store each chunk that doesn't exist yet. Then update
/// the head on the condition that it still has the version at which it was
/// read; this update commits the change. If the condition fails, plan the
/// change again from the new head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadWrite {
    /// The new head.
    pub head: Head,
    /// The chunks that the new head names and the old head doesn't.
    pub chunks: Vec<Chunk>,
}

/// Plans to replace the declared configuration and keep the keys.
///
/// `configuration` is the configuration assembled from the `current` head, and
/// `declared` is the checked new document. `base_revision` is the revision at
/// which the operator read the document: a key granted since then doesn't
/// conflict, another apply does.
///
/// # Errors
///
/// Fails if the document changed since `base_revision`, if `base_revision` is
/// higher than the stored revision, or if a customer that the new document no
/// longer declares still has keys.
pub fn plan_apply(
    current: &Head,
    configuration: &Configuration,
    base_revision: u64,
    declared: &Configuration,
    stamp: &str,
) -> Result<HeadWrite, ChangeError> {
    if base_revision < current.declared_revision || base_revision > current.revision {
        return Err(ChangeError(Code::Conflict { base_revision, revision: current.revision }));
    }
    for key in &configuration.keys {
        if declared.customer(&key.customer).is_none() {
            let (id, customer) = (key.id.clone(), key.customer.clone());
            return Err(ChangeError(Code::CustomerHasKeys { id, customer }));
        }
    }
    let chunks = encode_declared(declared);
    let revision = current.revision + 1;
    let head = Head {
        revision,
        declared_revision: revision,
        declared: chunk_names(&chunks),
        keys: current.keys.clone(),
        stamp: stamp.to_owned(),
    };
    Ok(HeadWrite { chunks: retain_unstored(chunks, &current.declared), head })
}

/// Plans to add a key and keep the declared configuration.
///
/// # Errors
///
/// Fails if the key's customer isn't declared, or if its id is in use.
pub fn plan_grant(
    current: &Head,
    configuration: &Configuration,
    key: Key,
    stamp: &str,
) -> Result<HeadWrite, ChangeError> {
    if configuration.customer(&key.customer).is_none() {
        return Err(ChangeError(Code::UnknownCustomer { customer: key.customer }));
    }
    let mut keys = configuration.keys.clone();
    match keys.binary_search_by(|other| other.id.cmp(&key.id)) {
        Ok(_) => return Err(ChangeError(Code::KeyExists { id: key.id })),
        Err(index) => keys.insert(index, key),
    }
    Ok(plan_keys_write(current, &keys, stamp))
}

/// Plans to remove a key and keep the declared configuration.
///
/// # Errors
///
/// Fails if no key has this id.
pub fn plan_withdraw(
    current: &Head,
    configuration: &Configuration,
    id: &str,
    stamp: &str,
) -> Result<HeadWrite, ChangeError> {
    let mut keys = configuration.keys.clone();
    match keys.binary_search_by(|other| other.id.as_str().cmp(id)) {
        Ok(index) => keys.remove(index),
        Err(_) => return Err(ChangeError(Code::UnknownKey { id: Name::from(id) })),
    };
    Ok(plan_keys_write(current, &keys, stamp))
}

fn plan_keys_write(current: &Head, keys: &[Key], stamp: &str) -> HeadWrite {
    let chunks = encode_keys(keys);
    let head = Head {
        revision: current.revision + 1,
        declared_revision: current.declared_revision,
        declared: current.declared.clone(),
        keys: chunk_names(&chunks),
        stamp: stamp.to_owned(),
    };
    HeadWrite { chunks: retain_unstored(chunks, &current.keys), head }
}

fn chunk_names(chunks: &[Chunk]) -> Vec<Name> {
    chunks.iter().map(|chunk| chunk.name.clone()).collect()
}

fn retain_unstored(mut chunks: Vec<Chunk>, stored: &[Name]) -> Vec<Chunk> {
    chunks.retain(|chunk| !stored.contains(&chunk.name));
    chunks
}

/// What is known about a write of the head after the store's response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Committed,
    /// The head is unchanged: the write was lost, or has not arrived yet.
    /// Sending the same conditional update again is safe.
    Pending,
    /// Another write committed in its place, so this write will never take effect.
    Superseded,
    /// Later writes make it impossible to know whether this write took effect.
    Indeterminate,
}

/// Determines from the head that was read back whether a write took effect.
///
/// It is for a write whose response from the store was lost.
pub fn resolve_write_outcome(read_back: &Head, attempted: &Head) -> WriteOutcome {
    if read_back.stamp == attempted.stamp {
        return WriteOutcome::Committed;
    }
    if read_back.revision < attempted.revision {
        return WriteOutcome::Pending;
    }
    if read_back.revision == attempted.revision {
        return WriteOutcome::Superseded;
    }
    let attempted_apply = attempted.declared_revision == attempted.revision;
    if attempted_apply && read_back.declared_revision == attempted.revision {
        let same = read_back.declared == attempted.declared;
        return if same { WriteOutcome::Committed } else { WriteOutcome::Superseded };
    }
    WriteOutcome::Indeterminate
}

/// Why a change of the configuration is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeError(Code);

/// The category of a [`ChangeError`], which decides the error code that the operator gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeCategory {
    /// The configuration changed since it was read.
    Conflict,
    /// The change refers to a customer or key that doesn't exist.
    NotFound,
    /// The change would remove a customer that has keys, or reuse the id of a key.
    Refused,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Code {
    Conflict { base_revision: u64, revision: u64 },
    CustomerHasKeys { id: Name, customer: Name },
    UnknownCustomer { customer: Name },
    KeyExists { id: Name },
    UnknownKey { id: Name },
}

impl ChangeError {
    /// Returns whether the change conflicts, refers to something that doesn't exist, or is refused.
    pub fn category(&self) -> ChangeCategory {
        match self.0 {
            Code::Conflict { .. } => ChangeCategory::Conflict,
            Code::UnknownCustomer { .. } | Code::UnknownKey { .. } => ChangeCategory::NotFound,
            Code::CustomerHasKeys { .. } | Code::KeyExists { .. } => ChangeCategory::Refused,
        }
    }
}

impl Display for ChangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Code::Conflict { base_revision, revision } => write!(
                formatter,
                "the configuration changed after revision {base_revision}; \
                 compare with revision {revision} and apply again"
            ),
            Code::CustomerHasKeys { id, customer } => write!(
                formatter,
                "customer {customer} still has key {id}; withdraw its keys before removing it"
            ),
            Code::UnknownCustomer { customer } => {
                write!(formatter, "customer {customer} is not declared; apply it first")
            }
            Code::KeyExists { id } => {
                write!(formatter, "key {id} already exists; grant it again with other random bytes")
            }
            Code::UnknownKey { id } => {
                write!(formatter, "no key has the id {id}; see the list of keys")
            }
        }
    }
}

impl Error for ChangeError {}
