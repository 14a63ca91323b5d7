use std::fmt::{self, Display};
use std::io;

use snafu::Snafu;

/// A failure to read an HTTP message.
#[derive(Debug)]
pub struct Error {
    code: Code,
}

impl Error {
    /// Returns the category, from which the reader decides how to respond.
    pub fn category(&self) -> Category {
        match self.code {
            Code::Closed => Category::Closed,
            Code::Truncated => Category::Truncated,
            Code::TooLarge { .. } | Code::TooManyHeaders { .. } => Category::TooLarge,
            Code::Malformed { .. } => Category::Malformed,
            Code::Read { .. } => Category::Io,
        }
    }
}

impl From<Code> for Error {
    fn from(code: Code) -> Error {
        Error { code }
    }
}

impl Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.code.fmt(formatter)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.code.source()
    }
}

/// The category of a failure to read an HTTP message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The stream ended before the first byte of a message.
    Closed,
    /// The stream ended inside a message.
    Truncated,
    /// A part of the message is larger than its limit.
    TooLarge,
    /// The message violates the protocol.
    Malformed,
    /// Reading the stream failed with an I/O error.
    Io,
}

#[derive(Debug, Snafu)]
pub(crate) enum Code {
    #[snafu(display("the connection was closed; open a new one"))]
    Closed,
    #[snafu(display("the stream ended inside a message; send the complete message"))]
    Truncated,
    #[snafu(display("the {part} is over {limit_bytes} bytes; send less"))]
    TooLarge { part: &'static str, limit_bytes: usize },
    #[snafu(display("there are over {headers_max} headers; send fewer"))]
    TooManyHeaders { headers_max: usize },
    #[snafu(display("{what}"))]
    Malformed { what: &'static str },
    #[snafu(display("reading failed: {source}; open a new connection"))]
    Read { source: io::Error },
}

pub(crate) fn malformed(what: &'static str) -> Error {
    Code::Malformed { what }.into()
}
