use lycheeford_wire::{Hello, HostReport, Message};

/// Takes what arrives from other daemons.
///
/// The calls come from connection tasks and must not wait.
pub trait Inbox: Send + Sync + 'static {
    /// Returns what this daemon says of itself in a beat.
    fn report(&self) -> HostReport;

    /// Takes a member's answer to a beat, which is at most `age_ms` old.
    fn answered(&self, report: HostReport, age_ms: u64);

    /// Takes a report that came unasked, so that its age isn't known.
    ///
    /// It doesn't say what its sender could lend; only answers do.
    /// It may have waited in a buffer for as long as this process was paused.
    fn told(&self, report: HostReport);

    /// Notes that a beat over a fresh connection to `host` went without an answer.
    fn missed(&self, host: &str, how: Missed);

    /// Takes any other message.
    fn message(&self, from: &Hello, message: Message);
}

/// How a member failed to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missed {
    /// Nothing listens at the member's address, so its process is gone.
    Refused,
    /// No answer came in time, or the connection broke.
    Silent,
    /// Another host answered at the member's address.
    OtherHost,
}
