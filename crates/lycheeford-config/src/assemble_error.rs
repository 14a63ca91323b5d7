use std::error::Error;
use std::fmt::{self, Display};

use lycheeford_policy::Name;

use crate::fault::Faults;

/// Why a stored configuration can't be put together.
#[derive(Debug)]
pub struct AssembleError(Code);

/// The coarse kind of an [`AssembleError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssembleCategory {
    /// A chunk that the head names is absent; reading again may help.
    Incomplete,
    /// A chunk doesn't hold what its name says, or the whole has faults.
    Corrupt,
}

#[derive(Debug)]
pub(crate) enum Code {
    Missing(Name),
    Altered(Name),
    Unreadable(Name, String),
    KeyTwice(Name),
    Faulty(Faults),
}

impl AssembleError {
    /// Returns the coarse kind.
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
                write!(formatter, "chunk {name} is absent; read it again, or apply anew")
            }
            Code::Altered(name) => {
                write!(formatter, "chunk {name} doesn't match its hash; delete it and apply anew")
            }
            Code::Unreadable(name, error) => {
                write!(formatter, "chunk {name} can't be read: {error}; apply anew")
            }
            Code::KeyTwice(id) => {
                write!(formatter, "key {id} is stored twice; withdraw it and grant another")
            }
            Code::Faulty(faults) => {
                write!(formatter, "the stored document has faults; apply a mended one: {faults}")
            }
        }
    }
}

impl Error for AssembleError {}
