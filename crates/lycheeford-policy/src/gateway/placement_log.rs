use super::peer_table::ReportedPlacement;
use super::short_key::ShortKey;
use crate::Name;

/// Changes that are kept for hosts that know an older version.
const CHANGES_MAX: usize = 4_096;

/// What the holder of orders tells the other hosts of what engines can run.
///
/// The store says the same later, or never for adapters, and each host that
/// watched it closely would cost a call for each change. Each change has a
/// version, by which the others ask for what they lack.
#[derive(Debug, Default)]
pub struct PlacementLog {
    /// Sorted by version; only the last change of a target and name is kept.
    changes: Vec<ReportedPlacement>,
    version: u64,
}

impl PlacementLog {
    /// Notes whether requests for `name` can run at `engine`; returns whether that is news.
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

    /// Takes in changes that another log noted, oldest first; returns those that are news.
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
