//! Hosts share changes of the list of targets with each other, so that few of them query the store.

use lycheeford_policy::{
    SharedWatch, TargetChange, TargetChangeBatch, TargetEntry, TargetLog, TargetState,
};

use crate::fleet::Fleet;
use crate::world::{at, entry, name};

fn put_change(id: &str) -> TargetChange {
    TargetChange::Put(entry(id, &["m1"]))
}

fn shared_changes(after: u64, up_to: u64, changes: &[(u64, TargetChange)]) -> TargetChangeBatch {
    TargetChangeBatch { after, up_to, changes: changes.to_vec() }
}

struct TakeCase {
    what: &'static str,
    /// The revision up to which the host knows all changes.
    known: u64,
    received: TargetChangeBatch,
    /// The changes that are new to the host, and the revision up to which it knows all afterwards.
    new_changes: Vec<TargetChange>,
    known_after: u64,
}

#[test]
fn changes_are_applied_once_and_never_across_a_gap() {
    let (came, gone) = (put_change("t1"), TargetChange::Gone(name("t2")));
    let cases = [
        TakeCase {
            what: "all changes are new",
            known: 5,
            received: shared_changes(5, 9, &[(6, came.clone()), (9, gone.clone())]),
            new_changes: vec![came.clone(), gone.clone()],
            known_after: 9,
        },
        TakeCase {
            what: "one change is known",
            known: 6,
            received: shared_changes(5, 9, &[(6, came.clone()), (9, gone.clone())]),
            new_changes: vec![gone.clone()],
            known_after: 9,
        },
        TakeCase {
            what: "nothing changed meanwhile",
            known: 5,
            received: shared_changes(5, 9, &[]),
            new_changes: vec![],
            known_after: 9,
        },
        TakeCase {
            what: "there is a gap before the first change",
            known: 4,
            received: shared_changes(5, 9, &[(6, came.clone())]),
            new_changes: vec![],
            known_after: 4,
        },
        TakeCase {
            what: "the sender knows less",
            known: 10,
            received: shared_changes(5, 9, &[(6, came)]),
            new_changes: vec![],
            known_after: 10,
        },
    ];
    for TakeCase { what, known, received, new_changes, known_after } in cases {
        let mut log = TargetLog::default();
        log.restart(known);
        assert_eq!(log.take(received), new_changes, "{what}");
        assert_eq!(log.known(), known_after, "{what}");
    }
}

#[test]
fn a_host_shares_only_changes_that_it_knows_without_a_gap() {
    let mut log = TargetLog::default();
    log.restart(10);
    log.asked(10, 20, vec![(12, put_change("t1")), (15, put_change("t2")), (17, put_change("t3"))]);
    assert_eq!(log.since(9, 8), None, "the changes before the restart aren't known");
    assert_eq!(log.since(20, 8), None, "there is no newer change");
    let all = log.since(12, 8).unwrap();
    assert_eq!((all.after, all.up_to, all.changes.len()), (12, 20, 2));
    let first = log.since(10, 1).unwrap();
    assert_eq!((first.up_to, first.changes.len()), (12, 1), "the other changes follow later");
    // A call to the store that began before other hosts sent more adds no change twice.
    log.asked(10, 18, vec![(12, put_change("t1"))]);
    assert_eq!(log.since(10, 8).unwrap().changes.len(), 3);
    // The host can't share changes across a gap in its own log.
    log.asked(30, 31, vec![(31, put_change("t4"))]);
    assert_eq!(log.since(20, 8), None);
    assert_eq!(log.since(30, 8).unwrap().changes.len(), 1);
}

#[test]
fn only_the_newest_changes_are_kept() {
    let mut log = TargetLog::default();
    log.restart(10);
    let changes: Vec<_> = (11..=410).map(|revision| (revision, put_change("t"))).collect();
    log.asked(10, 410, changes);
    assert_eq!(log.since(10, 8), None);
    let first = (11..410).find(|known| log.since(*known, 8).is_some()).unwrap();
    assert_eq!(log.since(first, 999).unwrap().changes.len() as u64, 410 - first);
}

/// A list or a batch with deletions gives many changes the same revision. If only the first of them
/// are sent, the receiver counts the rest as known: a target that was gone came back for good on
/// 20 of 295 hosts.
#[test]
fn an_entry_that_is_too_large_for_a_message_is_left_to_the_store() {
    let mut large = entry("t3", &["m1"]);
    large.residency.models[0].adapters =
        (0..15_000).map(|number| name(&format!("a{number}"))).collect();
    let mut log = TargetLog::default();
    log.restart(5);
    let changes = vec![(6, put_change("t2")), (7, TargetChange::Put(large)), (8, put_change("t4"))];
    log.asked(5, 8, changes);
    // The changes before and after it are sent.
    assert_eq!(log.since(5, 24), Some(shared_changes(5, 6, &[(6, put_change("t2"))])));
    assert_eq!(log.since(6, 24), None);
    assert_eq!(log.since(7, 24), Some(shared_changes(7, 8, &[(8, put_change("t4"))])));
}

#[test]
fn changes_of_one_revision_are_sent_together() {
    let mut log = TargetLog::default();
    log.restart(10);
    let of_one = |count: usize| (0..count).map(|_| (20, put_change("t"))).collect::<Vec<_>>();
    log.asked(10, 20, [vec![(12, put_change("t1"))], of_one(30)].concat());
    let first = log.since(10, 24).unwrap();
    assert_eq!(
        (first.up_to, first.changes.len()),
        (12, 1),
        "the changes of the next revision don't fit as well"
    );
    let second = log.since(12, 24).unwrap();
    assert_eq!((second.up_to, second.changes.len()), (20, 30), "all changes of the revision");
    log.asked(20, 20, Vec::new());
    log.asked(20, 21, of_one(0));
    assert_eq!(log.since(20, 24).unwrap().changes, []);
    // These are more than a datagram should hold: a host that lacks them asks the store.
    let mut log = TargetLog::default();
    log.restart(10);
    log.asked(10, 20, of_one(200));
    assert_eq!(log.since(10, 24), None);
}

/// The store's list of targets.
#[derive(Default)]
struct Store {
    changes: Vec<(u64, u64, TargetChange)>,
    revision: u64,
}

impl Store {
    fn change(&mut self, ms: u64) {
        self.revision += 1;
        let state = TargetState::Leaving { remaining_ms: None };
        let entry = TargetEntry { state, revision: self.revision, ..entry("t1", &["m1"]) };
        self.changes.push((ms, self.revision, TargetChange::Put(entry)));
    }

    fn since(&self, after: u64) -> Vec<(u64, TargetChange)> {
        let new_changes = self.changes.iter().filter(|(_, revision, _)| *revision > after);
        new_changes.map(|(_, revision, change)| (*revision, change.clone())).collect()
    }
}

/// The number of a host's calls to the store, and the time of the last one.
#[derive(Clone, Default)]
struct StoreCalls {
    calls: u64,
    last_ms: u64,
}

const TARGET_LEAVE_MS: u64 = 4_000;
/// How many hosts watch the store, the least pause of a host between two calls, and the duration of
/// a watch without changes.
const WATCHERS: usize = 2;
const PAUSE_MS_MIN: u64 = 200;
const WATCH_MS: u64 = 500;
/// The number of changes that a release or a crash causes, and the interval between them.
const CHANGES: u64 = 40;
const CHANGE_MS: u64 = 250;

struct ReachCase {
    what: &'static str,
    hosts: usize,
    domains: usize,
    /// One report in this many is lost.
    lost_one_in: u64,
    /// Whether the hosts that watch the store fail halfway through the changes.
    watchers_fail: bool,
    /// The most calls to the store that all hosts together may make in a second.
    calls_per_s_max: f64,
}

/// Guards against a fleet in which each host asks the store after each change, so that calls grow
/// with the number of hosts and of changes.
#[test]
fn changes_reach_all_hosts_in_time_and_few_ask_the_store() {
    let cases = [
        ReachCase {
            what: "7 hosts",
            hosts: 7,
            domains: 3,
            lost_one_in: 1_000,
            watchers_fail: false,
            calls_per_s_max: 12.0,
        },
        ReachCase {
            what: "91 hosts",
            hosts: 91,
            domains: 3,
            lost_one_in: 100,
            watchers_fail: false,
            calls_per_s_max: 30.0,
        },
        ReachCase {
            what: "295 hosts",
            hosts: 295,
            domains: 5,
            lost_one_in: 100,
            watchers_fail: false,
            calls_per_s_max: 60.0,
        },
        ReachCase {
            what: "91 hosts, and those that watch are lost",
            hosts: 91,
            domains: 3,
            lost_one_in: 100,
            watchers_fail: true,
            calls_per_s_max: 400.0,
        },
    ];
    for case in &cases {
        let (oldest_ms, calls_per_s) = run_changes(case);
        let what = case.what;
        assert!(oldest_ms <= TARGET_LEAVE_MS, "{what}: known after {oldest_ms} ms");
        assert!(calls_per_s <= case.calls_per_s_max, "{what}: {calls_per_s} calls a second");
    }
}

/// Returns the greatest age of a change when a running host learnt of it, and the calls a second.
fn run_changes(case: &ReachCase) -> (u64, f64) {
    let mut fleet = Fleet::start(case.hosts, case.domains);
    let mut store = Store::default();
    store.change(fleet.ms);
    let mut store_calls = vec![StoreCalls::default(); case.hosts];
    for index in 0..case.hosts {
        ask(&mut fleet, index, &mut store_calls, &store);
    }
    let (started_ms, changes_ms) = (fleet.ms, CHANGES * CHANGE_MS);
    let mut oldest_ms = 0;
    for turn in 1..=changes_ms + TARGET_LEAVE_MS {
        if turn % CHANGE_MS == 0 && turn <= changes_ms {
            store.change(fleet.ms);
        }
        if case.watchers_fail && turn == changes_ms / 2 {
            fleet.hosts[..WATCHERS].iter_mut().for_each(|host| host.is_up = false);
        }
        let is_lost = |from: usize, to: usize| {
            (turn * 31 + from as u64 * 7 + to as u64).is_multiple_of(case.lost_one_in)
        };
        fleet.run(1, |from, to| !is_lost(from, to));
        let are_up: Vec<bool> = fleet.hosts.iter().map(|host| host.is_up).collect();
        for index in (0..case.hosts).filter(|index| are_up[*index]) {
            if is_due(&fleet, index, &store_calls[index], &store) {
                ask(&mut fleet, index, &mut store_calls, &store);
            }
            let first_unknown = store.changes.get(fleet.hosts[index].log.known() as usize);
            let age_ms = first_unknown.map_or(0, |(changed_ms, ..)| fleet.ms - changed_ms);
            oldest_ms = oldest_ms.max(age_ms);
        }
    }
    // Each host called the store once before the changes began.
    let calls: u64 = store_calls.iter().map(|store_calls| store_calls.calls - 1).sum();
    (oldest_ms, calls as f64 * 1_000.0 / (fleet.ms - started_ms) as f64)
}

/// Returns whether a host asks the store now, or the store answers its watch.
fn is_due(fleet: &Fleet, index: usize, store_calls: &StoreCalls, store: &Store) -> bool {
    let host = &fleet.hosts[index];
    let since_ms = fleet.ms - store_calls.last_ms;
    if since_ms < PAUSE_MS_MIN {
        return false;
    }
    if index < WATCHERS {
        return since_ms >= WATCH_MS || store.revision > host.log.known();
    }
    !host.watch.can_skip_query(at(fleet.ms), SharedWatch::change_age_ms_max(TARGET_LEAVE_MS))
}

fn ask(fleet: &mut Fleet, index: usize, store_calls: &mut [StoreCalls], store: &Store) {
    let host = &mut fleet.hosts[index];
    let after = host.log.known();
    host.log.asked(after, store.revision, store.since(after));
    let (known, changed) = (host.log.known(), host.log.changed());
    host.watch.asked(at(fleet.ms), known, changed);
    store_calls[index].calls += 1;
    store_calls[index].last_ms = fleet.ms;
}

/// Regression test: a host that had just started told others all that it had listed as if nothing
/// else had changed, so that they went on with targets that had left while it started.
#[test]
fn a_first_list_tells_nobody_which_targets_left_before_it() {
    let mut started = TargetLog::default();
    started.asked(0, 9, vec![(9, put_change("t1"))]);
    assert_eq!(started.known(), 9);
    assert_eq!(started.since(5, 8), None, "t2 may have left between 5 and 9");
    started.asked(9, 11, vec![(11, TargetChange::Gone(name("t1")))]);
    let later = shared_changes(9, 11, &[(11, TargetChange::Gone(name("t1")))]);
    assert_eq!(started.since(9, 8), Some(later));
}
