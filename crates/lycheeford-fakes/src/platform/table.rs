use std::collections::VecDeque;
use std::time::Instant;

use serde_json::{Value, json};

/// The number of changes kept for watches.
const EVENTS_KEPT: usize = 2_048;

/// The number of versions kept of each object, for reads that lag.
const VERSIONS_KEPT: usize = 16;

/// Objects by kind and name, with their recent versions.
#[derive(Debug, Default)]
pub(super) struct ObjectTable {
    revision: u64,
    /// Sorted by kind and name.
    entries: Vec<Entry>,
    /// The newest changes, oldest first.
    events: VecDeque<Event>,
}

#[derive(Debug)]
struct Entry {
    kind: String,
    name: String,
    /// Oldest first; a deletion leaves a version without a value.
    versions: Vec<Version>,
}

#[derive(Debug, Clone)]
struct Version {
    revision: u64,
    value: Option<Value>,
}

#[derive(Debug)]
struct Event {
    revision: u64,
    at: Instant,
    kind: String,
    name: String,
    value: Option<Value>,
}

#[derive(Debug, Clone, Copy)]
pub(super) enum Condition {
    Any,
    Absent,
    Version(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PutError {
    Conflict,
    Absent,
}

impl ObjectTable {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newest revision written up to `at`, or the one before all kept changes if `at`
    /// is absent, which means a time before the machine's start.
    pub(super) fn revision_before(&self, at: Option<Instant>) -> u64 {
        let first_after = self.events.iter().find(|event| at.is_none_or(|at| event.at > at));
        first_after.map_or(self.revision, |event| event.revision - 1)
    }

    /// Returns whether all changes after the revision are still kept.
    pub(super) fn has_all_events_after(&self, after: u64) -> bool {
        self.events.front().is_none_or(|oldest| after + 1 >= oldest.revision)
    }

    /// Returns the object's version and value as of a revision.
    pub(super) fn object(&self, kind: &str, name: &str, as_of: u64) -> Option<(u64, Value)> {
        let index = self.position(kind, name).ok()?;
        self.entries[index].value(as_of)
    }

    /// Returns every object of a kind as of a revision, in the wire format.
    pub(super) fn objects(&self, kind: &str, as_of: u64) -> Vec<Value> {
        let start = self.entries.partition_point(|entry| entry.kind.as_str() < kind);
        self.entries[start..]
            .iter()
            .take_while(|entry| entry.kind == kind)
            .filter_map(|entry| {
                let (version, value) = entry.value(as_of)?;
                Some(json!({
                    "kind": kind, "name": entry.name, "version": version, "value": value,
                }))
            })
            .collect()
    }

    /// Returns the changes of a kind in the range `after < revision <= up_to`, in the wire format.
    pub(super) fn events(&self, kind: &str, after: u64, up_to: u64) -> Vec<Value> {
        let newer = self.events.partition_point(|event| event.revision <= after);
        self.events
            .iter()
            .skip(newer)
            .filter(|event| event.kind == kind && event.revision <= up_to)
            .map(|event| {
                json!({
                    "object": {
                        "kind": event.kind,
                        "name": event.name,
                        "version": event.revision,
                        "value": event.value,
                    },
                    "deleted": event.value.is_none(),
                })
            })
            .collect()
    }

    pub(super) fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        condition: Condition,
    ) -> Result<u64, PutError> {
        let current = self.object(kind, name, u64::MAX).map(|(version, _)| version);
        let as_expected = match condition {
            Condition::Any => true,
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current == Some(version),
        };
        if !as_expected {
            return Err(PutError::Conflict);
        }
        Ok(self.record(kind, name, Some(value)))
    }

    pub(super) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
    ) -> Result<u64, PutError> {
        let (current, _) = self.object(kind, name, u64::MAX).ok_or(PutError::Absent)?;
        match condition {
            Condition::Version(version) if version != current => Err(PutError::Conflict),
            Condition::Absent => Err(PutError::Conflict),
            _ => Ok(self.record(kind, name, None)),
        }
    }

    /// Goes back to a revision; later changes are gone, and their revisions are given out again.
    pub(super) fn restore(&mut self, revision: u64) {
        self.revision = revision;
        self.events.retain(|event| event.revision <= revision);
        for entry in &mut self.entries {
            entry.versions.retain(|version| version.revision <= revision);
        }
    }

    fn record(&mut self, kind: &str, name: &str, value: Option<Value>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let index = self.position(kind, name).unwrap_or_else(|index| {
            let entry =
                Entry { kind: kind.to_owned(), name: name.to_owned(), versions: Vec::new() };
            self.entries.insert(index, entry);
            index
        });
        let versions = &mut self.entries[index].versions;
        versions.push(Version { revision, value: value.clone() });
        if versions.len() > VERSIONS_KEPT {
            versions.remove(0);
        }
        self.events.push_back(Event {
            revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            value,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
        revision
    }

    fn position(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (entry.kind.as_str(), entry.name.as_str()).cmp(&(kind, name)))
    }
}

impl Entry {
    fn value(&self, as_of: u64) -> Option<(u64, Value)> {
        let version = self.versions.iter().rfind(|version| version.revision <= as_of)?;
        Some((version.revision, version.value.clone()?))
    }
}
