use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;

use crate::failure::Failure;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl Output {
    /// Prints a result: `value` as JSON, or `text` for people.
    pub(crate) fn result(self, value: &impl Serialize, text: impl Display) {
        match self {
            Output::Text => print(&text.to_string()),
            Output::Json => print(&pretty(value)),
        }
    }

    /// Prints a failure to the standard error.
    pub(crate) fn failure(self, failure: &Failure) {
        match self {
            Output::Text => eprintln!("{}", failure.message),
            Output::Json => {
                let error = FailureReport { exit: failure.exit as u8, message: &failure.message };
                eprintln!("{}", pretty(&error));
            }
        }
    }
}

/// Prints text; a reader that closed the pipe has seen enough.
pub(crate) fn print(text: &str) {
    let mut stdout = io::stdout().lock();
    let _ = writeln!(stdout, "{}", text.trim_end());
}

#[derive(Debug, Serialize)]
struct FailureReport<'a> {
    exit: u8,
    message: &'a str,
}

fn pretty(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
