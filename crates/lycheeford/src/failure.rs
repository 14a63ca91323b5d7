use std::process::ExitCode;

use lycheeford_operator::{ClientCategory, ClientError, OperatorErrorCode};

/// The exit code of the tool; docs/OPERATING-CLI.md lists the codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    Done = 0,
    Refused = 1,
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
    WaitTimedOut = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Why a run of the tool failed, with its exit code.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    pub(crate) message: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, message: impl Into<String>) -> Failure {
        Failure { exit, message: message.into() }
    }
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Failure {
        let is_conflict =
            error.refusal().is_some_and(|refusal| refusal.code == OperatorErrorCode::Conflict);
        let exit = match error.category() {
            _ if is_conflict => Exit::Conflict,
            ClientCategory::Unreachable => Exit::Unreachable,
            _ => Exit::Refused,
        };
        Failure::new(exit, error.to_string())
    }
}
