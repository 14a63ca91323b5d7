use serde_yaml_ng::Value;

use crate::fault::{Category, Fault};
use crate::line::Lines;
use crate::value::Problem;

/// A mapping of a YAML file that is read field by field.
///
/// Reading goes on after a fault, so that all of them are listed at once.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    entry: String,
    lines: Lines<'a>,
    fields: Vec<(String, Value)>,
    known: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Section<'a> {
    /// Parses the text of a whole file.
    pub(crate) fn parse(text: &'a str) -> Result<Section<'a>, Fault> {
        let value: Value = serde_yaml_ng::from_str(text).map_err(|error| {
            let line = error.location().map(|location| location.line());
            let message = format!("the text is not YAML: {error}");
            Fault::new(Category::Syntax, "", "", message, "mend the layout of the file")
                .at_line(line)
        })?;
        Ok(Section::new("", Lines::new(text), value))
    }

    fn new(entry: &str, lines: Lines<'a>, value: Value) -> Section<'a> {
        let mut section = Section {
            entry: entry.to_owned(),
            lines,
            fields: Vec::new(),
            known: Vec::new(),
            faults: Vec::new(),
        };
        match value {
            Value::Null => {}
            Value::Mapping(mapping) => section.fill(mapping),
            _ => {
                section.fault(
                    Category::Syntax,
                    "",
                    "is not a mapping",
                    "write `field: value` pairs",
                );
            }
        }
        section
    }

    fn fill(&mut self, mapping: serde_yaml_ng::Mapping) {
        for (key, value) in mapping {
            match key {
                Value::String(key) => self.fields.push((key, value)),
                _ => self.fault(
                    Category::Syntax,
                    "",
                    "has a field whose name is not text",
                    "write the name of a field",
                ),
            }
        }
    }

    /// Names the entry in later faults.
    pub(crate) fn rename(&mut self, entry: String) {
        self.entry = entry;
    }

    fn line(&self, field: &str) -> Option<usize> {
        self.lines.field(field).or(self.lines.first())
    }

    /// Records a fault of `field`.
    pub(crate) fn fault(&mut self, category: Category, field: &str, message: &str, remedy: &str) {
        let line = if field.is_empty() { self.lines.first() } else { self.line(field) };
        self.faults.push(Fault::new(category, &self.entry, field, message, remedy).at_line(line));
    }

    /// Reads a field that may be absent.
    pub(crate) fn optional<T>(
        &mut self,
        field: &'static str,
        read: fn(&Value) -> Result<T, Problem>,
    ) -> Option<T> {
        let value = self.take(field)?;
        match read(&value) {
            Ok(value) => Some(value),
            Err(problem) => {
                self.fault(Category::BadValue, field, &problem.message, &problem.remedy);
                None
            }
        }
    }

    /// Reads a field that must be present.
    pub(crate) fn required<T>(
        &mut self,
        field: &'static str,
        read: fn(&Value) -> Result<T, Problem>,
    ) -> Option<T> {
        if !self.fields.iter().any(|(name, _)| name == field) {
            self.known.push(field);
            let remedy = format!("add `{field}: ...`; see docs/CONFIGURATION.md");
            self.fault(Category::MissingField, field, "is missing", &remedy);
            return None;
        }
        self.optional(field, read)
    }

    /// Opens a mapping below `field`, empty if the field is absent.
    pub(crate) fn section(&mut self, field: &'static str) -> Section<'a> {
        let value = self.take(field).unwrap_or(Value::Null);
        Section::new(field, self.lines.section(field), value)
    }

    /// Opens each item of the list below `field`.
    pub(crate) fn items(&mut self, field: &'static str) -> Vec<Section<'a>> {
        let values = match self.take(field) {
            None | Some(Value::Null) => return Vec::new(),
            Some(Value::Sequence(values)) => values,
            Some(_) => {
                self.fault(
                    Category::Syntax,
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

    /// Takes in the faults of a section below this one.
    pub(crate) fn absorb(&mut self, faults: Vec<Fault>) {
        self.faults.extend(faults);
    }

    /// Tells whether no field is left to read.
    pub(crate) fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// Returns the faults so far, without those of unread fields.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Reports the fields that nobody read, and returns all faults.
    pub(crate) fn finish(mut self) -> Vec<Fault> {
        let unknown: Vec<String> = self.fields.iter().map(|(field, _)| field.clone()).collect();
        let remedy = format!("remove it, or use one of {}", self.known.join(", "));
        for field in unknown {
            self.fault(Category::UnknownField, &field, "is not a known field", &remedy);
        }
        self.faults
    }

    fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known.push(field);
        let index = self.fields.iter().position(|(name, _)| name == field)?;
        Some(self.fields.remove(index).1)
    }
}
