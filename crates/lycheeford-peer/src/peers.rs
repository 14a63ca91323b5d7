use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use async_std::channel::{Sender, TrySendError, bounded};
use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use lycheeford_policy::Name;
use lycheeford_wire::{Hello, Message};

use crate::inbound::accept_loop;
use crate::lane::{Lane, beat_lane, message_lane};
use crate::{PeerHandler, PeerLimits};

/// Another daemon that this daemon connects to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the daemon's host.
    pub host: Name,
    /// The address at which the daemon accepts connections of other daemons.
    pub address: SocketAddr,
}

/// The result of [`Peers::send`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The message was queued; it may still be lost.
    Queued,
    /// The message was dropped, since the member's queue is full.
    QueueFull,
    /// The message was dropped, since the host isn't a member.
    UnknownHost,
}

/// The connections of this daemon to all members of the fleet.
#[derive(Debug)]
pub struct Peers<I> {
    local: Arc<Hello>,
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

impl<I: PeerHandler> Peers<I> {
    /// Starts accepting connections at `listener`, without any members yet.
    pub fn start(
        listener: TcpListener,
        local: Hello,
        limits: PeerLimits,
        inbox: Arc<I>,
    ) -> Peers<I> {
        let limits = Arc::new(limits);
        task::spawn(accept_loop(listener, limits.clone(), inbox.clone()));
        Peers { local: Arc::new(local), limits, inbox, members: Mutex::new(Vec::new()) }
    }

    /// Replaces the members, keeping the connections to those that remain.
    pub fn set_members(&self, mut wanted: Vec<Member>) {
        wanted.retain(|member| member.host != self.local.host);
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
    pub fn send(&self, host: &str, message: Message) -> SendOutcome {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(index) = members.binary_search_by(|c| c.member.host.as_str().cmp(host)) else {
            return SendOutcome::UnknownHost;
        };
        match members[index].queue.try_send(message) {
            Ok(()) => SendOutcome::Queued,
            Err(TrySendError::Full(_)) => SendOutcome::QueueFull,
            Err(TrySendError::Closed(_)) => SendOutcome::UnknownHost,
        }
    }

    /// Queues `message` for every member.
    pub fn send_all(&self, message: &Message) {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        for connected in members.iter() {
            // A full queue drops the message, as a lossy network would.
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
            local: self.local.clone(),
            limits: self.limits.clone(),
            inbox: self.inbox.clone(),
        }
    }
}

impl Connected {
    fn close(self) {
        // The message lane ends by itself when the sender of its queue is dropped.
        task::spawn(self.beats.cancel());
    }
}
