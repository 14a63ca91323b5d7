use std::fmt::{self, Display};

use serde_json::{Map, Value};

use crate::document::Document;

/// A difference between two documents.
#[derive(Debug, Clone, PartialEq)]
pub enum Difference {
    /// An entry that exists only in the new document.
    Added {
        /// The list's singular name and the entry's name, such as `model ice-chart`, or `weights`.
        entry: String,
    },
    /// An entry that exists only in the old document.
    Removed {
        /// The list's singular name and the entry's name, such as `model ice-chart`, or `weights`.
        entry: String,
    },
    /// A field whose value differs between the documents.
    Changed {
        /// The list's singular name and the entry's name, such as `model ice-chart`, or `weights`.
        entry: String,
        /// The name of the field within the entry.
        field: String,
        /// The old value as JSON, `null` if absent.
        old: Value,
        /// The new value as JSON, `null` if absent.
        new: Value,
    },
}

impl Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::Added { entry } => write!(formatter, "+ {entry}"),
            Difference::Removed { entry } => write!(formatter, "- {entry}"),
            Difference::Changed { entry, field, old, new } => {
                write!(formatter, "~ {entry}: {field}: {old} -> {new}")
            }
        }
    }
}

/// Lists the differences from `old` to `new`, sorted by entry.
pub fn diff(old: &Document, new: &Document) -> Vec<Difference> {
    let old = flatten(old);
    let new = flatten(new);
    let mut differences = Vec::new();
    let mut entries: Vec<&String> = old.iter().chain(&new).map(|(entry, _)| entry).collect();
    entries.sort();
    entries.dedup();
    for entry in entries {
        match (find(&old, entry), find(&new, entry)) {
            (None, _) => differences.push(Difference::Added { entry: entry.clone() }),
            (_, None) => differences.push(Difference::Removed { entry: entry.clone() }),
            (Some(old), Some(new)) => compare_fields(entry, old, new, &mut differences),
        }
    }
    differences
}

fn compare_fields(
    entry: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    differences: &mut Vec<Difference>,
) {
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    for field in fields {
        let value = |map: &Map<String, Value>| map.get(field).cloned().unwrap_or_default();
        let (old, new) = (value(old), value(new));
        if old != new {
            differences.push(Difference::Changed {
                entry: entry.to_owned(),
                field: field.clone(),
                old,
                new,
            });
        }
    }
}

/// Returns the entries of a document with their fields, sorted by entry.
fn flatten(document: &Document) -> Vec<(String, Map<String, Value>)> {
    let Ok(Value::Object(lists)) = serde_json::to_value(document) else { return Vec::new() };
    let mut entries = Vec::new();
    for (list, value) in lists {
        match value {
            Value::Object(fields) => entries.push((list, fields)),
            Value::Array(items) => entries.extend(items.into_iter().filter_map(|item| {
                let Value::Object(fields) = item else { return None };
                let name = fields.get("name").or(fields.get("path_prefix"))?.as_str()?;
                Some((format!("{} {name}", list.trim_end_matches('s')), fields))
            })),
            _ => {}
        }
    }
    entries.sort_by(|left, right| left.0.cmp(&right.0));
    entries
}

fn find<'a>(
    sorted: &'a [(String, Map<String, Value>)],
    entry: &str,
) -> Option<&'a Map<String, Value>> {
    let index = sorted.binary_search_by(|(name, _)| name.as_str().cmp(entry)).ok()?;
    Some(&sorted[index].1)
}
