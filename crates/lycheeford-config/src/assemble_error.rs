use std::error::Error;
use std::fmt::{self, Display};

use lycheeford_policy::Name;

use crate::fault::Faults;

/// Why a stored configuration can't be assembled from its chunks.
#[derive(Debug)]
pub struct AssembleError(Code);

/// The category of an [`AssembleError`], which decides whether reading again can help.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssembleCategory {
    /// A chunk that the head names is missing; reading again may help.
    Incomplete,
    /// A chunk doesn't match its hash or can't be parsed, a key is stored twice, or the document
    /// has faults.
    Corrupt,
}

#[derive(Debug)]
pub(crate) enum Code {
    Missing(Name),
    HashMismatch(Name),
    Unreadable(Name, String),
    DuplicateKey(Name),
    Faulty(Faults),
}

impl AssembleError {
    /// Returns whether a chunk is missing or the stored data is corrupt.
    pub fn category(&self) -> AssembleCategory {
        match self.0 {
            Code::Missing(_) => AssembleCategory::Incomplete,
            _ => AssembleCategory::Corrupt,
        }
    }
}

impl From<Code> for AssembleError {
    fn from(code: Code) -> AssembleError {
        AssembleError(code)
    }
}

impl Display for AssembleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Code::Missing(name) => {
                write!(
                    formatter,
                    "chunk {name} is missing; read it again, or apply the configuration again"
                )
            }
            Code::HashMismatch(name) => {
                write!(
                    formatter,
                    "chunk {name} doesn't match its hash; \
                     delete it and apply the configuration again"
                )
            }
            Code::Unreadable(name, error) => {
                write!(
                    formatter,
                    "chunk {name} can't be parsed: {error}; apply the configuration again"
                )
            }
            Code::DuplicateKey(id) => {
                write!(formatter, "key {id} is stored twice; withdraw it and grant another")
            }
            Code::Faulty(faults) => {
                write!(
                    formatter,
                    "the stored document has faults; apply a corrected document: {faults}"
                )
            }
        }
    }
}

impl Error for AssembleError {}
