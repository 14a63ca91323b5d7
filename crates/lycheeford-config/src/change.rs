use std::error::Error;
use std::fmt::{self, Display};

use lycheeford_policy::{Configuration, Key, Name};

use crate::stored::{Chunk, Head, encode_declared, encode_keys};

/// A change of the stored configuration, ready to be carried out.
///
/// Store the chunks first, each unless it exists. Then update the head on the
/// condition that it still has the version at which it was read: that is the
/// commit. A write that lost the race is planned anew from the new head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadWrite {
    /// The new head.
    pub head: Head,
    /// The chunks that the new head names and the old one doesn't.
    pub chunks: Vec<Chunk>,
}

/// Plans to replace what is declared; the keys stay as they are.
///
/// `configuration` is the assembled `current` head, `declared` the checked new
/// document. `base_revision` is the revision at which the operator read the
/// document: grants in between do no harm, another apply does.
///
/// # Errors
///
/// The document changed since `base_revision`, or a customer that would go
/// still has keys.
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
        declared: names(&chunks),
        keys: current.keys.clone(),
        stamp: stamp.to_owned(),
    };
    Ok(HeadWrite { chunks: without(chunks, &current.declared), head })
}

/// Plans to add a key; what is declared stays as it is.
///
/// # Errors
///
/// The key's customer isn't declared, or its id is in use.
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
    Ok(write_keys(current, &keys, stamp))
}

/// Plans to take a key away; what is declared stays as it is.
///
/// # Errors
///
/// No key has this id.
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
    Ok(write_keys(current, &keys, stamp))
}

fn write_keys(current: &Head, keys: &[Key], stamp: &str) -> HeadWrite {
    let chunks = encode_keys(keys);
    let head = Head {
        revision: current.revision + 1,
        declared_revision: current.declared_revision,
        declared: current.declared.clone(),
        keys: names(&chunks),
        stamp: stamp.to_owned(),
    };
    HeadWrite { chunks: without(chunks, &current.keys), head }
}

fn names(chunks: &[Chunk]) -> Vec<Name> {
    chunks.iter().map(|chunk| chunk.name.clone()).collect()
}

fn without(mut chunks: Vec<Chunk>, stored: &[Name]) -> Vec<Chunk> {
    chunks.retain(|chunk| !stored.contains(&chunk.name));
    chunks
}

/// What became of a write whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// The write took effect.
    Committed,
    /// The head is still the old one: the write was lost, or is yet to arrive.
    /// Sending the same conditional update again is safe.
    Pending,
    /// Another write took this one's place; it will never take effect.
    Superseded,
    /// Later writes hide whether this one took effect.
    Hidden,
}

/// Settles a write whose answer was lost, from the head that was read back.
pub fn settle(read_back: &Head, attempted: &Head) -> Settlement {
    if read_back.stamp == attempted.stamp {
        return Settlement::Committed;
    }
    if read_back.revision < attempted.revision {
        return Settlement::Pending;
    }
    if read_back.revision == attempted.revision {
        return Settlement::Superseded;
    }
    let attempted_apply = attempted.declared_revision == attempted.revision;
    if attempted_apply && read_back.declared_revision == attempted.revision {
        let same = read_back.declared == attempted.declared;
        return if same { Settlement::Committed } else { Settlement::Superseded };
    }
    Settlement::Hidden
}

/// Why a change can't be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeError(Code);

/// The coarse kind of a [`ChangeError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeCategory {
    /// The configuration changed since it was read.
    Conflict,
    /// The change refers to a customer or key that doesn't exist.
    NotFound,
    /// The change would break something that is in use.
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
    /// Returns the coarse kind.
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
                write!(formatter, "key {id} exists already; grant with other random bytes")
            }
            Code::UnknownKey { id } => {
                write!(formatter, "no key has the id {id}; see the list of keys")
            }
        }
    }
}

impl Error for ChangeError {}
