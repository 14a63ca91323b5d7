use lycheeford_wire::Message;

use crate::state::State;

/// Sends a message to a peer, as far as there are peers yet.
pub(crate) fn send(state: &State, host: &str, message: Message) {
    if let Some(peers) = state.peers.get() {
        // Every message is asked for again, or replaced, if it is lost.
        let _ = peers.send(host, message);
    }
}

/// Sends a message to every peer.
pub(crate) fn send_all(state: &State, message: &Message) {
    if let Some(peers) = state.peers.get() {
        peers.send_all(message);
    }
}
