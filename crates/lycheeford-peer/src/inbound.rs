use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use lycheeford_wire::{Beat, Hello, Message, WireError};

use crate::link::Link;
use crate::{PeerHandler, PeerLimits};

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE_MS: u64 = 50;

pub(crate) async fn accept_loop<I: PeerHandler>(
    listener: TcpListener,
    limits: Arc<PeerLimits>,
    inbox: Arc<I>,
) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        if open_connections.load(Ordering::Relaxed) >= limits.connections_max {
            continue;
        }
        open_connections.fetch_add(1, Ordering::Relaxed);
        let (limits, inbox, open_connections) =
            (limits.clone(), inbox.clone(), open_connections.clone());
        task::spawn(async move {
            // A failed connection isn't reported, since the other side connects again.
            let _ = serve(stream, &limits, &*inbox).await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve<I: PeerHandler>(
    stream: TcpStream,
    limits: &PeerLimits,
    inbox: &I,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut link = Link::new(stream, limits);
    let Message::Hello(from) = link.receive(limits.answer_ms_max, |_| {}).await? else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    loop {
        let unread =
            |error: &WireError| inbox.message_unread(&from.host, from.build.as_ref(), error);
        let message = link.receive(limits.idle_ms_max, unread).await?;
        if let Some(reply) = handle_message(&from, message, inbox) {
            link.send(reply, limits.answer_ms_max).await?;
        }
    }
}

fn handle_message<I: PeerHandler>(from: &Hello, message: Message, inbox: &I) -> Option<Message> {
    match message {
        Message::Beat(beat) => {
            inbox.beat_received(from, beat.report);
            let reply = Beat { sequence: beat.sequence, report: inbox.report() };
            Some(Message::BeatReply(reply))
        }
        Message::Flush(sequence) => Some(Message::Flushed(sequence)),
        other => {
            inbox.message_received(from, other);
            None
        }
    }
}
