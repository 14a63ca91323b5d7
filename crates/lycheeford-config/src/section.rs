use serde_yaml_ng::Value;

use crate::fault::{Fault, FaultCategory};
use crate::line::LineRange;
use crate::value::ValueError;

/// A mapping of a YAML file that is read field by field.
///
/// Reading continues after a fault, so that all faults are reported at once.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    entry: String,
    lines: LineRange<'a>,
    fields: Vec<(String, Value)>,
    known_fields: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Section<'a> {
    /// Parses the text of a whole file.
    pub(crate) fn parse(text: &'a str) -> Result<Section<'a>, Fault> {
        let value: Value = serde_yaml_ng::from_str(text).map_err(|error| {
            let line = error.location().map(|location| location.line());
            let message = format!("the text is not YAML: {error}");
            Fault::new(
                FaultCategory::Syntax,
                "",
                "",
                message,
                "correct the YAML syntax of the file",
            )
            .at_line(line)
        })?;
        Ok(Section::new("", LineRange::new(text), value))
    }

    fn new(entry: &str, lines: LineRange<'a>, value: Value) -> Section<'a> {
        let mut section = Section {
            entry: entry.to_owned(),
            lines,
            fields: Vec::new(),
            known_fields: Vec::new(),
            faults: Vec::new(),
        };
        match value {
            Value::Null => {}
            Value::Mapping(mapping) => section.add_fields(mapping),
            _ => {
                section.record_fault(
                    FaultCategory::Syntax,
                    "",
                    "is not a mapping",
                    "write `field: value` pairs",
                );
            }
        }
        section
    }

    fn add_fields(&mut self, mapping: serde_yaml_ng::Mapping) {
        for (key, value) in mapping {
            match key {
                Value::String(key) => self.fields.push((key, value)),
                _ => self.record_fault(
                    FaultCategory::Syntax,
                    "",
                    "has a field whose name is not text",
                    "write the name of a field",
                ),
            }
        }
    }

    /// Sets the entry name of the faults that are recorded from now on.
    pub(crate) fn set_entry_name(&mut self, entry: String) {
        self.entry = entry;
    }

    fn line(&self, field: &str) -> Option<usize> {
        self.lines.field(field).or(self.lines.first())
    }

    /// Records a fault of `field`, or of the whole entry if `field` is empty.
    pub(crate) fn record_fault(
        &mut self,
        category: FaultCategory,
        field: &str,
        message: &str,
        remedy: &str,
    ) {
        let line = if field.is_empty() { self.lines.first() } else { self.line(field) };
        self.faults.push(Fault::new(category, &self.entry, field, message, remedy).at_line(line));
    }

    /// Reads a field that may be absent; a value that can't be read is recorded as a fault.
    pub(crate) fn optional<T>(
        &mut self,
        field: &'static str,
        read: fn(&Value) -> Result<T, ValueError>,
    ) -> Option<T> {
        let value = self.take_field(field)?;
        match read(&value) {
            Ok(value) => Some(value),
            Err(value_error) => {
                self.record_fault(
                    FaultCategory::BadValue,
                    field,
                    &value_error.message,
                    &value_error.remedy,
                );
                None
            }
        }
    }

    /// Reads a field that must be present, and records a fault if it is missing.
    pub(crate) fn required<T>(
        &mut self,
        field: &'static str,
        read: fn(&Value) -> Result<T, ValueError>,
    ) -> Option<T> {
        if !self.fields.iter().any(|(name, _)| name == field) {
            self.known_fields.push(field);
            let remedy = format!("add `{field}: ...`; see docs/CONFIGURATION.md");
            self.record_fault(FaultCategory::MissingField, field, "is missing", &remedy);
            return None;
        }
        self.optional(field, read)
    }

    /// Returns the mapping in `field`, empty if the field is absent.
    pub(crate) fn section(&mut self, field: &'static str) -> Section<'a> {
        let value = self.take_field(field).unwrap_or(Value::Null);
        Section::new(field, self.lines.section(field), value)
    }

    /// Returns each item of the list in `field`.
    pub(crate) fn items(&mut self, field: &'static str) -> Vec<Section<'a>> {
        let values = match self.take_field(field) {
            None | Some(Value::Null) => return Vec::new(),
            Some(Value::Sequence(values)) => values,
            Some(_) => {
                self.record_fault(
                    FaultCategory::Syntax,
                    field,
                    "is not a list",
                    "start each entry with a dash",
                );
                return Vec::new();
            }
        };
        let lines = self.lines.section(field).items(values.len());
        values
            .into_iter()
            .zip(lines)
            .map(|(value, lines)| Section::new(field, lines, value))
            .collect()
    }

    /// Adds the faults of a nested section.
    pub(crate) fn add_faults(&mut self, faults: Vec<Fault>) {
        self.faults.extend(faults);
    }

    /// Returns whether no field is left to read, as in a section that is absent.
    pub(crate) fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// Returns the faults recorded so far, without reporting unread fields as unknown.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Records the fields that were never read as unknown, and returns all faults.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        let unknown: Vec<String> = self.fields.iter().map(|(field, _)| field.clone()).collect();
        let remedy = format!("remove it, or use one of {}", self.known_fields.join(", "));
        for field in unknown {
            self.record_fault(FaultCategory::UnknownField, &field, "is not a known field", &remedy);
        }
        self.faults
    }

    fn take_field(&mut self, field: &'static str) -> Option<Value> {
        self.known_fields.push(field);
        let index = self.fields.iter().position(|(name, _)| name == field)?;
        Some(self.fields.remove(index).1)
    }
}
