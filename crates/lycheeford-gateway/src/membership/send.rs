use std::net::SocketAddr;

use async_std::net::UdpSocket;

use super::wire::{self, Message};

/// Sends a message to where another host takes reports.
pub(super) async fn send(socket: &UdpSocket, message: Message, address: SocketAddr) {
    // A message that can't be sent is like one that is lost; the next one follows.
    let _ = socket.send_to(&wire::encode(message), address).await;
}
