use lycheeford_wire::Message;

use crate::state::State;

/// Sends a message to a peer; does nothing before the peer connections are set up.
pub(crate) fn send(state: &State, host: &str, message: Message) {
    if let Some(peers) = state.peers.get() {
        // A lost message is requested again or superseded by a later one.
        let _ = peers.send(host, message);
    }
}

/// Sends a message to every peer; does nothing before the peer connections are set up.
pub(crate) fn send_all(state: &State, message: &Message) {
    if let Some(peers) = state.peers.get() {
        peers.send_all(message);
    }
}
