use std::net::SocketAddr;

use async_std::net::UdpSocket;

use super::wire::{self, Message};

/// Sends a message to where another host takes reports; returns its size in bytes.
pub(super) async fn send(socket: &UdpSocket, message: Message, address: SocketAddr) -> usize {
    let encoded = wire::encode(message);
    // A message that can't be sent is like one that is lost; the next one follows.
    let _ = socket.send_to(&encoded, address).await;
    encoded.len()
}
