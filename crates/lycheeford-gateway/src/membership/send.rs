use std::net::SocketAddr;

use async_std::net::UdpSocket;
use slog::warn;

use super::wire::{self, Message};
use crate::state::State;

/// Messages that couldn't be sent and aren't logged yet.
#[derive(Debug, Default)]
pub(crate) struct Unsent {
    messages: u64,
    /// The address and the error of the last failure.
    last: Option<(SocketAddr, String)>,
}

impl Unsent {
    /// Counts an event that was dropped because the queue was full.
    pub(crate) fn count_overflow(&mut self) {
        self.messages += 1;
    }
}

/// Sends a message to another host's peer address; returns its size in bytes.
///
/// A message that can't be sent is treated like a lost one; a later message replaces it.
pub(super) async fn send(
    state: &State,
    socket: &UdpSocket,
    message: Message,
    address: SocketAddr,
) -> usize {
    let encoded = wire::encode(message);
    if let Err(error) = socket.send_to(&encoded, address).await {
        let mut unsent = state.unsent();
        unsent.messages += 1;
        unsent.last = Some((address, error.to_string()));
    }
    encoded.len()
}

/// Logs the number of messages that couldn't be sent since the last call, if any.
pub(crate) fn log_unsent(state: &State) {
    let Unsent { messages, last } = std::mem::take(&mut *state.unsent());
    if messages > 0 {
        let (address, error) =
            last.map_or((None, None), |(address, error)| (Some(address.to_string()), Some(error)));
        warn!(state.log, "report_unsent";
            "messages" => messages, "address" => address, "error" => error);
    }
}
