//! Random histories of hosts that take turns at giving orders, with calls and messages under way.
//!
//! Calls to the store and orders take time and outlive the process that sent them; a write
//! whose answer is lost may be done seconds later; all hosts may restart at once.

use lycheeford_policy::{LeaseExpect, LeaseRecord, LeaseStep, OrderLease, TimeMs};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{at, name};

const HOSTS: [&str; 4] = ["a", "b", "c", "d"];
const LEASE_MS: u64 = 3_000;
const TICK_MS: u64 = 20;
/// After which a host gives a call to the store up.
const CALL_MS_MAX: u64 = 1_000;

/// What goes wrong, and when.
#[derive(Debug, Clone)]
struct Trouble {
    from_ms: u64,
    kind: Kind,
}

#[derive(Debug, Clone)]
enum Kind {
    Freeze {
        host: usize,
        for_ms: u64,
    },
    Restart {
        host: usize,
        down_ms: u64,
    },
    RestartAll {
        down_ms: u64,
    },
    /// Calls do nothing and get no answer, or are done `late_ms` after they were made.
    Silence {
        for_ms: u64,
        late_ms: Option<u64>,
    },
    /// One in `one_in` writes is done without an answer.
    LostAnswers {
        for_ms: u64,
        one_in: u64,
    },
}

/// A call to the store that is under way.
#[derive(Debug, Clone)]
struct Call {
    host: usize,
    life: u64,
    step: LeaseStep,
    acts_ms: u64,
    answers_ms: Option<u64>,
    answer: Option<Answer>,
}

#[derive(Debug, Clone)]
enum Answer {
    Found(Option<(u64, LeaseRecord)>),
    Written(Option<u64>),
}

#[derive(Debug)]
struct Host {
    lease: OrderLease,
    life: u64,
    up_from_ms: u64,
    frozen_until_ms: u64,
    /// The call that is under way, and since when.
    asking: Option<(LeaseStep, u64)>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Order {
    arrives_ms: u64,
    host: usize,
    token: u64,
}

#[derive(Debug, Clone)]
struct Word {
    arrives_ms: u64,
    from: usize,
    to: usize,
    revision: u64,
    renewed_age_ms: u64,
}

struct World {
    ms: u64,
    hosts: Vec<Host>,
    record: Option<(u64, LeaseRecord)>,
    revision: u64,
    calls: Vec<Call>,
    orders: Vec<Order>,
    words: Vec<Word>,
    /// Until when the store is silent, and how late it does what was asked meanwhile.
    silence: (u64, Option<u64>),
    lost_answers: (u64, u64),
    luck: u64,
}

impl World {
    fn new(luck: u64) -> World {
        let host = |host: &&str| Host {
            lease: OrderLease::new(name(host), 1, LEASE_MS),
            life: 1,
            up_from_ms: 0,
            frozen_until_ms: 0,
            asking: None,
        };
        World {
            ms: 0,
            hosts: HOSTS.iter().map(host).collect(),
            record: None,
            revision: 100,
            calls: Vec::new(),
            orders: Vec::new(),
            words: Vec::new(),
            silence: (0, None),
            lost_answers: (0, 1),
            luck: luck | 1,
        }
    }

    /// Returns a number below `bound`.
    fn draw(&mut self, bound: u64) -> u64 {
        self.luck ^= self.luck << 13;
        self.luck ^= self.luck >> 7;
        self.luck ^= self.luck << 17;
        self.luck % bound
    }

    fn now(&self) -> TimeMs {
        at(self.ms)
    }

    fn strike(&mut self, kind: &Kind) {
        match *kind {
            Kind::Freeze { host, for_ms } => {
                self.hosts[host].frozen_until_ms = self.ms + for_ms;
            }
            Kind::Restart { host, down_ms } => self.restart(host, down_ms),
            Kind::RestartAll { down_ms } => {
                for host in 0..HOSTS.len() {
                    let later_ms = self.draw(300);
                    self.restart(host, down_ms + later_ms);
                }
            }
            Kind::Silence { for_ms, late_ms } => self.silence = (self.ms + for_ms, late_ms),
            Kind::LostAnswers { for_ms, one_in } => self.lost_answers = (self.ms + for_ms, one_in),
        }
    }

    fn restart(&mut self, host: usize, down_ms: u64) {
        let life = self.hosts[host].life + 1;
        self.hosts[host] = Host {
            lease: OrderLease::new(name(HOSTS[host]), life, LEASE_MS),
            life,
            up_from_ms: self.ms + down_ms,
            frozen_until_ms: 0,
            asking: None,
        };
    }

    fn tick(&mut self) {
        self.ms += TICK_MS;
        // Other objects change, too.
        self.revision += self.draw(4);
        self.store_acts();
        for host in 0..HOSTS.len() {
            let Host { up_from_ms, frozen_until_ms, .. } = self.hosts[host];
            if self.ms >= up_from_ms && self.ms >= frozen_until_ms {
                self.host_acts(host);
            }
        }
    }

    fn store_acts(&mut self) {
        let ms = self.ms;
        let mut calls = std::mem::take(&mut self.calls);
        calls.sort_by_key(|call| call.acts_ms);
        for call in calls.iter_mut().filter(|call| call.answer.is_none() && call.acts_ms <= ms) {
            call.answer = Some(match &call.step {
                LeaseStep::Write { expect, record } => {
                    Answer::Written(self.store_writes(*expect, record))
                }
                LeaseStep::Idle | LeaseStep::Read => Answer::Found(self.record.clone()),
            });
        }
        calls.retain(|call| {
            call.answer.is_none() || call.answers_ms.is_some_and(|at| at + 1_000 > ms)
        });
        self.calls = calls;
    }

    fn store_writes(&mut self, expect: LeaseExpect, record: &LeaseRecord) -> Option<u64> {
        let known = self.record.as_ref().map(|(revision, _)| *revision);
        let holds = match expect {
            LeaseExpect::Absent => known.is_none(),
            LeaseExpect::Revision(revision) => known == Some(revision),
        };
        if !holds {
            return None;
        }
        self.revision += 1;
        self.record = Some((self.revision, record.clone()));
        Some(self.revision)
    }

    fn host_acts(&mut self, host: usize) {
        let now = self.now();
        let words: Vec<Word> = self
            .words
            .extract_if(.., |word| word.to == host && word.arrives_ms <= self.ms)
            .collect();
        for word in words {
            let holder = name(HOSTS[word.from]);
            self.hosts[host].lease.heard(now, &holder, word.revision, word.renewed_age_ms);
        }
        self.take_answer(host);
        if self.hosts[host].asking.is_none() {
            let step = self.hosts[host].lease.next(now, host as u64);
            if step != LeaseStep::Idle {
                self.hosts[host].lease.asked(now, &step);
                self.hosts[host].asking = Some((step.clone(), self.ms));
                self.call(host, step);
            }
        }
        if let Some(token) = self.hosts[host].lease.token(now) {
            let way_ms = self.hosts[host].lease.order_way_ms();
            let arrives_ms = self.ms + self.draw(way_ms);
            self.orders.push(Order { arrives_ms, host, token });
        }
        if let Some((_, revision, renewed_age_ms)) = self.hosts[host].lease.held(now) {
            for to in (0..HOSTS.len()).filter(|to| *to != host) {
                if self.draw(8) == 0 {
                    let arrives_ms = self.ms + self.draw(400);
                    self.words.push(Word { arrives_ms, from: host, to, revision, renewed_age_ms });
                }
            }
        }
    }

    fn call(&mut self, host: usize, step: LeaseStep) {
        let mut acts_ms = self.ms + self.draw(60);
        let mut answers_ms = Some(acts_ms + self.draw(60));
        let is_write = matches!(step, LeaseStep::Write { .. });
        if self.ms < self.silence.0 {
            let Some(late_ms) = self.silence.1.filter(|_| is_write) else { return };
            acts_ms += self.draw(late_ms + 1);
            answers_ms = None;
        } else if is_write && self.ms < self.lost_answers.0 && self.draw(self.lost_answers.1) == 0 {
            acts_ms += self.draw(2) * self.draw(6_000);
            answers_ms = None;
        }
        let life = self.hosts[host].life;
        self.calls.push(Call { host, life, step, acts_ms, answers_ms, answer: None });
    }

    fn take_answer(&mut self, host: usize) {
        let Some((step, since_ms)) = self.hosts[host].asking.clone() else { return };
        let (ms, now, life) = (self.ms, self.now(), self.hosts[host].life);
        let is_due = |call: &Call| {
            call.host == host
                && call.life == life
                && call.answer.is_some()
                && call.answers_ms.is_some_and(|at| at <= ms)
        };
        let lease = &mut self.hosts[host].lease;
        match self.calls.iter().position(is_due) {
            Some(index) => {
                match self.calls.swap_remove(index).answer {
                    Some(Answer::Found(record)) => lease.read_found(now, record),
                    Some(Answer::Written(Some(revision))) => lease.written(now, revision),
                    Some(Answer::Written(None)) => lease.not_written(),
                    None => {}
                }
                self.hosts[host].asking = None;
            }
            None if ms >= since_ms + CALL_MS_MAX => {
                if matches!(step, LeaseStep::Write { .. }) {
                    lease.not_written();
                }
                // Its answer has nobody who waits for it.
                let calls = self.calls.iter_mut().filter(|call| call.host == host);
                calls.for_each(|call| call.answers_ms = None);
                self.hosts[host].asking = None;
            }
            None => {}
        }
    }

    /// Checks the orders in the order of their arrival.
    fn check(&mut self) -> Result<(), String> {
        self.orders.sort_by_key(|order| order.arrives_ms);
        for pair in self.orders.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            if after.host == before.host {
                // Orders of one host may overtake each other.
                continue;
            }
            if after.token <= before.token {
                return Err(format!("a token that isn't higher: {before:?}, {after:?}"));
            }
            if after.arrives_ms <= before.arrives_ms + LEASE_MS {
                return Err(format!("turns within the lease: {before:?}, {after:?}"));
            }
        }
        Ok(())
    }
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let host = 0..HOSTS.len();
    let late = prop_oneof![Just(None), (0..6_000_u64).prop_map(Some)];
    let kind = prop_oneof![
        (host.clone(), 500..9_000_u64).prop_map(|(host, for_ms)| Kind::Freeze { host, for_ms }),
        (host, 20..2_000_u64).prop_map(|(host, down_ms)| Kind::Restart { host, down_ms }),
        (20..2_000_u64).prop_map(|down_ms| Kind::RestartAll { down_ms }),
        (500..6_000_u64, late).prop_map(|(for_ms, late_ms)| Kind::Silence { for_ms, late_ms }),
        (500..6_000_u64, 1..4_u64)
            .prop_map(|(for_ms, one_in)| Kind::LostAnswers { for_ms, one_in }),
    ];
    (0..40_000_u64, kind).prop_map(|(from_ms, kind)| Trouble { from_ms, kind })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x1ea5e),
        ..ProptestConfig::default()
    })]

    #[test]
    fn orders_of_two_hosts_are_apart_while_calls_outlive_their_senders(
        mut troubles in prop::collection::vec(trouble(), 1..16),
        luck in any::<u64>(),
    ) {
        troubles.sort_by_key(|trouble| trouble.from_ms);
        let mut world = World::new(luck);
        let mut next = 0;
        while world.ms < 50_000 {
            while troubles.get(next).is_some_and(|trouble| trouble.from_ms <= world.ms) {
                world.strike(&troubles[next].kind);
                next += 1;
            }
            world.tick();
        }
        let checked = world.check();
        prop_assert!(checked.is_ok(), "{checked:?}");
    }
}
