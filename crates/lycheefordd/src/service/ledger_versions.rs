use lycheeford_policy::{LedgerBucket, TimeMs};

use crate::versioned::Versioned;

/// The latest version of each bucket that this daemon has read or written, and when it first did.
///
/// A bucket's clock advances by the time for which one process has known a version,
/// which is at most the time for which the version has been stored.
#[derive(Debug, Default)]
pub(crate) struct LedgerVersions {
    /// Sorted by bucket.
    buckets: Vec<SeenBucket>,
}

#[derive(Debug)]
struct SeenBucket {
    name: String,
    version: Option<u64>,
    seen_at: TimeMs,
}

impl LedgerVersions {
    /// Returns the time in ms for which this daemon has known the version that was read.
    pub(super) fn elapsed_ms(
        &mut self,
        now: TimeMs,
        name: &str,
        read: &Versioned<LedgerBucket>,
    ) -> u64 {
        match self.position(name) {
            Ok(index) if self.buckets[index].version == read.version => {
                now.since_ms(self.buckets[index].seen_at)
            }
            _ => {
                self.record_version(now, name, read.version);
                0
            }
        }
    }

    pub(super) fn record_version(&mut self, now: TimeMs, name: &str, version: Option<u64>) {
        let seen = SeenBucket { name: name.to_owned(), version, seen_at: now };
        match self.position(name) {
            Ok(index) => self.buckets[index] = seen,
            Err(index) => self.buckets.insert(index, seen),
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.buckets.binary_search_by(|bucket| bucket.name.as_str().cmp(name))
    }
}
