use super::target_entry::TargetEntry;
use crate::Name;

/// The changes that are kept for others; who lacks more asks the store.
const CHANGES_MAX: usize = 256;
/// The changes of one revision that a message may hold at most.
const ONE_REVISION_MAX: usize = 128;

/// A change of the list of targets that matters to hosts which give no orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// A target came, or changed its life, address, places or state.
    Put(TargetEntry),
    /// An entry went.
    Gone(Name),
}

/// Changes that one host tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ToldChanges {
    /// The revision after which these are all that matter.
    pub after: u64,
    /// The revision up to which they are.
    pub up_to: u64,
    /// The changes with their revisions, in order.
    pub changes: Vec<(u64, TargetChange)>,
}

/// The last changes of the list of targets, so that few hosts ask the store for them.
///
/// A release replaces targets one after the other, and a crash takes several at once. If
/// each host asked the store after each change, calls would grow with hosts and with changes.
/// So a host that asked tells the others what changed, and they tell it on. A host that
/// lacks more than anybody still knows, or hears nobody, asks the store itself.
#[derive(Debug, Clone, Default)]
pub struct TargetLog {
    /// The revision after which the changes are all that matter.
    after: u64,
    /// The revision up to which they are.
    up_to: u64,
    /// In the order of their revisions.
    changes: Vec<(u64, TargetChange)>,
}

impl TargetLog {
    /// Returns the revision up to which this host knows all that matters.
    pub fn known(&self) -> u64 {
        self.up_to
    }

    /// Returns the revision of the last change that matters, as far as this host keeps any.
    pub fn changed(&self) -> u64 {
        self.changes.last().map_or(self.after, |(revision, _)| *revision)
    }

    /// Takes in that all is known up to a revision, though not by which changes.
    pub fn restart(&mut self, up_to: u64) {
        *self = TargetLog { after: up_to, up_to, changes: Vec::new() };
    }

    /// Takes in the changes after `after` up to `up_to`, as the store told them.
    pub fn asked(&mut self, after: u64, up_to: u64, changes: Vec<(u64, TargetChange)>) {
        if after > self.up_to {
            self.restart(after);
        }
        self.extend(up_to, changes);
    }

    /// Takes in what another host told; returns the changes that weren't known.
    ///
    /// What leaves a gap is passed over.
    pub fn take(&mut self, told: ToldChanges) -> Vec<TargetChange> {
        let ToldChanges { after, up_to, changes } = told;
        if after > self.up_to || up_to <= self.up_to {
            return Vec::new();
        }
        let known = self.up_to;
        let is_news = |(revision, _): &(u64, TargetChange)| *revision > known;
        let news: Vec<_> = changes.into_iter().filter(is_news).collect();
        self.extend(up_to, news.clone());
        news.into_iter().map(|(_, change)| change).collect()
    }

    /// Returns what to tell a host that knows all up to `known`, at most `changes_max` changes
    /// unless the first ones have the same revision, which are told together or not at all.
    pub fn since(&self, known: u64, changes_max: usize) -> Option<ToldChanges> {
        if known < self.after || known >= self.up_to {
            return None;
        }
        let first = self.changes.partition_point(|(revision, _)| *revision <= known);
        let rest = &self.changes[first..];
        let told = told_together(rest, changes_max);
        if told > changes_max.max(ONE_REVISION_MAX) {
            return None;
        }
        let up_to = match rest[..told].last() {
            Some((revision, _)) if told < rest.len() => *revision,
            _ => self.up_to,
        };
        Some(ToldChanges { after: known, up_to, changes: rest[..told].to_vec() })
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

/// Returns how many changes to tell without parting those of one revision.
fn told_together(changes: &[(u64, TargetChange)], changes_max: usize) -> usize {
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
