//! Only one host at a time gives orders, even if hosts freeze or crash or the store's answers are
//! lost.

use lycheeford_policy::{LeaseExpect, LeaseRecord, LeaseStep, OrderLease, StoreVersion, TimeMs};
use proptest::prelude::*;

use crate::world::{at, name};

const LEASE_MS: u64 = 3_000;

/// The store's record of the lease, with conditional writes.
#[derive(Debug, Default)]
struct Store {
    record: Option<(u64, LeaseRecord)>,
    revision: u64,
}

impl Store {
    fn write(&mut self, expect: LeaseExpect, record: LeaseRecord) -> Option<u64> {
        let holds = match expect {
            LeaseExpect::Absent => self.record.is_none(),
            LeaseExpect::Revision(revision) => {
                self.record.as_ref().is_some_and(|(known, _)| *known == revision)
            }
        };
        if !holds {
            return None;
        }
        self.revision += 1;
        self.record = Some((self.revision, record));
        Some(self.revision)
    }
}

/// How a call to the store ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Given,
    Lost,
    Unreachable,
}

fn step(lease: &mut OrderLease, store: &mut Store, now: TimeMs, answer: Answer) {
    let step = lease.next(now, 0);
    lease.asked(now, &step);
    match step {
        LeaseStep::Read if answer == Answer::Given => lease.read_found(now, store.record.clone()),
        LeaseStep::Idle | LeaseStep::Read => {}
        LeaseStep::Write { expect, record } => {
            let written = match answer {
                Answer::Unreachable => None,
                Answer::Given | Answer::Lost => store.write(expect, record),
            };
            match written {
                Some(revision) if answer == Answer::Given => lease.written(now, revision),
                _ => lease.not_written(),
            }
        }
    }
}

fn hold_until(lease: &mut OrderLease, store: &mut Store, from: u64, to: u64) {
    for ms in (from..to).step_by(50) {
        step(lease, store, at(ms), Answer::Given);
    }
}

#[test]
fn the_first_holder_may_give_orders_at_once() {
    let (mut lease, mut store) = (OrderLease::new(name("a"), 1, LEASE_MS), Store::default());
    hold_until(&mut lease, &mut store, 0, 400);
    assert_eq!(lease.token(at(400)), Some(1));
    assert!(lease.is_first_holder());
}

#[test]
fn a_holder_stops_by_itself_when_it_is_frozen_or_cut_off() {
    let (mut lease, mut store) = (OrderLease::new(name("a"), 1, LEASE_MS), Store::default());
    hold_until(&mut lease, &mut store, 0, 400);
    // The rest of the lease is reserved for the network delay of the last order.
    assert!(lease.token(at(1_600)).is_some());
    assert_eq!(lease.token(at(1_700)), None);
    assert_eq!(lease.token(at(3_000)), None);
    assert!(lease.held(at(1_700)).is_some());
    assert_eq!(lease.order_transit_ms(), 750);
}

#[test]
fn the_next_holder_waits_until_no_order_of_the_last_can_arrive() {
    let mut store = Store::default();
    let mut first = OrderLease::new(name("a"), 1, LEASE_MS);
    hold_until(&mut first, &mut store, 0, 1_000);
    let last_order_ms = (1_000..20_000).rev().find(|ms| first.token(at(*ms)).is_some()).unwrap();
    let mut second = OrderLease::new(name("b"), 1, LEASE_MS);
    let mut first_order_ms = None;
    for ms in (1_000..20_000).step_by(10) {
        step(&mut second, &mut store, at(ms), Answer::Given);
        if second.token(at(ms)).is_some() {
            first_order_ms = Some(ms);
            break;
        }
    }
    assert!(first_order_ms.unwrap() > last_order_ms + LEASE_MS);
}

#[test]
fn a_holder_that_restarts_goes_on_at_once_with_a_greater_token() {
    let mut store = Store::default();
    let mut first = OrderLease::new(name("a"), 1, LEASE_MS);
    hold_until(&mut first, &mut store, 0, 1_000);
    let token = first.token(at(1_000)).unwrap();
    let mut restarted = OrderLease::new(name("a"), 2, LEASE_MS);
    hold_until(&mut restarted, &mut store, 1_600, 1_800);
    assert!(restarted.token(at(1_800)).unwrap() > token);
    assert!(first.is_first_holder() && !restarted.is_first_holder());
}

#[test]
fn a_holder_that_restarts_while_it_waits_must_wait_again() {
    let mut store = Store::default();
    let mut first = OrderLease::new(name("a"), 1, LEASE_MS);
    hold_until(&mut first, &mut store, 0, 1_000);
    let last_order_ms = (1_000..20_000).rev().find(|ms| first.token(at(*ms)).is_some()).unwrap();
    let mut second = OrderLease::new(name("b"), 1, LEASE_MS);
    // `b` has taken the record over, but may not give orders yet.
    let mut ms = 1_000;
    while store.record.as_ref().unwrap().1.holder != name("b") {
        step(&mut second, &mut store, at(ms), Answer::Given);
        ms += 10;
    }
    assert_eq!(second.token(at(ms)), None);
    let mut restarted = OrderLease::new(name("b"), 2, LEASE_MS);
    while restarted.token(at(ms)).is_none() {
        step(&mut restarted, &mut store, at(ms), Answer::Given);
        ms += 10;
    }
    assert!(ms > last_order_ms + LEASE_MS);
}

/// What happens to one of three hosts in a step of 20 ms.
#[derive(Debug, Clone, Copy)]
enum Event {
    Tick(usize, Answer),
    Freeze(usize, u64),
    Restart(usize),
    /// The holder's report reaches the others.
    Report(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let answer = prop_oneof![
        6 => Just(Answer::Given),
        1 => Just(Answer::Lost),
        1 => Just(Answer::Unreachable),
    ];
    prop_oneof![
        30 => (0..3_usize, answer).prop_map(|(host, answer)| Event::Tick(host, answer)),
        1 => (0..3_usize, 500..9_000_u64).prop_map(|(host, ms)| Event::Freeze(host, ms)),
        1 => (0..3_usize).prop_map(Event::Restart),
        6 => (0..3_usize).prop_map(Event::Report),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn orders_of_two_hosts_are_apart_by_the_lease_time(
        events in prop::collection::vec(event(), 200..900),
    ) {
        let mut store = Store::default();
        let mut leases: Vec<OrderLease> =
            ["a", "b", "c"].iter().map(|host| OrderLease::new(name(host), 1, LEASE_MS)).collect();
        let mut incarnations = [1_u64; 3];
        let mut frozen_until = [0_u64; 3];
        let mut last_order: Option<(usize, u64, u64)> = None;
        let mut ms = 0;
        for event in events {
            ms += 20;
            match event {
                Event::Freeze(host, for_ms) => frozen_until[host] = ms + for_ms,
                Event::Restart(host) => {
                    incarnations[host] += 1;
                    let host_name = name(["a", "b", "c"][host]);
                    leases[host] = OrderLease::new(host_name, incarnations[host], LEASE_MS);
                }
                Event::Report(host) => {
                    if let Some((_, revision, age_ms)) = leases[host].held(at(ms)) {
                        let holder = name(["a", "b", "c"][host]);
                        for other in (0..3).filter(|other| *other != host) {
                            if frozen_until[other] <= ms {
                                leases[other].heard(at(ms), &holder, revision, age_ms);
                            }
                        }
                    }
                }
                Event::Tick(host, answer) if frozen_until[host] <= ms => {
                    step(&mut leases[host], &mut store, at(ms), answer);
                }
                Event::Tick(..) => {}
            }
            for host in 0..3 {
                let Some(token) = leases[host].token(at(ms)).filter(|_| frozen_until[host] <= ms) else {
                    continue;
                };
                if let Some((last_host, last_ms, last_token)) = last_order {
                    prop_assert!(token >= last_token, "the token fell");
                    if last_host != host {
                        prop_assert!(ms > last_ms + LEASE_MS, "hosts gave orders {} ms apart", ms - last_ms);
                        prop_assert!(token > last_token, "two hosts used the same token");
                    }
                }
                last_order = Some((host, ms, token));
            }
        }
    }
}

#[test]
fn a_host_knows_whether_the_fleet_is_new() {
    struct Case {
        what: &'static str,
        renewals: Option<u64>,
        is_new: bool,
    }
    let cases = [
        Case { what: "no host held the lease yet", renewals: None, is_new: true },
        Case {
            what: "another host took the lease a moment earlier",
            renewals: Some(1),
            is_new: true,
        },
        Case { what: "all hosts were restarted", renewals: Some(12), is_new: false },
    ];
    for Case { what, renewals, is_new } in cases {
        let mut lease = OrderLease::new(name("a"), 1, LEASE_MS);
        assert!(!lease.began_with_fleet(), "{what}: before the first read");
        let record = |renewals| LeaseRecord {
            holder: name("b"),
            machine: None,
            incarnation: 1,
            renewals,
            is_settled: true,
            era: StoreVersion::FIRST_ERA,
        };
        lease.read_found(at(0), renewals.map(|renewals| (7, record(renewals))));
        assert_eq!(lease.began_with_fleet(), is_new, "{what}");
        // Only the first read decides; later ones change nothing.
        lease.read_found(at(500), None);
        assert_eq!(lease.began_with_fleet(), is_new, "{what}, later");
    }
}

/// A store that was restored, and what the copy has of the lease.
struct RestoreCase {
    what: &'static str,
    /// The holder that the copy names, by its host and incarnation; `None` if it has no lease.
    in_copy: Option<(&'static str, u64)>,
    /// Whether the host `a` held the lease until the restore, or has just started.
    held_before: bool,
    /// Whether it gives orders as soon as it has written the lease, or after the time in which the
    /// order of another holder may arrive.
    is_at_once: bool,
}

#[test]
fn after_a_restore_only_the_holder_until_then_gives_orders_at_once() {
    let cases = [
        RestoreCase {
            what: "the holder, and the copy has its lease",
            in_copy: Some(("a", 1)),
            held_before: true,
            is_at_once: true,
        },
        RestoreCase {
            what: "the holder, and the copy has no lease",
            in_copy: None,
            held_before: true,
            is_at_once: true,
        },
        RestoreCase {
            what: "a host that starts, and the copy has no lease",
            in_copy: None,
            held_before: false,
            is_at_once: false,
        },
        RestoreCase {
            what: "a host that starts, and the copy has a lease of its earlier process",
            in_copy: Some(("a", 1)),
            held_before: false,
            is_at_once: false,
        },
    ];
    for RestoreCase { what, in_copy, held_before, is_at_once } in cases {
        let mut store = Store::default();
        let incarnation = if held_before { 1 } else { 2 };
        let mut lease = OrderLease::new(name("a"), incarnation, LEASE_MS);
        if held_before {
            hold_until(&mut lease, &mut store, 0, 1_000);
        }
        let restored = StoreVersion { era: 2, revision: 500 };
        store.revision = restored.to_number();
        store.record = in_copy.map(|(holder, incarnation)| {
            let era = StoreVersion::FIRST_ERA;
            let holder = name(holder);
            let record = LeaseRecord {
                holder,
                machine: None,
                incarnation,
                renewals: 5,
                is_settled: true,
                era,
            };
            (store.revision, record)
        });
        let before = lease.token(at(1_000));
        lease.enter_era(at(1_000), restored.era);
        assert_eq!(lease.token(at(1_000)), None, "{what}: before it has the lease again");
        let mut first_ms = None;
        for ms in (1_000..12_000).step_by(10) {
            step(&mut lease, &mut store, at(ms), Answer::Given);
            if lease.token(at(ms)).is_some() {
                first_ms = Some(ms);
                break;
            }
        }
        let first_ms = first_ms.expect("orders");
        let is_early = first_ms < 1_000 + LEASE_MS;
        assert_eq!(is_early, is_at_once, "{what}: first order at {first_ms} ms");
        assert!(lease.token(at(first_ms)) > before, "{what}");
    }
}

#[test]
fn a_record_that_cannot_be_read_is_taken_over_after_the_wait_for_another_holder() {
    let unreadable = LeaseRecord::unreadable(StoreVersion::FIRST_ERA);
    let other = LeaseRecord { holder: name("b"), incarnation: 1, ..unreadable.clone() };
    let first_orders = [unreadable, other].map(|record| {
        let mut store = Store { record: Some((7, record)), revision: 7 };
        let mut lease = OrderLease::new(name("a"), 1, LEASE_MS);
        (0..12_000).step_by(10).find(|ms| {
            step(&mut lease, &mut store, at(*ms), Answer::Given);
            lease.token(at(*ms)).is_some()
        })
    });
    assert_eq!(first_orders[0], first_orders[1]);
    assert!(first_orders[0].expect("orders") >= LEASE_MS);
}

#[test]
fn renewals_of_another_writer_wrap_around() {
    let largest =
        LeaseRecord { renewals: u64::MAX, ..LeaseRecord::unreadable(StoreVersion::FIRST_ERA) };
    let mut store = Store { record: Some((7, largest)), revision: 7 };
    let mut lease = OrderLease::new(name("a"), 1, LEASE_MS);
    hold_until(&mut lease, &mut store, 0, 12_000);
    assert!(lease.token(at(12_000)).is_some());
}

#[test]
fn hosts_that_start_together_do_not_all_write_the_first_lease() {
    struct Case {
        what: &'static str,
        rank: u64,
        /// When the host would write the lease if it heard of none.
        writes_at_ms: u64,
    }
    let cases = [
        Case { what: "the first", rank: 0, writes_at_ms: 0 },
        Case { what: "the third", rank: 2, writes_at_ms: 800 },
        Case { what: "the last of a large fleet", rank: 294, writes_at_ms: 4_000 },
    ];
    for Case { what, rank, writes_at_ms } in cases {
        let mut lease = OrderLease::new(name("b"), 1, LEASE_MS);
        lease.asked(at(0), &lease.next(at(0), rank));
        lease.read_found(at(0), None);
        if writes_at_ms > 0 {
            assert_eq!(lease.next(at(writes_at_ms - 1), rank), LeaseStep::Idle, "{what}");
        }
        let written = lease.next(at(writes_at_ms), rank);
        assert!(matches!(written, LeaseStep::Write { .. }), "{what}: {written:?}");
        lease.heard(at(writes_at_ms), &name("a"), 7, 0);
        assert_eq!(lease.next(at(writes_at_ms), rank), LeaseStep::Idle, "{what}");
    }
}

/// A host that starts under the name of the holder.
struct ReplacedCase {
    what: &'static str,
    /// The last parts of the addresses of the two machines.
    machines: [u8; 2],
    /// Whether another host reports the lease to it before it reads the record.
    is_told: bool,
    is_at_once: bool,
}

/// Regression test (review/9): a machine with the name of the one that it replaced gave orders as if it
/// were the same holder.
#[test]
fn a_machine_that_replaces_the_holder_under_its_name_waits_for_the_lease() {
    let cases = [
        ReplacedCase {
            what: "the same machine",
            machines: [1, 1],
            is_told: false,
            is_at_once: true,
        },
        ReplacedCase {
            what: "the same machine, told by another host",
            machines: [1, 1],
            is_told: true,
            is_at_once: true,
        },
        ReplacedCase {
            what: "another machine",
            machines: [1, 2],
            is_told: false,
            is_at_once: false,
        },
        ReplacedCase {
            what: "another machine, told by another host",
            machines: [1, 2],
            is_told: true,
            is_at_once: false,
        },
    ];
    for ReplacedCase { what, machines, is_told, is_at_once } in cases {
        let mut store = Store::default();
        let [mut first, mut second] = [1, 2].map(|incarnation| {
            let lease = OrderLease::new(name("a"), incarnation, LEASE_MS);
            lease.on_machine([10, 1, 0, machines[incarnation as usize - 1]].into())
        });
        hold_until(&mut first, &mut store, 0, 2_000);
        let last_ms = 1_990;
        assert!(first.token(at(last_ms)).is_some(), "{what}");
        second.read_found(at(2_000), store.record.clone());
        if is_told {
            second.heard(at(2_010), &name("a"), store.revision, 100);
        }
        let first_ms = (2_020..14_000).step_by(10).find(|ms| {
            step(&mut second, &mut store, at(*ms), Answer::Given);
            second.token(at(*ms)).is_some()
        });
        let first_ms = first_ms.expect("orders");
        let is_early = first_ms < last_ms + LEASE_MS;
        assert_eq!(is_early, is_at_once, "{what}: first order at {first_ms} ms");
    }
}
