//! Targets that have just started, and evacuated failure domains.

use lycheeford_policy::{
    Evacuations, HostPlace, Name, Selection, TargetEntry, TargetRequirements, TargetTable, TimeMs,
};

use crate::world::{at, entry, name, need};

const PER_S: f64 = 20.0;
const COLD_MS: u64 = 3_000;
/// What the platform's rule allows in any second: 1.5 times the rate and 5 more.
const REQUESTS_MAX: usize = 35;

fn cold_entry(cold_remaining_ms: u64) -> TargetEntry {
    TargetEntry { slots: 1_000, cold_remaining_ms, ..entry("t1", &["m1"]) }
}

fn host(index: usize, count: usize, learnt_at: TimeMs, target: TargetEntry) -> TargetTable {
    let mut targets = TargetTable::default();
    targets.set_host_place(HostPlace { index, count });
    targets.set_cold_rates(at(0), vec![(name("models"), PER_S)]);
    targets.put(learnt_at, target);
    targets
}

/// Sends a request if the target takes one; returns whether it did.
fn send(targets: &mut TargetTable, now: TimeMs) -> bool {
    let need = TargetRequirements { cache_tokens_max: None, ..need("m1") };
    let Selection::Chosen(chosen) = targets.choose(now, &need) else { return false };
    targets.started(now, &chosen, Some(&name("m1")), 0);
    true
}

struct ColdCase {
    what: &'static str,
    hosts: usize,
    /// The longest time by which a host learns later than the first one that the target is cold.
    delay_ms_max: u64,
    /// When requests begin to wait at all hosts for the target.
    asked_from_ms: u64,
}

/// Guards against hosts that all find a target empty after its start and together send it more
/// requests than it bears.
#[test]
fn hosts_together_send_a_cold_target_no_more_than_it_bears() {
    let base = ColdCase { what: "", hosts: 70, delay_ms_max: 0, asked_from_ms: 0 };
    let cases = [
        ColdCase { what: "one host", hosts: 1, ..base },
        ColdCase { what: "eight hosts", hosts: 8, ..base },
        ColdCase { what: "seventy hosts", ..base },
        ColdCase { what: "hosts that learn late", delay_ms_max: 500, ..base },
        ColdCase { what: "requests come when many turns are over", asked_from_ms: 1_500, ..base },
        ColdCase { what: "three hundred hosts", hosts: 300, delay_ms_max: 500, ..base },
    ];
    for case in cases {
        let delay_ms = |index: usize| (index as u64 * 7_919) % (case.delay_ms_max + 1);
        let mut hosts: Vec<(u64, TargetTable)> = (0..case.hosts)
            .map(|index| {
                let learnt_ms = delay_ms(index);
                let cold = cold_entry(COLD_MS);
                (learnt_ms, host(index, case.hosts, at(learnt_ms), cold))
            })
            .collect();
        let mut sent_ms: Vec<u64> = Vec::new();
        for now_ms in (case.asked_from_ms..COLD_MS).step_by(10) {
            for (learnt_ms, targets) in &mut hosts {
                if now_ms >= *learnt_ms && send(targets, at(now_ms)) {
                    sent_ms.push(now_ms);
                }
            }
        }
        let in_second = |from: &u64| {
            sent_ms.iter().filter(|sent| (*from..*from + 1_000).contains(sent)).count()
        };
        let most = sent_ms.iter().map(in_second).max().unwrap_or_default();
        assert!(most <= REQUESTS_MAX, "{}: {most} requests in a second", case.what);
        assert!(!sent_ms.is_empty(), "{}: the target isn't used", case.what);
    }
}

#[test]
fn a_target_that_is_warm_again_takes_any_number() {
    let mut targets = host(0, 70, at(0), cold_entry(COLD_MS));
    assert_eq!(targets.cold_targets(at(100)), 1);
    let while_cold = (0..100).filter(|_| send(&mut targets, at(100))).count();
    assert!(while_cold <= 1, "{while_cold} at once");
    let warm = cold_entry(0);
    assert!(targets.is_other(&warm), "other hosts are told");
    targets.put(at(200), warm);
    assert_eq!(targets.cold_targets(at(200)), 0);
    assert_eq!((0..100).filter(|_| send(&mut targets, at(200))).count(), 100);
    // Without an entry that says so, the target is warm once its time is over.
    let mut targets = host(0, 70, at(0), cold_entry(COLD_MS));
    assert_eq!((0..100).filter(|_| send(&mut targets, at(COLD_MS))).count(), 100);
    // A service that states no rate for cold targets is served as before.
    let mut targets = TargetTable::default();
    targets.put(at(0), cold_entry(COLD_MS));
    assert_eq!((0..100).filter(|_| send(&mut targets, at(0))).count(), 100);
}

struct EvacuationCase {
    what: &'static str,
    evacuated: &'static [&'static str],
    chosen: Option<&'static str>,
}

/// Guards against requests to targets whose failure domain the operators evacuate.
#[test]
fn an_evacuated_failure_domain_gets_no_requests() {
    let cases = [
        EvacuationCase { what: "none", evacuated: &[], chosen: Some("t1") },
        EvacuationCase { what: "the nearest", evacuated: &["a"], chosen: Some("t2") },
        EvacuationCase { what: "another", evacuated: &["c"], chosen: Some("t1") },
        EvacuationCase { what: "all", evacuated: &["a", "b"], chosen: None },
    ];
    for case in cases {
        let mut targets = TargetTable::default();
        targets.put(at(0), entry("t1", &["m1"]));
        let evacuated: Vec<Name> = case.evacuated.iter().copied().map(name).collect();
        targets.set_evacuated(evacuated);
        targets.put(at(0), TargetEntry { failure_domain: name("b"), ..entry("t2", &["m1"]) });
        let chosen = match targets.choose(at(1), &need("m1")) {
            Selection::Chosen(chosen) => Some(chosen.id),
            other => {
                assert_eq!(other, Selection::NoTarget, "{}", case.what);
                None
            }
        };
        assert_eq!(chosen.as_ref().map(Name::as_str), case.chosen, "{}", case.what);
        targets.set_evacuated(Vec::new());
        let chosen = targets.choose(at(2), &need("m1"));
        assert!(matches!(chosen, Selection::Chosen(chosen) if chosen.id.as_str() == "t1"));
    }
}

struct ListCase {
    what: &'static str,
    /// Revision, time of the query, and domains of each list, in the order in which they arrive.
    lists: &'static [(u64, u64, &'static [&'static str])],
    domains: &'static [&'static str],
    age_ms: Option<u64>,
}

/// Guards against a list that another host asked for earlier and that takes back a newer one.
#[test]
fn the_newest_list_of_evacuations_holds_whoever_reports_it() {
    let cases = [
        ListCase { what: "nothing is known", lists: &[], domains: &[], age_ms: None },
        ListCase {
            what: "a list without changes",
            lists: &[(3, 500, &[]), (3, 700, &[])],
            domains: &[],
            age_ms: Some(300),
        },
        ListCase {
            what: "an older revision that was asked for later",
            lists: &[(4, 500, &["a"]), (3, 700, &[])],
            domains: &["a"],
            age_ms: Some(500),
        },
        ListCase {
            what: "an evacuation that is taken back",
            lists: &[(4, 500, &["a", "b"]), (5, 400, &["b"])],
            domains: &["b"],
            age_ms: Some(500),
        },
    ];
    for case in cases {
        let mut evacuations = Evacuations::default();
        for (revision, asked_ms, domains) in case.lists {
            let domains = domains.iter().copied().map(name).collect();
            evacuations.record(*revision, at(*asked_ms), domains);
        }
        let known: Vec<&str> = evacuations.domains().iter().map(Name::as_str).collect();
        assert_eq!(known, case.domains, "{}", case.what);
        assert_eq!(evacuations.age_ms(at(1_000)), case.age_ms, "{}", case.what);
        let told = evacuations.report(at(1_000)).map(|report| (report.age_ms, report.domains));
        let domains = case.domains.iter().copied().map(name).collect();
        assert_eq!(told, case.age_ms.map(|age_ms| (age_ms, domains)), "{}", case.what);
    }
}
