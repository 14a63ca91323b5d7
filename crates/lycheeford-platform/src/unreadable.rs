use std::fmt::Display;

use snafu::Snafu;

/// The longest message; an error may quote a value of any length.
const MESSAGE_BYTES_MAX: usize = 200;

/// Why a stored value can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{message}"))]
pub struct UnreadableValue {
    message: String,
}

impl UnreadableValue {
    /// Returns an error with the beginning of a message.
    pub fn new(message: impl Display) -> UnreadableValue {
        let mut message = message.to_string();
        message.truncate(message.floor_char_boundary(MESSAGE_BYTES_MAX));
        UnreadableValue { message }
    }
}
