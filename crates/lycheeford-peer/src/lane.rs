use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::channel::Receiver;
use async_std::task;
use lycheeford_policy::Name;
use lycheeford_wire::{Beat, Hello, HostReport, Message, WireError};

use crate::link::Link;
use crate::{BeatFailure, PeerHandler, PeerLimits};

/// The data that both lanes to a member need.
pub(crate) struct Lane<I> {
    pub(crate) host: Name,
    pub(crate) address: SocketAddr,
    pub(crate) local: Arc<Hello>,
    pub(crate) limits: Arc<PeerLimits>,
    pub(crate) inbox: Arc<I>,
}

/// Exchanges beats with one member until the task is cancelled.
pub(crate) async fn beat_lane<I: PeerHandler>(lane: Lane<I>) {
    let mut connection: Option<Link> = None;
    let mut sequence = 0;
    loop {
        sequence += 1;
        let is_reused = connection.is_some();
        match exchange_beat(&lane, connection.take(), sequence).await {
            Ok((link, report, age_ms)) => {
                connection = Some(link);
                if report.host == lane.host {
                    lane.inbox.reply_received(report, age_ms);
                } else {
                    connection = None;
                    lane.inbox.beat_failed(&lane.host, BeatFailure::OtherHost);
                }
                pause(lane.limits.beat_interval_ms).await;
            }
            // The old connection may have stopped responding, so a fresh one is tried before the
            // member is reported as unresponsive.
            Err(_) if is_reused => {}
            Err(error) => {
                lane.inbox.beat_failed(&lane.host, beat_failure(&error));
                pause(lane.limits.reconnect_ms).await;
            }
        }
    }
}

async fn exchange_beat<I: PeerHandler>(
    lane: &Lane<I>,
    connection: Option<Link>,
    sequence: u64,
) -> io::Result<(Link, HostReport, u64)> {
    let mut link = match connection {
        Some(link) => link,
        None => Link::connect(lane.address, &lane.local, &lane.limits).await?,
    };
    let sent_at = Instant::now();
    // The member learns the spare tokens from this host's replies to its own beats.
    let report = HostReport { spare: Vec::new(), ..lane.inbox.report() };
    let beat = Beat { sequence, report };
    link.send(Message::Beat(beat), lane.limits.answer_ms_max).await?;
    let unread = |error: &WireError| lane.inbox.message_unread(&lane.host, None, error);
    loop {
        match link.receive(lane.limits.answer_ms_max, unread).await? {
            Message::BeatReply(reply) if reply.sequence == sequence => {
                return Ok((link, reply.report, sent_at.elapsed().as_millis() as u64));
            }
            _ => {}
        }
    }
}

fn beat_failure(error: &io::Error) -> BeatFailure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => BeatFailure::Refused,
        _ => BeatFailure::NoReply,
    }
}

/// Sends queued messages to one member until the sender of the queue is dropped.
pub(crate) async fn message_lane<I: PeerHandler>(lane: Lane<I>, queue: Receiver<Message>) {
    let mut connection: Option<Link> = None;
    let mut sequence = 0;
    while let Ok(first) = queue.recv().await {
        let mut batch = vec![first];
        while batch.len() < lane.limits.batch_messages_max
            && let Ok(next) = queue.try_recv()
        {
            batch.push(next);
        }
        sequence += 1;
        let is_reused = connection.is_some();
        let mut sent = send_batch(&lane, connection.take(), &batch, sequence).await;
        if sent.is_err() && is_reused {
            sent = send_batch(&lane, None, &batch, sequence).await;
        }
        connection = sent.ok();
    }
}

async fn send_batch<I: PeerHandler>(
    lane: &Lane<I>,
    connection: Option<Link>,
    batch: &[Message],
    sequence: u64,
) -> io::Result<Link> {
    let mut link = match connection {
        Some(link) => link,
        None => Link::connect(lane.address, &lane.local, &lane.limits).await?,
    };
    for message in batch {
        link.send(message.clone(), lane.limits.answer_ms_max).await?;
    }
    link.send(Message::Flush(sequence), lane.limits.answer_ms_max).await?;
    let unread = |error: &WireError| lane.inbox.message_unread(&lane.host, None, error);
    loop {
        if link.receive(lane.limits.answer_ms_max, unread).await? == Message::Flushed(sequence) {
            return Ok(link);
        }
    }
}

async fn pause(ms: u64) {
    task::sleep(Duration::from_millis(ms)).await;
}
