use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;

use crate::failure::Failure;

/// The format in which results and failures are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    Text,
    Json,
}

impl Output {
    /// Prints a result to standard output, as `text` or as `value` in JSON.
    pub(crate) fn result(self, value: &impl Serialize, text: impl Display) {
        match self {
            Output::Text => print(&text.to_string()),
            Output::Json => print(&to_pretty_json(value)),
        }
    }

    /// Prints a failure to standard error.
    pub(crate) fn failure(self, failure: &Failure) {
        match self {
            Output::Text => eprintln!("{}", failure.message),
            Output::Json => {
                let error = FailureReport { exit: failure.exit as u8, message: &failure.message };
                eprintln!("{}", to_pretty_json(&error));
            }
        }
    }
}

/// Prints text to standard output.
///
/// Write errors are ignored, because a reader such as `head` may close the pipe early.
pub(crate) fn print(text: &str) {
    let mut stdout = io::stdout().lock();
    let _ = writeln!(stdout, "{}", text.trim_end());
}

#[derive(Debug, Serialize)]
struct FailureReport<'a> {
    exit: u8,
    message: &'a str,
}

fn to_pretty_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
