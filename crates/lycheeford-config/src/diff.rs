use std::fmt::{self, Display};

use serde_json::{Map, Value};

use crate::document::Document;

/// One difference between two documents.
#[derive(Debug, Clone, PartialEq)]
pub enum Difference {
    /// An entry that only the new document has.
    Added {
        /// The entry, such as `model ice-chart`.
        entry: String,
    },
    /// An entry that only the old document has.
    Removed {
        /// The entry.
        entry: String,
    },
    /// A field with another value.
    Changed {
        /// The entry.
        entry: String,
        /// The field.
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

/// Lists how `new` differs from `old`, in the order of the entries' names.
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
            (Some(old), Some(new)) => compare(entry, old, new, &mut differences),
        }
    }
    differences
}

fn compare(
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

/// Returns each entry of a document with its fields, sorted.
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
    entries.sort_by(|one, other| one.0.cmp(&other.0));
    entries
}

fn find<'a>(
    sorted: &'a [(String, Map<String, Value>)],
    entry: &str,
) -> Option<&'a Map<String, Value>> {
    let index = sorted.binary_search_by(|(name, _)| name.as_str().cmp(entry)).ok()?;
    Some(&sorted[index].1)
}
