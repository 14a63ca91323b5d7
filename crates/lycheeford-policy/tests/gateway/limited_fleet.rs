//! A fleet of hosts that send requests to one rate-limited target, in virtual time.

use std::net::SocketAddr;

use lycheeford_policy::{
    Name, PeerState, PeerVisibility, PermitAnswer, PermitAsk, PermitGranter, PermitRank, ShortKey,
    TargetBelief, TargetLife, permit_granter,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::world::{at, name};

pub(crate) const TARGET: TargetLife = TargetLife { target: ShortKey(7), life: 1 };
/// The network delay of a message, and the duration of a request.
const NETWORK_DELAY_MS: u64 = 2;
const REQUEST_MS: u64 = 300;
/// How long a request may wait for a permit.
const WAIT_MS_MAX: u64 = 1_000;
/// The rule that is checked: within any `WINDOW_MS`, the target gets at most `TOLERANCE` times its
/// limit and `SLACK` requests more. The limit binds the fleet `BINDS_AFTER_MS` after the target
/// first named one, and a host `KNOWN_AFTER_MS` after it got the first answer with a limit.
const BINDS_AFTER_MS: u64 = 3_000;
const KNOWN_AFTER_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// How long a host asks for no permit of a rank after a question without an answer.
const SILENT_PAUSE_MS: u64 = 300;

/// How long hosts take for one that they no longer understand to be one that they hear.
const UNREAD_WITHIN_MS: u64 = 1_500;

/// A change or a fault of the fleet or the target.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    /// The target states this limit in its answers from now on, or none.
    SetLimit(Option<f64>),
    /// All hosts are restarted.
    RestartAll,
    /// The host that grants permits is killed; the others notice within `noticed_ms`.
    KillKeeper { noticed_ms: u64 },
    /// The host that grants permits is suspended for `for_ms`.
    FreezeKeeper { for_ms: u64, noticed_ms: u64 },
    /// A host starts that will grant the permits from then on; the others see it within `seen_ms`.
    KeeperJoins { seen_ms: u64 },
    /// For `for_ms`, each half of the hosts gets reports from its own half only.
    Cut { for_ms: u64 },
    /// Within `for_ms` all hosts are replaced, one after the other, by a build that understands
    /// nothing of the one before, nor the other way round.
    Upgrade { for_ms: u64 },
}

pub(crate) struct LimitCase {
    pub(crate) what: &'static str,
    pub(crate) hosts: usize,
    pub(crate) events: &'static [(u64, Event)],
    /// The requests a second that only this target can serve, and those that other targets can,
    /// too.
    pub(crate) needed_per_s: f64,
    pub(crate) spare_per_s: f64,
    /// The part of the messages between hosts that is lost.
    pub(crate) lost_part: f64,
    pub(crate) for_ms: u64,
    /// The least part of its limit that the target must get, counted from 3 s after `used_from_ms`.
    pub(crate) used_part: f64,
    pub(crate) used_from_ms: u64,
}

pub(crate) fn visibility(part: f64, hosts: usize) -> PeerVisibility {
    PeerVisibility { part, hosts, pause_ms: 250, is_new_fleet: false }
}

pub(crate) fn address(host: usize) -> SocketAddr {
    ([127, 0, 0, 1], 10_000 + host as u16).into()
}

/// Hosts that send requests to one target and report its limit to each other.
pub(crate) struct LimitedFleet {
    pub(crate) hosts: Vec<Host>,
    ms: u64,
    random: StdRng,
    limit: Option<f64>,
    /// When the target first named a limit.
    named_ms: Option<u64>,
    /// Every limit that the target named, with the time from which it did.
    limits: Vec<(u64, f64)>,
    in_flight: Vec<(u64, usize, Message)>,
    pub(crate) arrivals: Vec<Arrival>,
    /// Coming changes of the hosts' views: the time, the host, the other host, and whether it is
    /// seen.
    views: Vec<(u64, usize, usize, bool)>,
    lost_part: f64,
    last_number: u64,
    /// Coming replacements by another build: the time and the host.
    replacements: Vec<(u64, usize)>,
}

pub(crate) struct Host {
    name: Name,
    is_up: bool,
    /// Whether the host was replaced by another build.
    is_replaced: bool,
    frozen_until_ms: u64,
    /// The time until which the rule doesn't count the host, which has just started or was
    /// suspended.
    exempt_until_ms: u64,
    pub(crate) belief: TargetBelief,
    granter: PermitGranter,
    /// Whether the host sees each of the others.
    sees: Vec<bool>,
    hosts_known: usize,
    pending_asks: Vec<PendingAsk>,
    /// When the host first got an answer with a limit since its start.
    limit_known_ms: Option<u64>,
}

struct PendingAsk {
    number: u64,
    rank: PermitRank,
    deadline_ms: u64,
}

#[derive(Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) ms: u64,
    /// Whether the rule bound the sender at that time.
    is_bound: bool,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Ask { per_s: f64, age_ms: u64, ask: PermitAsk },
    Reply { number: u64, answer: PermitAnswer },
    LimitSeen { per_s: Option<f64>, took_ms: u64 },
    LimitChanged { per_s: Option<f64> },
    Request,
    Answer { per_s: Option<f64>, sent_ms: u64 },
}

impl LimitedFleet {
    pub(crate) fn start(case: &LimitCase) -> LimitedFleet {
        let host = |index: usize| Host::start(index, case.hosts);
        LimitedFleet {
            hosts: (0..case.hosts).map(host).collect(),
            ms: 0,
            random: StdRng::seed_from_u64(24),
            limit: None,
            named_ms: None,
            limits: Vec::new(),
            in_flight: Vec::new(),
            arrivals: Vec::new(),
            views: Vec::new(),
            lost_part: case.lost_part,
            last_number: 0,
            replacements: Vec::new(),
        }
    }

    pub(crate) fn run(&mut self, case: &LimitCase, events: &[(u64, Event)]) {
        let (mut needed, mut spare) = (0.0, 0.0);
        for ms in 0..case.for_ms {
            self.ms = ms;
            for (_, event) in events.iter().filter(|(at_ms, _)| *at_ms == ms) {
                self.apply_event(*event);
            }
            self.replace_due();
            self.apply_view_changes();
            self.deliver();
            for host in 0..self.hosts.len() {
                self.expire_asks(host);
                self.answer(host);
            }
            // Demand is random.
            needed += case.needed_per_s / 1_000.0 * self.random.random_range(0.0..2.0);
            spare += case.spare_per_s / 1_000.0 * self.random.random_range(0.0..2.0);
            while needed >= 1.0 {
                needed -= 1.0;
                let priority = self.random.random_range(0..3);
                self.request(PermitRank::Needed { priority });
            }
            while spare >= 1.0 {
                spare -= 1.0;
                self.request(PermitRank::Spare);
            }
        }
    }

    fn apply_event(&mut self, event: Event) {
        let (ms, hosts) = (self.ms, self.hosts.len());
        match event {
            Event::SetLimit(limit) => {
                self.limit = limit;
                if let Some(per_s) = limit {
                    self.named_ms.get_or_insert(ms);
                    self.limits.push((ms, per_s));
                }
            }
            Event::RestartAll => {
                for index in 0..hosts {
                    self.hosts[index] = Host::start(index, hosts);
                    self.hosts[index].exempt_until_ms = ms + BINDS_AFTER_MS;
                    // Each host finds the others at another time.
                    self.discover_all_within(index, 1_000);
                }
            }
            Event::KillKeeper { noticed_ms } => {
                let granter = self.granter();
                self.hosts[granter].is_up = false;
                self.change_views_within(granter, false, noticed_ms);
            }
            Event::FreezeKeeper { for_ms, noticed_ms } => {
                let granter = self.granter();
                self.hosts[granter].frozen_until_ms = ms + for_ms;
                self.hosts[granter].exempt_until_ms = ms + for_ms + BINDS_AFTER_MS;
                self.change_views_within(granter, false, noticed_ms);
                for index in 0..hosts {
                    let seen_ms = ms + for_ms + self.random.random_range(0..500);
                    self.views.push((seen_ms, index, granter, true));
                }
            }
            Event::KeeperJoins { seen_ms } => {
                let index = hosts;
                let new_name = self.name_of_next_granter();
                for host in &mut self.hosts {
                    host.sees.push(false);
                    host.hosts_known += 1;
                }
                let mut host = Host::start(index, hosts + 1);
                host.name = new_name;
                host.exempt_until_ms = ms + BINDS_AFTER_MS;
                self.hosts.push(host);
                self.discover_all_within(index, seen_ms);
                self.change_views_within(index, true, seen_ms);
            }
            Event::Upgrade { for_ms } => {
                let due_ms = |index: usize| ms + for_ms * index as u64 / hosts as u64;
                self.replacements = (0..hosts).map(|index| (due_ms(index), index)).collect();
            }
            Event::Cut { for_ms } => {
                for index in 0..hosts {
                    for other in (0..hosts).filter(|other| other % 2 != index % 2) {
                        let lost_ms = ms + self.random.random_range(0..700);
                        self.views.push((lost_ms, index, other, false));
                        self.views.push((ms + for_ms + 300, index, other, true));
                    }
                }
            }
        }
    }

    /// Replaces the hosts that are due by another build; those of either build soon see only each
    /// other.
    fn replace_due(&mut self) {
        let ms = self.ms;
        let is_due = |(due_ms, _): &(u64, usize)| *due_ms <= ms;
        let due: Vec<usize> =
            self.replacements.iter().filter(|at| is_due(at)).map(|at| at.1).collect();
        self.replacements.retain(|at| !is_due(at));
        for index in due {
            let hosts = self.hosts.len();
            self.hosts[index] = Host::start(index, hosts);
            self.hosts[index].is_replaced = true;
            self.hosts[index].exempt_until_ms = ms + BINDS_AFTER_MS;
            self.hosts[index].sees.fill(false);
            for other in (0..hosts).filter(|other| *other != index) {
                let is_understood = self.hosts[other].is_replaced;
                let noticed_ms = ms + self.random.random_range(0..UNREAD_WITHIN_MS);
                self.views.push((noticed_ms, other, index, is_understood));
                self.views.push((noticed_ms, index, other, is_understood));
            }
        }
    }

    /// Returns a host name that makes its host the one that grants the target's permits.
    fn name_of_next_granter(&self) -> Name {
        let known = |host: &Host| (host.name.clone(), PeerState::Ready);
        let mut hosts: Vec<_> = self.hosts.iter().map(known).collect();
        for number in 0..100_000 {
            let new = name(&format!("new-{number}"));
            hosts.push((new.clone(), PeerState::Ready));
            if permit_granter(TARGET, &hosts) == Some(&new) {
                return new;
            }
            hosts.pop();
        }
        panic!("no name makes a host the one that grants permits among {} hosts", hosts.len());
    }

    /// Makes all hosts notice at random times within `within_ms` that a host came or went.
    fn change_views_within(&mut self, seen: usize, is_there: bool, within_ms: u64) {
        for index in (0..self.hosts.len()).filter(|index| *index != seen) {
            let seen_ms = self.ms + self.random.random_range(0..within_ms);
            self.views.push((seen_ms, index, seen, is_there));
        }
    }

    /// Makes a starting host find all others at a random time within `within_ms`.
    fn discover_all_within(&mut self, index: usize, within_ms: u64) {
        let seen_ms = self.ms + self.random.random_range(0..within_ms);
        for other in (0..self.hosts.len()).filter(|other| *other != index) {
            self.hosts[index].sees[other] = false;
            if self.hosts[other].is_up {
                self.views.push((seen_ms, index, other, true));
            }
        }
    }

    fn apply_view_changes(&mut self) {
        let ms = self.ms;
        let hosts = &mut self.hosts;
        self.views.retain(|(when, index, seen, is_there)| {
            if *when <= ms {
                hosts[*index].sees[*seen] = *is_there;
            }
            *when > ms
        });
    }

    /// Returns the host that grants permits, as seen by a host that sees all running ones.
    fn granter(&self) -> usize {
        let up = self.hosts.iter().filter(|host| host.is_up);
        let hosts: Vec<_> = up.map(|host| (host.name.clone(), PeerState::Ready)).collect();
        let granter = permit_granter(TARGET, &hosts).unwrap();
        self.hosts.iter().position(|host| host.name == *granter).unwrap()
    }

    fn granter_seen_by(&self, index: usize) -> usize {
        let host = &self.hosts[index];
        let is_seen = |other: &usize| *other == index || host.sees[*other];
        let seen: Vec<usize> = (0..self.hosts.len()).filter(is_seen).collect();
        let named = |other: &usize| (self.hosts[*other].name.clone(), PeerState::Ready);
        let hosts: Vec<_> = seen.iter().map(named).collect();
        let granter = permit_granter(TARGET, &hosts).unwrap();
        seen[hosts.iter().position(|(name, _)| name == granter).unwrap()]
    }

    fn visibility(&self, index: usize) -> PeerVisibility {
        let host = &self.hosts[index];
        let heard = 1 + host.sees.iter().filter(|is_seen| **is_seen).count();
        visibility(heard as f64 / host.hosts_known as f64, host.hosts_known)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.hosts[from].is_replaced != self.hosts[to].is_replaced {
            return;
        }
        if from != to && self.random.random_bool(self.lost_part) {
            return;
        }
        let delay_ms = if from == to { 0 } else { NETWORK_DELAY_MS };
        self.in_flight.push((self.ms + delay_ms, to, message));
    }

    fn deliver(&mut self) {
        let ms = self.ms;
        let mut due = Vec::new();
        self.in_flight.retain(|entry| {
            let is_due = entry.0 <= ms;
            if is_due {
                due.push(*entry);
            }
            !is_due
        });
        for (_, to, message) in due {
            if self.hosts[to].frozen_until_ms > ms {
                self.in_flight.push((self.hosts[to].frozen_until_ms, to, message));
            } else if let Message::Request = message {
                self.arrive(to);
            } else if self.hosts[to].is_up {
                self.receive(to, message);
            }
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = at(self.ms);
        match message {
            Message::Ask { per_s, age_ms, ask } => {
                self.hosts[to].granter.ask(now, TARGET, per_s, now - age_ms, ask);
            }
            Message::Reply { number, answer } => self.receive_reply(to, number, answer),
            Message::LimitSeen { per_s, took_ms } => self.receive_limit(to, per_s, took_ms),
            Message::LimitChanged { per_s } => {
                self.hosts[to].belief.record_limit(now, per_s, now);
            }
            Message::Answer { per_s, sent_ms } => {
                if per_s.is_some() {
                    self.hosts[to].limit_known_ms.get_or_insert(self.ms);
                }
                if self.hosts[to].belief.record_limit(now, per_s, at(sent_ms)) {
                    let granter = self.granter_seen_by(to);
                    let took_ms = self.ms - sent_ms;
                    self.send(to, granter, Message::LimitSeen { per_s, took_ms });
                }
            }
            Message::Request => {}
        }
    }

    /// Records a limit at the host that grants permits, which announces a change to all others.
    fn receive_limit(&mut self, granter: usize, per_s: Option<f64>, took_ms: u64) {
        let now = at(self.ms);
        if self.hosts[granter].granter.record_limit(now, TARGET, per_s, now - took_ms) {
            self.hosts[granter].belief.record_limit(now, per_s, now);
            for other in (0..self.hosts.len()).filter(|other| *other != granter) {
                self.send(granter, other, Message::LimitChanged { per_s });
            }
        }
    }

    fn receive_reply(&mut self, to: usize, number: u64, answer: PermitAnswer) {
        let now = at(self.ms);
        let host = &mut self.hosts[to];
        let Some(index) =
            host.pending_asks.iter().position(|pending_asks| pending_asks.number == number)
        else {
            return;
        };
        let pending_asks = host.pending_asks.swap_remove(index);
        match answer {
            PermitAnswer::Granted { per_s } => {
                host.belief.record_limit(now, Some(per_s), now);
                self.forward(to);
            }
            PermitAnswer::Unlimited => {
                host.belief.record_limit(now, None, now);
                self.forward(to);
            }
            PermitAnswer::Denied { wait_ms, .. } => {
                host.belief.permit_denied(now, pending_asks.rank, now + wait_ms);
            }
        }
    }

    /// Ends a host's questions for permits that were not answered in time.
    fn expire_asks(&mut self, index: usize) {
        let (ms, now) = (self.ms, at(self.ms));
        let host = &mut self.hosts[index];
        let mut unanswered = Vec::new();
        host.pending_asks.retain(|pending_asks| {
            if pending_asks.deadline_ms <= ms {
                unanswered.push(pending_asks.rank);
            }
            pending_asks.deadline_ms > ms
        });
        for rank in unanswered {
            host.belief.permit_denied(now, rank, now + SILENT_PAUSE_MS);
        }
    }

    /// Answers the questions for permits that a host got.
    fn answer(&mut self, index: usize) {
        if !self.hosts[index].is_up || self.hosts[index].frozen_until_ms > self.ms {
            return;
        }
        let visibility = self.visibility(index);
        for (ask, answer) in self.hosts[index].granter.answers(at(self.ms), &visibility) {
            let asker = usize::from(ask.asker.port() - 10_000);
            self.send(index, asker, Message::Reply { number: ask.number, answer });
        }
    }

    /// Makes a request arrive at a random host.
    fn request(&mut self, rank: PermitRank) {
        let now = at(self.ms);
        let index = self.random.random_range(0..self.hosts.len());
        let host = &self.hosts[index];
        if !host.is_up || host.frozen_until_ms > self.ms {
            return;
        }
        let Some((per_s, named_at)) = host.belief.limit() else { return self.forward(index) };
        if host.belief.denied_until(now, rank).is_some() {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let patience_ms = if rank == PermitRank::Spare { 0 } else { WAIT_MS_MAX };
        let ask = PermitAsk { asker: address(index), number, rank, patience_ms };
        let deadline_ms = self.ms + patience_ms + 60;
        self.hosts[index].pending_asks.push(PendingAsk { number, rank, deadline_ms });
        let granter = self.granter_seen_by(index);
        let age_ms = now.since_ms(named_at);
        self.send(index, granter, Message::Ask { per_s, age_ms, ask });
    }

    fn forward(&mut self, index: usize) {
        self.in_flight.push((self.ms + NETWORK_DELAY_MS, index, Message::Request));
    }

    /// Makes a request of a host reach the target.
    fn arrive(&mut self, index: usize) {
        let ms = self.ms;
        let host = &self.hosts[index];
        let is_limit_known =
            host.limit_known_ms.is_some_and(|limit_known_ms| limit_known_ms + KNOWN_AFTER_MS <= ms);
        let is_bound = is_limit_known && ms >= host.exempt_until_ms;
        self.arrivals.push(Arrival { ms, is_bound });
        let answer = Message::Answer { per_s: self.limit, sent_ms: ms - NETWORK_DELAY_MS };
        self.in_flight.push((ms + REQUEST_MS, index, answer));
    }

    pub(crate) fn check_limit(&self, what: &str) {
        let Some(named_ms) = self.named_ms else { return };
        let is_counted =
            |arrival: &&Arrival| arrival.is_bound && arrival.ms >= named_ms + BINDS_AFTER_MS;
        let counted: Vec<u64> =
            self.arrivals.iter().filter(is_counted).map(|arrival| arrival.ms).collect();
        for (first, from_ms) in counted.iter().enumerate() {
            let until_ms = from_ms + WINDOW_MS;
            let got = counted[first..].iter().take_while(|ms| **ms < until_ms).count();
            let allowed = self.limit_over(*from_ms, until_ms) * TOLERANCE + SLACK;
            assert!(
                got as f64 <= allowed,
                "{what}: {got} requests from {from_ms} ms on, allowed {allowed}"
            );
        }
    }

    /// Returns how many requests the limits in force allow between two times.
    fn limit_over(&self, from_ms: u64, until_ms: u64) -> f64 {
        let ends = self.limits.iter().skip(1).map(|(ms, _)| *ms).chain([u64::MAX]);
        let over = self.limits.iter().zip(ends).map(|((begin_ms, per_s), end_ms)| {
            let overlap_ms = until_ms.min(end_ms).saturating_sub(from_ms.max(*begin_ms));
            per_s * overlap_ms as f64 / 1_000.0
        });
        over.sum()
    }

    /// Checks that the requests that the target's limit allows are used.
    pub(crate) fn check_use(&self, what: &str, case: &LimitCase) {
        let from_ms = case.used_from_ms + 3_000;
        let got = self.arrivals.iter().filter(|arrival| arrival.ms >= from_ms).count();
        let least = self.limit_over(from_ms, case.for_ms) * case.used_part;
        assert!(
            got as f64 >= least,
            "{what}: {got} requests since {from_ms} ms, expected at least {least}"
        );
    }
}

impl Host {
    fn start(index: usize, hosts: usize) -> Host {
        Host {
            name: name(&format!("host-{index}")),
            is_up: true,
            is_replaced: false,
            frozen_until_ms: 0,
            exempt_until_ms: 0,
            belief: TargetBelief::default(),
            granter: PermitGranter::default(),
            sees: (0..hosts).map(|other| other != index).collect(),
            hosts_known: hosts,
            pending_asks: Vec::new(),
            limit_known_ms: None,
        }
    }
}
