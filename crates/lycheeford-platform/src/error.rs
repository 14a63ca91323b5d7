use lycheeford_policy::Name;
use snafu::Snafu;

use crate::UnreadableValue;

/// The failure of a call to the platform.
#[derive(Debug, Snafu)]
pub struct PlatformError(Code);

impl PlatformError {
    /// Returns an error of the given category, for implementations of
    /// [`ObjectStore`](crate::ObjectStore) outside this crate.
    pub fn new(category: Category, message: impl Into<String>) -> PlatformError {
        OtherSnafu { category, message: message.into() }.build().into()
    }

    /// Returns the category, which decides how the caller handles the failure.
    pub fn category(&self) -> Category {
        match &self.0 {
            Code::Conflict { .. } => Category::Conflict,
            Code::TooLarge { .. } => Category::TooLarge,
            Code::WatchTooOld { .. } => Category::WatchTooOld,
            Code::Unreachable { .. } | Code::ReadFailed { .. } | Code::Refused { .. } => {
                Category::Unavailable
            }
            Code::AnswerLost { .. } | Code::Overwritten { .. } | Code::GaveUp { .. } => {
                Category::OutcomeUnknown
            }
            Code::Undecodable { .. } | Code::OtherObject { .. } | Code::Disordered { .. } => {
                Category::Malformed
            }
            Code::Other { category, .. } => *category,
        }
    }
}

impl From<UnreadableValue> for PlatformError {
    fn from(error: UnreadableValue) -> PlatformError {
        UndecodableSnafu { message: error.to_string() }.build().into()
    }
}

/// The category of a failed call, which decides how the caller handles the failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The object isn't at the expected version; read it and decide again.
    Conflict,
    /// The value exceeds the size limit of the platform.
    TooLarge,
    /// The platform no longer keeps the requested changes; list again.
    WatchTooOld,
    /// The platform couldn't be reached, refused the call or didn't answer a read; the call
    /// certainly had no effect.
    Unavailable,
    /// The call may have taken effect, or may still take effect.
    OutcomeUnknown,
    /// The platform's answer is malformed.
    Malformed,
}

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Code {
    #[snafu(display("{kind} {name} has changed; read it and decide again"))]
    Conflict { kind: Name, name: Name },
    #[snafu(display("the value of {kind} {name} is too large; split it"))]
    TooLarge { kind: Name, name: Name },
    #[snafu(display("changes after revision {after} are no longer kept; list again"))]
    WatchTooOld { after: u64 },
    #[snafu(display("can't connect to the platform ({message}); check its address and health"))]
    Unreachable { message: String },
    #[snafu(display("reading from the platform failed ({message}); try again later"))]
    ReadFailed { message: String },
    #[snafu(display("the platform refused the call with status {status}; try again later"))]
    Refused { status: u16 },
    #[snafu(display("the answer to a write was lost ({message}); read the object back"))]
    AnswerLost { message: String },
    #[snafu(display(
        "{kind} {name} was written by another client after a lost answer; read it and decide again"
    ))]
    Overwritten { kind: Name, name: Name },
    #[snafu(display("the write had no known outcome in {give_up_ms} ms; read the object back"))]
    GaveUp { give_up_ms: u64 },
    #[snafu(display("the platform's answer can't be decoded ({message}); check its version"))]
    Undecodable { message: String },
    #[snafu(display("the platform answered with {kind} {name}, which wasn't requested"))]
    OtherObject { kind: Name, name: Name },
    #[snafu(display("the platform's answer contains version {version} out of order or twice"))]
    Disordered { version: u64 },
    #[snafu(display("{message}"))]
    Other { category: Category, message: String },
}
