use super::peer_table::ReportedPlacement;
use super::short_key::ShortKey;
use crate::Name;

/// Maximum number of changes that are kept for hosts with an older version.
const CHANGES_MAX: usize = 4_096;

/// Changes of what engines can run, which the holder of the order lease reports to the other hosts.
///
/// The store shows the same changes later, or never for adapters, and watching it closely would
/// cost each host one call per change. Each change has a version, by which other hosts request the
/// changes that they lack.
#[derive(Debug, Default)]
pub struct PlacementLog {
    /// Sorted by version; only the last change of each target and name is kept.
    changes: Vec<ReportedPlacement>,
    version: u64,
}

impl PlacementLog {
    /// Records whether requests for `name` can run at `engine`; returns whether this changed.
    pub fn note(&mut self, engine: &Name, name: ShortKey, is_ready: bool) -> bool {
        let target = ShortKey::of(engine);
        let is_same = |change: &ReportedPlacement| change.target == target && change.name == name;
        if let Some(index) = self.changes.iter().position(is_same) {
            if self.changes[index].is_ready == is_ready {
                return false;
            }
            self.changes.remove(index);
        }
        if self.changes.len() >= CHANGES_MAX {
            self.changes.remove(0);
        }
        self.version += 1;
        self.changes.push(ReportedPlacement { target, name, version: self.version, is_ready });
        true
    }

    /// Applies the changes of another log, oldest first; returns those that are new.
    pub fn take<'a>(&mut self, changes: &'a [ReportedPlacement]) -> &'a [ReportedPlacement] {
        let known = self.version;
        let index = changes.partition_point(|change| change.version <= known);
        for change in &changes[index..] {
            self.changes.retain(|old| old.target != change.target || old.name != change.name);
            if self.changes.len() >= CHANGES_MAX {
                self.changes.remove(0);
            }
            self.changes.push(*change);
            self.version = change.version;
        }
        &changes[index..]
    }

    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the changes after `version`, oldest first.
    pub fn changes_since(&self, version: u64) -> &[ReportedPlacement] {
        let index = self.changes.partition_point(|change| change.version <= version);
        &self.changes[index..]
    }
}
