//! Random histories of hosts that hold the order lease one after the other, with faults.
//!
//! Calls to the store and orders take time and outlive the process that sent them; a write whose
//! answer is lost may take effect seconds later; all hosts may restart at once; the store may come
//! back from an older copy, which gives its revisions out again.

use lycheeford_policy::{LeaseExpect, LeaseRecord, LeaseStep, OrderLease, StoreVersion, TimeMs};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{at, name};

const HOSTS: [&str; 4] = ["a", "b", "c", "d"];
const LEASE_MS: u64 = 3_000;
const TICK_MS: u64 = 20;
/// The time-out of a host's call to the store.
const CALL_MS_MAX: u64 = 1_000;

/// A fault, and when it begins.
#[derive(Debug, Clone)]
struct Fault {
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
    /// Calls get no answer. They have no effect, except that writes take effect up to `late_ms`
    /// after they were made, if it is set.
    StoreOutage {
        for_ms: u64,
        late_ms: Option<u64>,
    },
    /// The store is replaced by a copy of `age_ms` before.
    Restore {
        age_ms: u64,
    },
    /// The answer of one write in `one_in` is lost.
    LostAnswers {
        for_ms: u64,
        one_in: u64,
    },
}

/// A call to the store that is in flight.
#[derive(Debug, Clone)]
struct Call {
    host: usize,
    life: u64,
    step: LeaseStep,
    effect_ms: u64,
    answers_ms: Option<u64>,
    answer: Option<Answer>,
    /// The era of the store when the call took effect.
    era: u64,
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
    /// The call that awaits an answer, and when it began.
    pending_call: Option<(LeaseStep, u64)>,
    /// The newest era that an answer to the host has stated.
    known_era: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Order {
    arrives_ms: u64,
    host: usize,
    token: u64,
}

/// The holder's report of its last renewal to another host.
#[derive(Debug, Clone)]
struct HolderReport {
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
    era: u64,
    /// The record and the revision at the end of each tick.
    copies: Vec<(Option<(u64, LeaseRecord)>, u64)>,
    calls: Vec<Call>,
    orders: Vec<Order>,
    reports: Vec<HolderReport>,
    /// The end of the store's outage, and the delay of the writes made during it.
    outage: (u64, Option<u64>),
    lost_answers: (u64, u64),
    random_state: u64,
}

impl World {
    fn new(random_state: u64) -> World {
        let host = |host: &&str| Host {
            lease: OrderLease::new(name(host), 1, LEASE_MS),
            life: 1,
            up_from_ms: 0,
            frozen_until_ms: 0,
            pending_call: None,
            known_era: StoreVersion::FIRST_ERA,
        };
        World {
            ms: 0,
            hosts: HOSTS.iter().map(host).collect(),
            record: None,
            revision: 100,
            era: StoreVersion::FIRST_ERA,
            copies: Vec::new(),
            calls: Vec::new(),
            orders: Vec::new(),
            reports: Vec::new(),
            outage: (0, None),
            lost_answers: (0, 1),
            random_state: random_state | 1,
        }
    }

    /// Returns a pseudo-random number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % bound
    }

    fn now(&self) -> TimeMs {
        at(self.ms)
    }

    fn inject(&mut self, kind: &Kind) {
        match *kind {
            Kind::Freeze { host, for_ms } => {
                self.hosts[host].frozen_until_ms = self.ms + for_ms;
            }
            Kind::Restart { host, down_ms } => self.restart(host, down_ms),
            Kind::RestartAll { down_ms } => {
                for host in 0..HOSTS.len() {
                    let later_ms = self.random_below(300);
                    self.restart(host, down_ms + later_ms);
                }
            }
            Kind::Restore { age_ms } => {
                let age = (age_ms / TICK_MS) as usize;
                let Some(index) = self.copies.len().checked_sub(age + 1) else { return };
                (self.record, self.revision) = self.copies[index].clone();
                self.copies.truncate(index + 1);
                self.era += 1;
            }
            Kind::StoreOutage { for_ms, late_ms } => self.outage = (self.ms + for_ms, late_ms),
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
            pending_call: None,
            known_era: StoreVersion::FIRST_ERA,
        };
    }

    fn tick(&mut self) {
        self.ms += TICK_MS;
        // Writes of other objects advance the store's revision, too.
        self.revision += self.random_below(4);
        self.run_store();
        for host in 0..HOSTS.len() {
            let Host { up_from_ms, frozen_until_ms, .. } = self.hosts[host];
            if self.ms >= up_from_ms && self.ms >= frozen_until_ms {
                self.run_host(host);
            }
        }
        self.copies.push((self.record.clone(), self.revision));
    }

    fn run_store(&mut self) {
        let ms = self.ms;
        let mut calls = std::mem::take(&mut self.calls);
        calls.sort_by_key(|call| call.effect_ms);
        for call in calls.iter_mut().filter(|call| call.answer.is_none() && call.effect_ms <= ms) {
            call.era = self.era;
            call.answer = Some(match &call.step {
                LeaseStep::Write { expect, record } => {
                    Answer::Written(self.write_record(*expect, record))
                }
                LeaseStep::Idle | LeaseStep::Read => Answer::Found(
                    self.record.clone().map(|(revision, record)| (self.number(revision), record)),
                ),
            });
        }
        calls.retain(|call| {
            call.answer.is_none() || call.answers_ms.is_some_and(|at| at + 1_000 > ms)
        });
        self.calls = calls;
    }

    fn write_record(&mut self, expect: LeaseExpect, record: &LeaseRecord) -> Option<u64> {
        let known = self.record.as_ref().map(|(revision, _)| *revision);
        let holds = match expect {
            LeaseExpect::Absent => known.is_none(),
            LeaseExpect::Revision(number) => {
                known == Some(StoreVersion::from_number(number).revision)
            }
        };
        if !holds {
            return None;
        }
        self.revision += 1;
        self.record = Some((self.revision, record.clone()));
        Some(self.number(self.revision))
    }

    /// Returns the version of a revision of the store as it is now.
    fn number(&self, revision: u64) -> u64 {
        StoreVersion { era: self.era, revision }.to_number()
    }

    fn run_host(&mut self, host: usize) {
        let now = self.now();
        let reports: Vec<HolderReport> = self
            .reports
            .extract_if(.., |report| report.to == host && report.arrives_ms <= self.ms)
            .collect();
        for report in reports {
            let holder = name(HOSTS[report.from]);
            self.hosts[host].lease.heard(now, &holder, report.revision, report.renewed_age_ms);
        }
        self.receive_answer(host);
        if self.hosts[host].pending_call.is_none() {
            let step = self.hosts[host].lease.next(now, host as u64);
            if step != LeaseStep::Idle {
                self.hosts[host].lease.asked(now, &step);
                self.hosts[host].pending_call = Some((step.clone(), self.ms));
                self.call(host, step);
            }
        }
        if let Some(token) = self.hosts[host].lease.token(now) {
            let delay_ms_max = self.hosts[host].lease.order_transit_ms();
            let arrives_ms = self.ms + self.random_below(delay_ms_max);
            self.orders.push(Order { arrives_ms, host, token });
        }
        if let Some((_, revision, renewed_age_ms)) = self.hosts[host].lease.held(now) {
            for to in (0..HOSTS.len()).filter(|to| *to != host) {
                if self.random_below(8) == 0 {
                    let arrives_ms = self.ms + self.random_below(400);
                    self.reports.push(HolderReport {
                        arrives_ms,
                        from: host,
                        to,
                        revision,
                        renewed_age_ms,
                    });
                }
            }
        }
    }

    fn call(&mut self, host: usize, step: LeaseStep) {
        let mut effect_ms = self.ms + self.random_below(60);
        let mut answers_ms = Some(effect_ms + self.random_below(60));
        let is_write = matches!(step, LeaseStep::Write { .. });
        if self.ms < self.outage.0 {
            let Some(late_ms) = self.outage.1.filter(|_| is_write) else { return };
            effect_ms += self.random_below(late_ms + 1);
            answers_ms = None;
        } else if is_write
            && self.ms < self.lost_answers.0
            && self.random_below(self.lost_answers.1) == 0
        {
            effect_ms += self.random_below(2) * self.random_below(6_000);
            answers_ms = None;
        }
        let life = self.hosts[host].life;
        let era = self.era;
        self.calls.push(Call { host, life, step, effect_ms, answers_ms, answer: None, era });
    }

    fn receive_answer(&mut self, host: usize) {
        let Some((step, since_ms)) = self.hosts[host].pending_call.clone() else { return };
        let (ms, now, life) = (self.ms, self.now(), self.hosts[host].life);
        let is_due = |call: &Call| {
            call.host == host
                && call.life == life
                && call.answer.is_some()
                && call.answers_ms.is_some_and(|at| at <= ms)
        };
        let Host { lease, known_era, .. } = &mut self.hosts[host];
        match self.calls.iter().position(is_due) {
            Some(index) => {
                let Call { answer, era, step, .. } = self.calls.swap_remove(index);
                let is_outdated = era < *known_era;
                *known_era = era.max(*known_era);
                lease.enter_era(now, *known_era);
                match answer {
                    Some(Answer::Found(record)) if !is_outdated => lease.read_found(now, record),
                    Some(Answer::Written(Some(number)))
                        if !is_outdated && !expects_before(&step, era) =>
                    {
                        lease.written(now, number);
                    }
                    Some(Answer::Written(_)) => lease.not_written(),
                    Some(Answer::Found(_)) | None => {}
                }
                self.hosts[host].pending_call = None;
            }
            None if ms >= since_ms + CALL_MS_MAX => {
                if matches!(step, LeaseStep::Write { .. }) {
                    lease.not_written();
                }
                // No answer to an earlier call of this host is delivered any more.
                let calls = self.calls.iter_mut().filter(|call| call.host == host);
                calls.for_each(|call| call.answers_ms = None);
                self.hosts[host].pending_call = None;
            }
            None => {}
        }
    }

    /// Checks the tokens and the distances of the orders, sorted by their time of arrival.
    fn check(&mut self) -> Result<(), String> {
        self.orders.sort_by_key(|order| order.arrives_ms);
        for pair in self.orders.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            if after.host == before.host {
                // Orders of one host may overtake each other.
                continue;
            }
            if after.token <= before.token {
                return Err(format!("the token did not grow: {before:?}, {after:?}"));
            }
            if after.arrives_ms <= before.arrives_ms + LEASE_MS {
                return Err(format!(
                    "two hosts gave orders within the lease time: {before:?}, {after:?}"
                ));
            }
        }
        Ok(())
    }
}

/// Returns whether a write was conditional on a version of an era before `era`.
fn expects_before(step: &LeaseStep, era: u64) -> bool {
    match step {
        LeaseStep::Write { expect: LeaseExpect::Revision(number), .. } => {
            StoreVersion::from_number(*number).era < era
        }
        _ => false,
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let host = 0..HOSTS.len();
    let late = prop_oneof![Just(None), (0..6_000_u64).prop_map(Some)];
    let kind = prop_oneof![
        (host.clone(), 500..9_000_u64).prop_map(|(host, for_ms)| Kind::Freeze { host, for_ms }),
        (host, 20..2_000_u64).prop_map(|(host, down_ms)| Kind::Restart { host, down_ms }),
        (20..2_000_u64).prop_map(|down_ms| Kind::RestartAll { down_ms }),
        (500..6_000_u64, late).prop_map(|(for_ms, late_ms)| Kind::StoreOutage { for_ms, late_ms }),
        (0..12_000_u64).prop_map(|age_ms| Kind::Restore { age_ms }),
        (500..6_000_u64, 1..4_u64)
            .prop_map(|(for_ms, one_in)| Kind::LostAnswers { for_ms, one_in }),
    ];
    (0..40_000_u64, kind).prop_map(|(from_ms, kind)| Fault { from_ms, kind })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x1ea5e),
        ..ProptestConfig::default()
    })]

    #[test]
    fn orders_of_two_hosts_are_apart_while_calls_outlive_their_senders(
        mut faults in prop::collection::vec(fault(), 1..16),
        random_state in any::<u64>(),
    ) {
        faults.sort_by_key(|fault| fault.from_ms);
        let mut world = World::new(random_state);
        let mut next = 0;
        while world.ms < 50_000 {
            while faults.get(next).is_some_and(|fault| fault.from_ms <= world.ms) {
                world.inject(&faults[next].kind);
                next += 1;
            }
            world.tick();
        }
        let checked = world.check();
        prop_assert!(checked.is_ok(), "{checked:?}");
    }
}
