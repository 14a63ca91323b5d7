use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::UdpSocket;
use lycheeford_policy::{
    Hearing, LimitKeeper, Name, PeerState, PermitAsk, TargetLife, TimeMs, limit_keeper,
};
use slog::info;

use super::send::send;
use super::wire::{HeardLimit, LimitNews, Message, PermitReply, PermitRequest};
use crate::request::take_told_limit;
use crate::state::State;

/// The least interval between limit announcements to all hosts. Changes in between spread by the
/// replies to permit requests.
const TELL_PAUSE_MS: u64 = 1_000;

/// An event that may change who gets the permits of rate-limited targets.
#[derive(Debug, Clone)]
pub(crate) enum LimitEvent {
    /// A request at this host needs a permit.
    Ask(PermitRequest),
    /// A target sent this host a new limit, or the end of its limit.
    Word(HeardLimit),
    /// A request at another host needs a permit.
    Asked(PermitRequest),
    /// A target sent another host a new limit, or the end of its limit.
    Heard(HeardLimit),
}

/// Grants the permits of the targets assigned to this host and forwards events on other targets,
/// until the future is dropped.
pub(crate) async fn keep_limits(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut keeper = Keeper { state, socket, limits: LimitKeeper::default(), told_at: None };
    loop {
        let events = &keeper.state.limit_events.1;
        let event = match keeper.next_ms() {
            Some(wait_ms) => timeout(Duration::from_millis(wait_ms), events.recv()).await.ok(),
            None => Some(events.recv().await),
        };
        match event {
            Some(Ok(event)) => keeper.take(event).await,
            // A permit has become available.
            None => {}
            Some(Err(_)) => return,
        }
        keeper.answer().await;
    }
}

struct Keeper {
    state: Arc<State>,
    socket: Arc<UdpSocket>,
    limits: LimitKeeper,
    /// When a limit was last announced to all hosts.
    told_at: Option<TimeMs>,
}

impl Keeper {
    /// Handles an event, or forwards it to the host that grants the target's permits.
    async fn take(&mut self, event: LimitEvent) {
        match event {
            LimitEvent::Ask(request) => match self.elsewhere(request.target) {
                Some(address) => self.send(Message::PermitRequest(request), address).await,
                None => self.ask(request),
            },
            LimitEvent::Word(word) => match self.elsewhere(word.target) {
                Some(address) => self.send(Message::HeardLimit(word), address).await,
                None => self.name(word).await,
            },
            LimitEvent::Asked(request) => self.ask(request),
            LimitEvent::Heard(word) => self.name(word).await,
        }
    }

    fn ask(&mut self, request: PermitRequest) {
        let now = self.state.now();
        let PermitRequest { target, per_s, age_ms, ask } = request;
        self.limits.ask(now, target, per_s, now - age_ms, ask);
    }

    /// Records the limit of a target whose permits this host grants, and announces a change to all
    /// hosts.
    async fn name(&mut self, word: HeardLimit) {
        let now = self.state.now();
        let HeardLimit { target, per_s, took_ms } = word;
        if !self.limits.names(now, target, per_s, now - took_ms) {
            return;
        }
        take_told_limit(&self.state, target, per_s);
        if self.told_at.is_some_and(|at| now.since_ms(at) < TELL_PAUSE_MS) {
            return;
        }
        self.told_at = Some(now);
        let others: Vec<SocketAddr> = {
            let membership = self.state.membership();
            membership.hosts.alive(now).map(|host| host.record.peer_address).collect()
        };
        info!(self.state.log, "limit_told";
            "target_key" => target.target.0, "life" => target.life, "limit_per_s" => per_s,
            "hosts" => others.len());
        for address in others {
            self.send(Message::LimitNews(LimitNews { target, per_s }), address).await;
        }
    }

    /// Replies to the permit requests that can be decided now.
    async fn answer(&mut self) {
        let now = self.state.now();
        let hearing = self.hearing();
        let own_address = self.state.settings.peer_address;
        for (ask, answer) in self.limits.answers(now, &hearing) {
            let PermitAsk { asker, number, .. } = ask;
            if asker == own_address {
                self.state.permits().take_answer(number, answer);
            } else {
                self.send(Message::PermitReply(PermitReply { number, answer }), asker).await;
            }
        }
    }

    async fn send(&self, message: Message, address: SocketAddr) {
        send(&self.state, &self.socket, message, address).await;
    }

    fn next_ms(&self) -> Option<u64> {
        let next_at = self.limits.next_at(&self.hearing())?;
        Some(next_at.since_ms(self.state.now()).max(1))
    }

    fn hearing(&self) -> Hearing {
        let now = self.state.now();
        let membership = self.state.membership();
        membership.settling.limit(membership.hosts.hearing(now))
    }

    /// Returns the address of the host that grants a target's permits, or `None` if it is this
    /// host.
    fn elsewhere(&self, target: TargetLife) -> Option<SocketAddr> {
        let now = self.state.now();
        let me = &self.state.settings.host;
        let own_state = self.state.standing(now);
        let membership = self.state.membership();
        let others = membership.hosts.alive(now);
        let mut hosts: Vec<(Name, PeerState)> =
            others.map(|host| (host.record.host.clone(), host.state)).collect();
        hosts.push((me.clone(), own_state));
        let keeper = limit_keeper(target, &hosts)?;
        let known = membership.hosts.host(keeper).filter(|_| keeper != me)?;
        Some(known.record.peer_address)
    }
}

/// Handles a reply of another host to a permit request.
pub(super) fn take_reply(state: &State, reply: &PermitReply) {
    let PermitReply { number, answer } = reply;
    state.permits().take_answer(*number, *answer);
}
