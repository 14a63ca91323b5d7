use std::fmt::{self, Display};
use std::time::Duration;

use snafu::Snafu;

/// The shortest pause after which the end of an answer is put down to the pause.
const UNREAD_MIN: Duration = Duration::from_millis(500);

/// The failure of a call to a target.
#[derive(Debug)]
pub struct TargetError {
    code: Code,
}

impl TargetError {
    /// Returns the category of the failure.
    pub fn category(&self) -> Category {
        match self.code {
            Code::Request { .. }
            | Code::Connect { .. }
            | Code::ConnectTimeout { .. }
            | Code::WriteNothing { .. } => Category::NotSent,
            Code::WriteTimeout { .. }
            | Code::FirstByteTimeout { .. }
            | Code::BetweenBytesTimeout { .. } => Category::Silent,
            Code::Write { .. } | Code::Read { .. } | Code::Closed => Category::Broken,
            Code::Truncated | Code::EndedEarly { .. } => Category::Truncated,
            Code::Head { .. }
            | Code::Body { .. }
            | Code::Interim
            | Code::OtherRequests
            | Code::Unattributed
            | Code::SecondAnswer
            | Code::TooLarge { .. }
            | Code::SharedMemoryExhausted { .. }
            | Code::FailedAfterPause { .. }
            | Code::EventTooLarge { .. }
            | Code::EventStream { .. }
            | Code::Json { .. }
            | Code::Field { .. }
            | Code::Status { .. }
            | Code::Engine { .. } => Category::Malformed,
        }
    }

    /// Returns whether the target may have run the request.
    ///
    /// False only if the operating system accepted no byte of the request for sending.
    pub fn may_have_run(&self) -> bool {
        self.category() != Category::NotSent
    }

    /// Returns whether answers arrived, but none that could be attributed to this call.
    pub fn is_unattributed(&self) -> bool {
        matches!(self.code, Code::OtherRequests | Code::Unattributed)
    }

    /// Returns whether the answer failed for want of memory in this process, which is no failure of
    /// the target: there was no room for it, or it was left unread for a while before it failed.
    pub fn is_for_want_of_memory(&self) -> bool {
        matches!(self.code, Code::SharedMemoryExhausted { .. } | Code::FailedAfterPause { .. })
    }

    /// Returns whether no process listens at the target's address.
    ///
    /// Only a refused connection proves this; after a time-out the network may be at fault.
    pub fn is_connection_refused(&self) -> bool {
        let Code::Connect { source } = &self.code else { return false };
        source.kind() == std::io::ErrorKind::ConnectionRefused
    }
}

impl TargetError {
    /// Returns the error of a call that the user of the client gave up after `limit_ms`.
    pub fn timed_out(limit_ms: u64) -> TargetError {
        Code::BetweenBytesTimeout { limit_ms }.into()
    }

    /// Returns the error of an answer whose connection ended before it was complete, which shows
    /// in `evidence`.
    pub fn ended_early(evidence: &'static str) -> TargetError {
        Code::EndedEarly { evidence }.into()
    }

    /// Returns the error of an answer that this process left unread for `unread` before it failed.
    ///
    /// A pause of some length explains why its target cut it off, or why it wasn't complete in time.
    pub fn after_pause(self, unread: Duration) -> TargetError {
        let is_effect =
            matches!(self.category(), Category::Silent | Category::Broken | Category::Truncated);
        if !is_effect || unread < UNREAD_MIN {
            return self;
        }
        let unread_ms = u64::try_from(unread.as_millis()).unwrap_or(u64::MAX);
        Code::FailedAfterPause { unread_ms }.into()
    }

    /// Returns the error of an answer that is no continuation of an event stream.
    pub fn invalid_stream(what: &str) -> TargetError {
        Code::EventStream { what: what.to_owned() }.into()
    }

    /// Returns the error of a stream in which no event ended within `limit_bytes`.
    pub fn event_too_large(limit_bytes: usize) -> TargetError {
        Code::EventTooLarge { limit_bytes }.into()
    }
}

impl From<Code> for TargetError {
    fn from(code: Code) -> TargetError {
        TargetError { code }
    }
}

impl Display for TargetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.code.fmt(formatter)
    }
}

impl std::error::Error for TargetError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.code.source()
    }
}

/// The category of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// No byte was sent, so the call can safely be sent again to any target.
    NotSent,
    /// The target, or the network on the way to it, stopped responding.
    Silent,
    /// The connection failed before the complete head of the answer arrived.
    Broken,
    /// The connection ended before the complete body arrived.
    Truncated,
    /// The answer violates the protocol or a size limit, has an unexpected status or content, or
    /// reports an error of the engine; or the memory for collected answers is exhausted.
    Malformed,
}

#[derive(Debug, Snafu)]
pub(crate) enum Code {
    #[snafu(display("the request can't be sent: {what}; correct the request"))]
    Request { what: &'static str },
    #[snafu(display("connecting failed: {source}; check that the target runs"))]
    Connect { source: std::io::Error },
    #[snafu(display("connecting took over {limit_ms} ms; check the network to the target"))]
    ConnectTimeout { limit_ms: u64 },
    #[snafu(display("no byte could be sent: {source}; send the request again"))]
    WriteNothing { source: std::io::Error },
    #[snafu(display("sending failed: {source}; check the target before a resend"))]
    Write { source: std::io::Error },
    #[snafu(display("sending stalled for {limit_ms} ms; check the target on a new connection"))]
    WriteTimeout { limit_ms: u64 },
    #[snafu(display("no answer within {limit_ms} ms; check the target on a new connection"))]
    FirstByteTimeout { limit_ms: u64 },
    #[snafu(display("the answer paused for {limit_ms} ms; check the target on a new connection"))]
    BetweenBytesTimeout { limit_ms: u64 },
    #[snafu(display("reading the answer failed: {source}; check the target before a resend"))]
    Read { source: std::io::Error },
    #[snafu(display("the target closed the connection; check the target before a resend"))]
    Closed,
    #[snafu(display("the answer was truncated; check the target before a resend"))]
    Truncated,
    #[snafu(display("the answer ended early: {evidence}; check the target before a resend"))]
    EndedEarly { evidence: &'static str },
    #[snafu(display("the head of the answer is invalid: {source}; correct the target"))]
    Head { source: lycheeford_http::Error },
    #[snafu(display("the body of the answer is invalid: {source}; correct the target"))]
    Body { source: lycheeford_http::Error },
    #[snafu(display("the target answered 101 or too many interim heads; correct the target"))]
    Interim,
    #[snafu(display("the connection carries answers to other requests; correct the target"))]
    OtherRequests,
    #[snafu(display("the body without a length holds another answer; correct the target"))]
    SecondAnswer,
    #[snafu(display(
        "the answer has no id, or two, on a connection that carried other requests; correct the target"
    ))]
    Unattributed,
    #[snafu(display(
        "the answer is over {limit_bytes} bytes; raise the limit or correct the target"
    ))]
    TooLarge { limit_bytes: usize },
    #[snafu(display(
        "others use up the memory for the answer, of which {held_bytes} bytes were read; check the target before a resend"
    ))]
    SharedMemoryExhausted { held_bytes: usize },
    #[snafu(display(
        "the answer was unread for {unread_ms} ms and then failed; check the target before a resend"
    ))]
    FailedAfterPause { unread_ms: u64 },
    #[snafu(display(
        "no event ended within {limit_bytes} bytes of the stream; correct the target"
    ))]
    EventTooLarge { limit_bytes: usize },
    #[snafu(display("the event stream is invalid: {what}; correct the target"))]
    EventStream { what: String },
    #[snafu(display(
        "the answer isn't the expected JSON: {source}; check the version of the target"
    ))]
    Json { source: serde_json::Error },
    #[snafu(display("the field {field} is invalid: {what}; correct the target"))]
    Field { field: &'static str, what: &'static str },
    #[snafu(display("unexpected status {status}; check the version of the target"))]
    Status { status: u16 },
    #[snafu(display("the engine reported an error: {message}; see the engine's log"))]
    Engine { message: String },
}
