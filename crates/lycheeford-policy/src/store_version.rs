use std::fmt;

/// The number of low bits of [`StoreVersion::to_number`] that hold the revision.
const REVISION_BITS: u32 = 40;
const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;

/// A version of the platform's store, or of one of its objects.
///
/// A store that is restored from an older copy gives out revisions again, so that a revision alone
/// doesn't tell which of two states is newer. The era tells them apart: it rises with each restore.
/// See docs/PLATFORM.md, "A store that comes back from an older copy".
///
/// ```
/// use lycheeford_policy::StoreVersion;
///
/// let before = StoreVersion { era: 1, revision: 900 };
/// let restored = StoreVersion { era: 2, revision: 880 };
/// assert!(restored > before);
/// assert_eq!(StoreVersion::from_number(restored.to_number()), restored);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// Rises by one each time the store is restored from an older copy, from
    /// [`StoreVersion::FIRST_ERA`].
    pub era: u64,
    /// Rises by one with each change within an era.
    pub revision: u64,
}

impl StoreVersion {
    /// The era of a store that was never restored, or doesn't say.
    pub const FIRST_ERA: u64 = 1;

    /// Returns a number in the same order as the versions, which serves as fencing token and in
    /// messages. Before the first restore it is the revision.
    pub const fn to_number(self) -> u64 {
        let revision = if self.revision > REVISION_MAX { REVISION_MAX } else { self.revision };
        (self.era.saturating_sub(StoreVersion::FIRST_ERA) << REVISION_BITS) | revision
    }

    /// Returns the version with this number.
    pub const fn from_number(number: u64) -> StoreVersion {
        let era = (number >> REVISION_BITS) + StoreVersion::FIRST_ERA;
        StoreVersion { era, revision: number & REVISION_MAX }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}
