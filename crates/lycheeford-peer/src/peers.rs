use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use async_std::channel::{Sender, TrySendError, bounded};
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use lycheeford_policy::Name;
use lycheeford_wire::{Hello, Message};

use crate::inbound::accept_loop;
use crate::lane::{Lane, beat_lane, message_lane};
use crate::{Inbox, PeerLimits};

/// Another daemon and where it listens for peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host's name.
    pub host: Name,
    /// Where its daemon listens for peers.
    pub address: SocketAddr,
}

/// What became of a message handed to [`Peers::send`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// It waits for its turn; it may still be lost.
    Queued,
    /// The member's queue is full and the message was dropped.
    Full,
    /// No such member.
    UnknownHost,
}

/// The connections of this daemon to all members.
#[derive(Debug)]
pub struct Peers<I> {
    me: Arc<Hello>,
    limits: Arc<PeerLimits>,
    inbox: Arc<I>,
    members: Mutex<Vec<Connected>>,
}

#[derive(Debug)]
struct Connected {
    member: Member,
    queue: Sender<Message>,
    beats: JoinHandle<()>,
}

impl<I: Inbox> Peers<I> {
    /// Starts to accept connections at `listener`; there are no members yet.
    pub fn start(listener: TcpListener, me: Hello, limits: PeerLimits, inbox: Arc<I>) -> Peers<I> {
        let limits = Arc::new(limits);
        task::spawn(accept_loop(listener, limits.clone(), inbox.clone()));
        Peers { me: Arc::new(me), limits, inbox, members: Mutex::new(Vec::new()) }
    }

    /// Replaces the members; connections to those that stay are kept.
    pub fn set_members(&self, mut wanted: Vec<Member>) {
        wanted.retain(|member| member.host != self.me.host);
        wanted.sort_by(|a, b| a.host.cmp(&b.host));
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let mut kept = Vec::with_capacity(wanted.len());
        for connected in members.drain(..) {
            if wanted.contains(&connected.member) {
                kept.push(connected);
            } else {
                connected.close();
            }
        }
        for member in wanted {
            if !kept.iter().any(|connected| connected.member == member) {
                kept.push(self.connect(member));
            }
        }
        kept.sort_by(|a, b| a.member.host.cmp(&b.member.host));
        *members = kept;
    }

    /// Queues `message` for the member `host`, without waiting.
    pub fn send(&self, host: &str, message: Message) -> Sent {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(index) = members.binary_search_by(|c| c.member.host.as_str().cmp(host)) else {
            return Sent::UnknownHost;
        };
        match members[index].queue.try_send(message) {
            Ok(()) => Sent::Queued,
            Err(TrySendError::Full(_)) => Sent::Full,
            Err(TrySendError::Closed(_)) => Sent::UnknownHost,
        }
    }

    /// Queues `message` for every member.
    pub fn send_all(&self, message: &Message) {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        for connected in members.iter() {
            // A full queue drops the message, as a lossy link would.
            let _ = connected.queue.try_send(message.clone());
        }
    }

    fn connect(&self, member: Member) -> Connected {
        let (queue, receiver) = bounded(self.limits.queue_messages_max);
        task::spawn(message_lane(self.lane(&member), receiver));
        let beats = task::spawn(beat_lane(self.lane(&member)));
        Connected { member, queue, beats }
    }

    fn lane(&self, member: &Member) -> Lane<I> {
        Lane {
            host: member.host.clone(),
            address: member.address,
            me: self.me.clone(),
            limits: self.limits.clone(),
            inbox: self.inbox.clone(),
        }
    }
}

impl Connected {
    fn close(self) {
        // The message lane ends by itself when its queue's sender is gone.
        task::spawn(self.beats.cancel());
    }
}
