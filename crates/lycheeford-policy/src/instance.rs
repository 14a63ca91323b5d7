use std::fmt::{self, Display};

use crate::{Incarnation, Name};

/// One life of the process on one host.
///
/// What is recorded for an instance is never valid for a later one: a
/// restarted process has forgotten what it promised.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// The host.
    pub host: Name,
    /// The life of its process.
    pub incarnation: Incarnation,
}

impl Instance {
    /// Returns the instance `incarnation` of `host`.
    pub fn new(host: impl Into<Name>, incarnation: u64) -> Instance {
        Instance { host: host.into(), incarnation: Incarnation(incarnation) }
    }

    /// Tells whether `self` is a later life of the host of `other`.
    pub fn succeeds(&self, other: &Instance) -> bool {
        self.host == other.host && self.incarnation > other.incarnation
    }
}

impl Display for Instance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.host, self.incarnation.0)
    }
}
