use std::fmt::{self, Display};

use crate::{Incarnation, Name};

/// One incarnation of the process on a host.
///
/// Records about an instance never apply to a later instance: a restarted process has lost its
/// state and does not know its earlier commitments.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// The name of the host.
    pub host: Name,
    /// The incarnation of the process on the host.
    pub incarnation: Incarnation,
}

impl Instance {
    /// Returns the instance `incarnation` of `host`.
    pub fn new(host: impl Into<Name>, incarnation: u64) -> Instance {
        Instance { host: host.into(), incarnation: Incarnation(incarnation) }
    }

    /// Returns whether `self` is a later incarnation on the same host as `other`.
    pub fn succeeds(&self, other: &Instance) -> bool {
        self.host == other.host && self.incarnation > other.incarnation
    }
}

impl Display for Instance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.host, self.incarnation.0)
    }
}
