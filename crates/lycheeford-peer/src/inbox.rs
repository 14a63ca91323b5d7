use lycheeford_policy::Name;
use lycheeford_wire::{Hello, HostReport, Message, WireError};

/// Handles the messages and beats received from other daemons.
///
/// The methods are called by connection tasks and must not block.
pub trait PeerHandler: Send + Sync + 'static {
    /// Returns the state that this daemon reports in its beats and replies.
    fn report(&self) -> HostReport;

    /// Handles a member's reply to a beat, with a report that is at most `age_ms` old.
    fn reply_received(&self, report: HostReport, age_ms: u64);

    /// Handles the report in a beat of a member, whose age is unknown.
    ///
    /// The beat may have waited in a buffer for as long as this process was
    /// paused. Its report doesn't contain the tokens that the member could
    /// lend; only replies do.
    fn beat_received(&self, from: &Hello, report: HostReport);

    /// Records that a beat over a fresh connection to `host` got no valid reply.
    fn beat_failed(&self, host: &str, how: BeatFailure);

    /// Records a message of a member whose content this build doesn't know. `build` is the name of the
    /// member's build if it said it.
    fn message_unread(&self, host: &Name, build: Option<&Name>, error: &WireError);

    /// Handles any other message.
    fn message_received(&self, from: &Hello, message: Message);
}

/// How a member failed to reply to a beat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatFailure {
    /// The connection was refused: nothing listens at the member's address, so its process is gone.
    Refused,
    /// No reply arrived in time, or the connection failed.
    NoReply,
    /// Another host replied at the member's address.
    OtherHost,
}
