use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures_util::{SinkExt, StreamExt};
use lycheeford_wire::{Hello, Message, WireError, decode, encode};
use prost::bytes::Bytes;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::PeerLimits;

/// A framed connection to another daemon; every operation on it has a time limit.
pub(crate) struct Link {
    frames: Framed<Compat<TcpStream>, LengthDelimitedCodec>,
}

impl Link {
    pub(crate) fn new(stream: TcpStream, limits: &PeerLimits) -> Link {
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(limits.frame_bytes_max).new_codec();
        Link { frames: Framed::new(stream.compat(), codec) }
    }

    pub(crate) async fn connect(
        address: SocketAddr,
        local: &Hello,
        limits: &PeerLimits,
    ) -> io::Result<Link> {
        let stream = within(limits.connect_ms_max, TcpStream::connect(address)).await?;
        stream.set_nodelay(true)?;
        let mut link = Link::new(stream, limits);
        link.send(Message::Hello(local.clone()), limits.answer_ms_max).await?;
        Ok(link)
    }

    pub(crate) async fn send(&mut self, message: Message, ms_max: u64) -> io::Result<()> {
        within(ms_max, self.frames.send(Bytes::from(encode(message)))).await
    }

    /// Receives the next message whose content is known; calls `unread` for each one before it that
    /// isn't, as a message of another build may be.
    pub(crate) async fn receive(
        &mut self,
        ms_max: u64,
        unread: impl Fn(&WireError),
    ) -> io::Result<Message> {
        loop {
            let frame = within(ms_max, async {
                self.frames.next().await.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
            })
            .await?;
            match decode(&frame) {
                Err(error) if error.is_unknown_content() => unread(&error),
                decoded => {
                    let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
                    return decoded.map_err(invalid);
                }
            }
        }
    }
}

async fn within<T>(ms_max: u64, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    match timeout(Duration::from_millis(ms_max), work).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
