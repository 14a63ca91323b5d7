use super::target_entry::TargetEntry;
use crate::Name;

/// Maximum number of changes that are kept for other hosts; a host that lacks more queries the
/// store.
const CHANGES_MAX: usize = 256;
/// Maximum number of changes of a single revision in one message.
const ONE_REVISION_MAX: usize = 128;
/// Maximum length of the names in the changes of one message, which must fit into a datagram of
/// 64 KB beside the rest of a report.
const NAME_BYTES_MAX: usize = 48 << 10;

/// A change of the list of targets that matters to hosts that do not give orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// A target was added, or changed its life, address, slots or state.
    Put(TargetEntry),
    /// The entry of the target with this id disappeared.
    Gone(Name),
}

impl TargetChange {
    /// Returns the length of the names that other hosts are told.
    fn name_bytes(&self) -> usize {
        match self {
            TargetChange::Gone(id) => id.len(),
            TargetChange::Put(entry) => {
                let TargetEntry { id, service, version, failure_domain, residency, .. } = entry;
                let models = residency.models.iter();
                let loaded = models.flat_map(|model| model.adapters.iter().chain([&model.name]));
                let names = [id, service, version, failure_domain].into_iter().chain(loaded);
                names.map(|name| name.len()).sum()
            }
        }
    }
}

/// Changes that one host sends to another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetChangeBatch {
    /// Revision after which `changes` holds every relevant change.
    pub after: u64,
    /// Revision up to which `changes` holds every relevant change.
    pub up_to: u64,
    /// Changes with their revisions, in order.
    pub changes: Vec<(u64, TargetChange)>,
}

/// The latest changes of the list of targets, shared between hosts so that few of them query the
/// store.
///
/// A release replaces targets one after the other, and a crash removes several at once. If each
/// host queried the store after each change, the number of calls would grow with hosts and with
/// changes. So a host that queried the store reports the changes to others, which pass them on. A
/// host that lacks more changes than any other host still keeps, or that receives no reports,
/// queries the store itself.
#[derive(Debug, Clone, Default)]
pub struct TargetLog {
    /// Revision after which `changes` holds every relevant change.
    after: u64,
    /// Revision up to which `changes` holds every relevant change.
    up_to: u64,
    /// Sorted by revision.
    changes: Vec<(u64, TargetChange)>,
}

impl TargetLog {
    /// Returns the revision up to which this host knows every relevant change.
    pub fn known(&self) -> u64 {
        self.up_to
    }

    /// Returns the revision of the last relevant change that this host still knows.
    pub fn changed(&self) -> u64 {
        self.changes.last().map_or(self.after, |(revision, _)| *revision)
    }

    /// Records that the list is known up to a revision, but not the changes that led to it.
    pub fn restart(&mut self, up_to: u64) {
        *self = TargetLog { after: up_to, up_to, changes: Vec::new() };
    }

    /// Records the changes after `after` up to `up_to`, as read from the store.
    pub fn asked(&mut self, after: u64, up_to: u64, changes: Vec<(u64, TargetChange)>) {
        if self.up_to == 0 {
            // The first list doesn't say which targets have left before it.
            return self.restart(up_to);
        }
        if after > self.up_to {
            self.restart(after);
        }
        self.extend(up_to, changes);
    }

    /// Applies changes sent by another host; returns those that are new.
    ///
    /// Changes that would leave a gap are ignored.
    pub fn take(&mut self, batch: TargetChangeBatch) -> Vec<TargetChange> {
        let TargetChangeBatch { after, up_to, changes } = batch;
        if after > self.up_to || up_to <= self.up_to {
            return Vec::new();
        }
        let known = self.up_to;
        let is_new = |(revision, _): &(u64, TargetChange)| *revision > known;
        let new_changes: Vec<_> = changes.into_iter().filter(is_new).collect();
        self.extend(up_to, new_changes.clone());
        new_changes.into_iter().map(|(_, change)| change).collect()
    }

    /// Returns the changes to send to a host that knows all up to `known`.
    ///
    /// Returns at most `changes_max` changes, unless the first ones have the same revision: these
    /// are sent together or not at all. Changes whose names don't fit into a message aren't sent.
    pub fn since(&self, known: u64, changes_max: usize) -> Option<TargetChangeBatch> {
        if known < self.after || known >= self.up_to {
            return None;
        }
        let first = self.changes.partition_point(|(revision, _)| *revision <= known);
        let rest = &self.changes[first..];
        let mut name_bytes = 0;
        let fits = |(_, change): &&(u64, TargetChange)| {
            name_bytes += change.name_bytes();
            name_bytes <= NAME_BYTES_MAX
        };
        let fitting = rest.iter().take_while(fits).count();
        let count = batch_len(rest, changes_max.min(fitting));
        if count > fitting || count > changes_max.max(ONE_REVISION_MAX) {
            return None;
        }
        let up_to = match rest[..count].last() {
            Some((revision, _)) if count < rest.len() => *revision,
            _ => self.up_to,
        };
        Some(TargetChangeBatch { after: known, up_to, changes: rest[..count].to_vec() })
    }

    fn extend(&mut self, up_to: u64, changes: Vec<(u64, TargetChange)>) {
        let known = self.up_to;
        self.changes.extend(changes.into_iter().filter(|(revision, _)| *revision > known));
        self.up_to = self.up_to.max(up_to);
        let surplus = self.changes.len().saturating_sub(CHANGES_MAX);
        if let Some((revision, _)) = self.changes.drain(..surplus).next_back() {
            self.after = revision;
        }
    }
}

/// Returns how many changes to send without splitting those of one revision.
fn batch_len(changes: &[(u64, TargetChange)], changes_max: usize) -> usize {
    if changes.len() <= changes_max {
        return changes.len();
    }
    let first_left_out = changes[changes_max].0;
    let before = changes.partition_point(|(revision, _)| *revision < first_left_out);
    if before > 0 {
        return before;
    }
    changes.partition_point(|(revision, _)| *revision <= first_left_out)
}
