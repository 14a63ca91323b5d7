use std::error::Error;
use std::fmt::{self, Display};

/// A fault in a settings file or in the fleet's document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    category: FaultCategory,
    entry: String,
    field: String,
    line: Option<usize>,
    message: String,
    remedy: String,
}

/// The category of a [`Fault`], by which programs can tell faults apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultCategory {
    /// The text isn't YAML, or has a list or mapping where another is expected.
    Syntax,
    /// A field whose name isn't known.
    UnknownField,
    /// A required field that is missing.
    MissingField,
    /// A value that is out of range or of the wrong type.
    BadValue,
    /// A value that conflicts with another entry, or refers to an entry that doesn't exist.
    Conflict,
}

impl Fault {
    pub(crate) fn new(
        category: FaultCategory,
        entry: &str,
        field: &str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Fault {
        Fault {
            category,
            entry: entry.to_owned(),
            field: field.to_owned(),
            line: None,
            message: message.into(),
            remedy: remedy.into(),
        }
    }

    pub(crate) fn at_line(mut self, line: Option<usize>) -> Fault {
        self.line = line;
        self
    }

    /// Returns the category, by which programs can tell faults apart.
    pub fn category(&self) -> FaultCategory {
        self.category
    }

    /// Returns the entry with the fault, such as `model ice-chart`; empty at the top level.
    pub fn entry(&self) -> &str {
        &self.entry
    }

    /// Returns the field with the fault; empty if the fault concerns the whole entry.
    pub fn field(&self) -> &str {
        &self.field
    }

    /// Returns the line in the file, counted from 1, or `None` if it isn't known.
    pub fn line(&self) -> Option<usize> {
        self.line
    }
}

impl Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        for part in [&self.entry, &self.field] {
            if !part.is_empty() {
                write!(formatter, "{part}: ")?;
            }
        }
        write!(formatter, "{}; {}", self.message, self.remedy)
    }
}

/// All faults of a file or merged document, found in one pass.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults {
    file_name: String,
    faults: Vec<Fault>,
}

impl Faults {
    pub(crate) fn new(file_name: &str, faults: Vec<Fault>) -> Faults {
        Faults { file_name: file_name.to_owned(), faults }
    }

    /// Returns the faults in the order in which they were found; never empty.
    pub fn as_slice(&self) -> &[Fault] {
        &self.faults
    }

    /// Returns the name of the file, or an empty string for a merged document.
    pub fn file_name(&self) -> &str {
        &self.file_name
    }
}

impl Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            if !self.file_name.is_empty() {
                write!(formatter, "{}: ", self.file_name)?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl Error for Faults {}
