use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::UdpSocket;
use lycheeford_policy::{
    Name, PeerState, PeerVisibility, PermitAsk, PermitGranter, TargetLife, TimeMs, permit_granter,
};
use slog::info;

use super::send::send;
use super::wire::{LimitReport, LimitUpdate, Message, PermitReply, PermitRequest};
use crate::request::update_limit;
use crate::state::State;

/// The least interval between two announcements of limits by this host to all others, whatever the
/// target. Changes in between spread by the replies to permit requests.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// An event that may change who gets the permits of rate-limited targets.
#[derive(Debug, Clone)]
pub(crate) enum LimitEvent {
    /// A request at this host needs a permit.
    LocalRequest(PermitRequest),
    /// A target sent this host a new limit, or the end of its limit.
    LocalLimit(LimitReport),
    /// A request at another host needs a permit.
    PeerRequest(PermitRequest),
    /// A target sent another host a new limit, or the end of its limit.
    PeerLimit(LimitReport),
}

/// Grants the permits of the targets assigned to this host and forwards events on other targets,
/// until the future is dropped.
pub(crate) async fn grant_permits(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut task =
        PermitTask { state, socket, granter: PermitGranter::default(), announced_at: None };
    loop {
        let events = &task.state.limit_events.1;
        let event = match task.next_ms() {
            Some(wait_ms) => timeout(Duration::from_millis(wait_ms), events.recv()).await.ok(),
            None => Some(events.recv().await),
        };
        match event {
            Some(Ok(event)) => task.handle(event).await,
            // A permit has become available.
            None => {}
            Some(Err(_)) => return,
        }
        task.reply().await;
    }
}

struct PermitTask {
    state: Arc<State>,
    socket: Arc<UdpSocket>,
    granter: PermitGranter,
    /// When a limit was last announced to all hosts.
    announced_at: Option<TimeMs>,
}

impl PermitTask {
    /// Handles an event, or forwards it to the host that grants the target's permits.
    async fn handle(&mut self, event: LimitEvent) {
        match event {
            LimitEvent::LocalRequest(request) => match self.granting_host(request.target) {
                Some(address) => self.send(Message::PermitRequest(request), address).await,
                None => self.record_request(request),
            },
            LimitEvent::LocalLimit(observed) => match self.granting_host(observed.target) {
                Some(address) => self.send(Message::LimitReport(observed), address).await,
                None => self.apply_limit(observed).await,
            },
            LimitEvent::PeerRequest(request) => self.record_request(request),
            LimitEvent::PeerLimit(observed) => self.apply_limit(observed).await,
        }
    }

    fn record_request(&mut self, request: PermitRequest) {
        let now = self.state.now();
        let PermitRequest { target, per_s, age_ms, ask } = request;
        self.granter.ask(now, target, per_s, now - age_ms, ask);
    }

    /// Records the limit of a target whose permits this host grants, and announces a change to all
    /// other hosts, unless the last announcement was too recent.
    async fn apply_limit(&mut self, observed: LimitReport) {
        let now = self.state.now();
        let LimitReport { target, per_s, took_ms } = observed;
        if !self.granter.record_limit(now, target, per_s, now - took_ms) {
            return;
        }
        update_limit(&self.state, target, per_s);
        if self.announced_at.is_some_and(|at| now.since_ms(at) < ANNOUNCE_INTERVAL_MS) {
            return;
        }
        self.announced_at = Some(now);
        let others: Vec<SocketAddr> = {
            let membership = self.state.membership();
            membership.hosts.alive(now).map(|host| host.record.peer_address).collect()
        };
        info!(self.state.log, "limit_told";
            "target_key" => target.target.0, "life" => target.life, "limit_per_s" => per_s,
            "hosts" => others.len());
        for address in others {
            self.send(Message::LimitUpdate(LimitUpdate { target, per_s }), address).await;
        }
    }

    /// Replies to the permit requests that can be decided now.
    async fn reply(&mut self) {
        let now = self.state.now();
        let visibility = self.visibility();
        let own_address = self.state.settings.peer_address;
        for (ask, answer) in self.granter.answers(now, &visibility) {
            let PermitAsk { asker, number, .. } = ask;
            if asker == own_address {
                self.state.permits().deliver(number, answer);
            } else {
                self.send(Message::PermitReply(PermitReply { number, answer }), asker).await;
            }
        }
    }

    async fn send(&self, message: Message, address: SocketAddr) {
        send(&self.state, &self.socket, message, address).await;
    }

    fn next_ms(&self) -> Option<u64> {
        let next_at = self.granter.next_at(&self.visibility())?;
        Some(next_at.since_ms(self.state.now()).max(1))
    }

    fn visibility(&self) -> PeerVisibility {
        let now = self.state.now();
        let membership = self.state.membership();
        membership.settling.limit(membership.hosts.visibility(now))
    }

    /// Returns the address of the host that grants a target's permits, or `None` if it is this
    /// host.
    fn granting_host(&self, target: TargetLife) -> Option<SocketAddr> {
        let now = self.state.now();
        let me = &self.state.settings.host;
        let own_state = self.state.serving_state(now);
        let membership = self.state.membership();
        let others = membership.hosts.alive(now);
        let mut hosts: Vec<(Name, PeerState)> =
            others.map(|host| (host.record.host.clone(), host.state)).collect();
        hosts.push((me.clone(), own_state));
        let granter = permit_granter(target, &hosts)?;
        let known = membership.hosts.host(granter).filter(|_| granter != me)?;
        Some(known.record.peer_address)
    }
}

/// Handles a reply of another host to a permit request.
pub(super) fn handle_permit_reply(state: &State, reply: &PermitReply) {
    let PermitReply { number, answer } = reply;
    state.permits().deliver(*number, *answer);
}
