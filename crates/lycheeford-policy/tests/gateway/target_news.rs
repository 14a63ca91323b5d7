//! What hosts tell each other of the list of targets, so that few ask the store.

use lycheeford_policy::{
    SharedWatch, TargetChange, TargetEntry, TargetLog, TargetState, ToldChanges,
};

use crate::fleet::Fleet;
use crate::world::{at, entry, name};

fn put(id: &str) -> TargetChange {
    TargetChange::Put(entry(id, &["m1"]))
}

fn told(after: u64, up_to: u64, changes: &[(u64, TargetChange)]) -> ToldChanges {
    ToldChanges { after, up_to, changes: changes.to_vec() }
}

struct TakeCase {
    what: &'static str,
    /// Up to where the host knows all that matters.
    known: u64,
    told: ToldChanges,
    /// What is news to it, and up to where it knows all then.
    news: Vec<TargetChange>,
    known_then: u64,
}

#[test]
fn changes_are_taken_once_and_never_over_a_gap() {
    let (came, gone) = (put("t1"), TargetChange::Gone(name("t2")));
    let cases = [
        TakeCase {
            what: "all are new",
            known: 5,
            told: told(5, 9, &[(6, came.clone()), (9, gone.clone())]),
            news: vec![came.clone(), gone.clone()],
            known_then: 9,
        },
        TakeCase {
            what: "one is known",
            known: 6,
            told: told(5, 9, &[(6, came.clone()), (9, gone.clone())]),
            news: vec![gone.clone()],
            known_then: 9,
        },
        TakeCase {
            what: "nothing changed meanwhile",
            known: 5,
            told: told(5, 9, &[]),
            news: vec![],
            known_then: 9,
        },
        TakeCase {
            what: "there is a gap",
            known: 4,
            told: told(5, 9, &[(6, came.clone())]),
            news: vec![],
            known_then: 4,
        },
        TakeCase {
            what: "the teller knows less",
            known: 10,
            told: told(5, 9, &[(6, came)]),
            news: vec![],
            known_then: 10,
        },
    ];
    for TakeCase { what, known, told, news, known_then } in cases {
        let mut log = TargetLog::default();
        log.restart(known);
        assert_eq!(log.take(told), news, "{what}");
        assert_eq!(log.known(), known_then, "{what}");
    }
}

#[test]
fn a_host_tells_only_what_it_knows_without_a_gap() {
    let mut log = TargetLog::default();
    log.restart(10);
    log.asked(10, 20, vec![(12, put("t1")), (15, put("t2")), (17, put("t3"))]);
    assert_eq!(log.since(9, 8), None, "what was before isn't known");
    assert_eq!(log.since(20, 8), None, "nothing is news");
    let all = log.since(12, 8).unwrap();
    assert_eq!((all.after, all.up_to, all.changes.len()), (12, 20, 2));
    let first = log.since(10, 1).unwrap();
    assert_eq!((first.up_to, first.changes.len()), (12, 1), "the rest follows");
    // A call that began before others told more brings nothing twice.
    log.asked(10, 18, vec![(12, put("t1"))]);
    assert_eq!(log.since(10, 8).unwrap().changes.len(), 3);
    // After a gap of its own, it can tell nothing of it.
    log.asked(30, 31, vec![(31, put("t4"))]);
    assert_eq!(log.since(20, 8), None);
    assert_eq!(log.since(30, 8).unwrap().changes.len(), 1);
}

#[test]
fn only_the_last_changes_are_kept() {
    let mut log = TargetLog::default();
    log.restart(0);
    let changes: Vec<_> = (1..=400).map(|revision| (revision, put("t"))).collect();
    log.asked(0, 400, changes);
    assert_eq!(log.since(0, 8), None);
    let first = (1..400).find(|known| log.since(*known, 8).is_some()).unwrap();
    assert_eq!(log.since(first, 999).unwrap().changes.len() as u64, 400 - first);
}

/// A list or a batch with deletions gives many changes one revision. The first of them were told, and
/// the rest counted as told: a target that had gone came back for good on 20 of 295 hosts.
#[test]
fn changes_of_one_revision_are_told_together() {
    let mut log = TargetLog::default();
    log.restart(10);
    let of_one = |count: usize| (0..count).map(|_| (20, put("t"))).collect::<Vec<_>>();
    log.asked(10, 20, [vec![(12, put("t1"))], of_one(30)].concat());
    let first = log.since(10, 24).unwrap();
    assert_eq!((first.up_to, first.changes.len()), (12, 1), "the others don't fit beside it");
    let second = log.since(12, 24).unwrap();
    assert_eq!((second.up_to, second.changes.len()), (20, 30), "all of one revision");
    log.asked(20, 20, Vec::new());
    log.asked(20, 21, of_one(0));
    assert_eq!(log.since(20, 24).unwrap().changes, []);
    // More than a datagram should hold: who lacks them asks the store.
    let mut log = TargetLog::default();
    log.restart(10);
    log.asked(10, 20, of_one(200));
    assert_eq!(log.since(10, 24), None);
}

/// The list of targets as the store has it.
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
        let news = self.changes.iter().filter(|(_, revision, _)| *revision > after);
        news.map(|(_, revision, change)| (*revision, change.clone())).collect()
    }
}

/// How often a host asked the store, and when it did last.
#[derive(Clone, Default)]
struct Asked {
    calls: u64,
    last_ms: u64,
}

const TARGET_LEAVE_MS: u64 = 4_000;
/// How many hosts watch the store, and the rest of a host between two questions.
const WATCHERS: usize = 2;
const REST_MS: u64 = 200;
const WATCH_MS: u64 = 500;
/// The changes that a release or a crash makes, and the pause between them.
const CHANGES: u64 = 40;
const CHANGE_MS: u64 = 250;

struct ReachCase {
    what: &'static str,
    hosts: usize,
    domains: usize,
    /// Reports of which one is lost.
    loses_one_in: u64,
    /// Whether the hosts that watch the store are lost halfway.
    are_lost: bool,
    /// The calls to the store that all hosts may make in a second.
    calls_per_s_max: f64,
}

/// Each host asked the store after each change, so that calls grew with hosts and with changes.
#[test]
fn changes_reach_all_hosts_in_time_and_few_ask_the_store() {
    let cases = [
        ReachCase {
            what: "7 hosts",
            hosts: 7,
            domains: 3,
            loses_one_in: 1_000,
            are_lost: false,
            calls_per_s_max: 12.0,
        },
        ReachCase {
            what: "91 hosts",
            hosts: 91,
            domains: 3,
            loses_one_in: 100,
            are_lost: false,
            calls_per_s_max: 30.0,
        },
        ReachCase {
            what: "295 hosts",
            hosts: 295,
            domains: 5,
            loses_one_in: 100,
            are_lost: false,
            calls_per_s_max: 60.0,
        },
        ReachCase {
            what: "91 hosts, and those that watch are lost",
            hosts: 91,
            domains: 3,
            loses_one_in: 100,
            are_lost: true,
            calls_per_s_max: 400.0,
        },
    ];
    for case in &cases {
        let (oldest_ms, calls_per_s) = reach(case);
        let what = case.what;
        assert!(oldest_ms <= TARGET_LEAVE_MS, "{what}: known after {oldest_ms} ms");
        assert!(calls_per_s <= case.calls_per_s_max, "{what}: {calls_per_s} calls a second");
    }
}

/// Returns how old a change was at most when a living host learnt of it, and the calls a second.
fn reach(case: &ReachCase) -> (u64, f64) {
    let mut fleet = Fleet::start(case.hosts, case.domains);
    let mut store = Store::default();
    store.change(fleet.ms);
    let mut asked = vec![Asked::default(); case.hosts];
    for index in 0..case.hosts {
        ask(&mut fleet, index, &mut asked, &store);
    }
    let (started_ms, changes_ms) = (fleet.ms, CHANGES * CHANGE_MS);
    let mut oldest_ms = 0;
    for turn in 1..=changes_ms + TARGET_LEAVE_MS {
        if turn % CHANGE_MS == 0 && turn <= changes_ms {
            store.change(fleet.ms);
        }
        if case.are_lost && turn == changes_ms / 2 {
            fleet.hosts[..WATCHERS].iter_mut().for_each(|host| host.is_up = false);
        }
        let is_lost = |from: usize, to: usize| {
            (turn * 31 + from as u64 * 7 + to as u64).is_multiple_of(case.loses_one_in)
        };
        fleet.run(1, |from, to| !is_lost(from, to));
        let are_up: Vec<bool> = fleet.hosts.iter().map(|host| host.is_up).collect();
        for index in (0..case.hosts).filter(|index| are_up[*index]) {
            if is_due(&fleet, index, &asked[index], &store) {
                ask(&mut fleet, index, &mut asked, &store);
            }
            let first_unknown = store.changes.get(fleet.hosts[index].log.known() as usize);
            let age_ms = first_unknown.map_or(0, |(changed_ms, ..)| fleet.ms - changed_ms);
            oldest_ms = oldest_ms.max(age_ms);
        }
    }
    // Each asked once before the changes began.
    let calls: u64 = asked.iter().map(|asked| asked.calls - 1).sum();
    (oldest_ms, calls as f64 * 1_000.0 / (fleet.ms - started_ms) as f64)
}

/// Returns whether a host asks the store now, or a watch of its is answered.
fn is_due(fleet: &Fleet, index: usize, asked: &Asked, store: &Store) -> bool {
    let host = &fleet.hosts[index];
    let since_ms = fleet.ms - asked.last_ms;
    if since_ms < REST_MS {
        return false;
    }
    if index < WATCHERS {
        return since_ms >= WATCH_MS || store.revision > host.log.known();
    }
    !host.watch.may_rest(at(fleet.ms), SharedWatch::news_ms_max(TARGET_LEAVE_MS))
}

fn ask(fleet: &mut Fleet, index: usize, asked: &mut [Asked], store: &Store) {
    let host = &mut fleet.hosts[index];
    let after = host.log.known();
    host.log.asked(after, store.revision, store.since(after));
    let (known, changed) = (host.log.known(), host.log.changed());
    host.watch.asked(at(fleet.ms), known, changed);
    asked[index].calls += 1;
    asked[index].last_ms = fleet.ms;
}
