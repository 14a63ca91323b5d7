use lycheeford_policy::{Name, TimeMs, build_name};
use lycheeford_wire::WireError;
use slog::warn;

use crate::operation::metrics::Event;
use crate::state::State;

/// The shortest interval between two lines about messages that weren't understood.
const LOG_INTERVAL_MS: u64 = 1_000;

/// When the last message was logged that this build didn't understand.
#[derive(Debug, Default)]
pub(crate) struct UnreadMessages {
    logged_at: Option<TimeMs>,
    /// The messages since then.
    unlogged: u64,
}

impl UnreadMessages {
    /// Counts a message; returns the messages to log if a line is due.
    fn count(&mut self, now: TimeMs) -> Option<u64> {
        self.unlogged += 1;
        if self.logged_at.is_some_and(|at| now.since_ms(at) < LOG_INTERVAL_MS) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}

/// Counts a message of a member that this build doesn't understand, and logs both builds.
pub(crate) fn count_unread(state: &State, host: &Name, build: Option<&Name>, error: &WireError) {
    state.metrics.event(Event::UnreadMessage);
    let due = state.unread_messages.lock().count(state.now());
    if let Some(messages) = due {
        warn!(state.log, "message not understood";
            "peer" => host.as_str(),
            "messages" => messages,
            "error" => %error,
            "build" => build_name().as_str(),
            "peer_build" => build.map(Name::as_str));
    }
}
