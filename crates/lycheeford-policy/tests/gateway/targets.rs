//! Which target a request is sent to, and the order of waiting requests.

use lycheeford_policy::{
    Choice, Chosen, Claim, HostPlace, Name, RunningAt, Selection, ShortKey, TargetEntry,
    TargetFailure, TargetRequirements, TargetState, TargetTable, WaitQueue, Waiting,
};

use crate::world::{at, entry, name, need, queued, slot_claim};

fn table(entries: &[TargetEntry]) -> TargetTable {
    let mut targets = TargetTable::default();
    for entry in entries {
        targets.put(at(0), entry.clone());
    }
    targets
}

fn chosen_id(targets: &mut TargetTable, ms: u64, need: &TargetRequirements) -> Option<Name> {
    match targets.choose(at(ms), need) {
        Selection::Chosen(chosen) => Some(chosen.id),
        _ => None,
    }
}

fn choose_target(targets: &mut TargetTable, ms: u64, need: &TargetRequirements) -> Chosen {
    match targets.choose(at(ms), need) {
        Selection::Chosen(chosen) => chosen,
        selection => panic!("{selection:?}"),
    }
}

struct SelectionCase {
    what: &'static str,
    entries: Vec<TargetEntry>,
    selection: Selection,
}

#[test]
fn a_failed_choice_names_its_reason() {
    let leaving = TargetState::Leaving { remaining_ms: Some(500) };
    let cases = [
        SelectionCase {
            what: "no target is listed",
            entries: vec![],
            selection: Selection::NoTarget,
        },
        SelectionCase {
            what: "the target holds another model",
            entries: vec![entry("t1", &["m2"])],
            selection: Selection::NotResident,
        },
        SelectionCase {
            what: "the target leaves within 500 ms",
            entries: vec![TargetEntry { state: leaving, ..entry("t1", &["m1"]) }],
            selection: Selection::NoTarget,
        },
        SelectionCase {
            what: "the target has no slots",
            entries: vec![TargetEntry { slots: 0, ..entry("t1", &["m1"]) }],
            selection: Selection::Full,
        },
    ];
    for case in cases {
        assert_eq!(
            table(&case.entries).choose(at(1), &need("m1")),
            case.selection,
            "{}",
            case.what
        );
    }
}

#[test]
fn a_leaving_target_is_chosen_only_briefly_and_if_no_other_is_left() {
    let leaving = TargetState::Leaving { remaining_ms: None };
    let mut targets = table(&[
        entry("t1", &["m1"]),
        TargetEntry { state: leaving, ..entry("t2", &["m1", "m2"]) },
    ]);
    for _ in 0..4 {
        assert_eq!(chosen_id(&mut targets, 10, &need("m1")), Some(name("t1")));
    }
    assert_eq!(chosen_id(&mut targets, 10, &need("m2")), Some(name("t2")));
    assert_eq!(chosen_id(&mut targets, 900, &need("m2")), None);
    // A repeated announcement doesn't extend its time.
    targets.put(at(900), TargetEntry { state: leaving, ..entry("t2", &["m1", "m2"]) });
    assert_eq!(chosen_id(&mut targets, 1_000, &need("m2")), None);
}

#[test]
fn load_from_other_hosts_and_failures_move_requests_to_other_targets() {
    let mut targets = table(&[entry("t1", &["m1"]), entry("t2", &["m1"])]);
    let running =
        RunningAt { target: ShortKey::of("t1"), model: ShortKey::of("m1"), running: 4, tokens: 0 };
    targets.runs_elsewhere(&name("other"), &[running]);
    assert_eq!(chosen_id(&mut targets, 1, &need("m1")), Some(name("t2")), "t1 has no free slot");
    targets.runs_elsewhere(&name("other"), &[]);
    let first = choose_target(&mut targets, 1, &need("m1"));
    targets.failed(at(1), &first, TargetFailure::Unreachable);
    for ms in 2..10 {
        assert_ne!(chosen_id(&mut targets, ms, &need("m1")), Some(first.id.clone()));
    }
    // The target gets requests again after a pause, here as the other one has no free slot.
    let other = if first.id == name("t1") { "t2" } else { "t1" };
    let busy = RunningAt { target: ShortKey::of(other), ..running };
    targets.runs_elsewhere(&name("other"), &[busy]);
    assert_eq!(chosen_id(&mut targets, 10, &need("m1")), None);
    assert_eq!(chosen_id(&mut targets, 1_200, &need("m1")), Some(first.id.clone()));
}

#[test]
fn a_choice_records_the_number_of_usable_targets_and_the_runner_up() {
    let mut targets = table(&[entry("a", &["m1"]), entry("b", &["m1"]), entry("c", &["m2"])]);
    let busy = choose_target(&mut targets, 0, &need("m1"));
    for _ in 0..3 {
        targets.started(at(0), &busy, Some(&name("m1")), 100);
    }
    let free = choose_target(&mut targets, 0, &need("m1"));
    assert_ne!(free.id, busy.id);
    assert_eq!(free.choice.usable, 2, "c doesn't hold the model");
    let (runner_up, cost_ms) = free.choice.runner_up.clone().unwrap();
    assert_eq!(runner_up, busy.id);
    assert!(free.choice.cost_ms <= cost_ms, "{:?}", free.choice);
}

#[test]
fn a_target_that_fails_some_of_its_requests_is_rarely_chosen() {
    let mut targets = table(&[entry("good", &["m1"]), entry("grey", &["m1"])]);
    let at_target = |id: &str| Chosen {
        id: name(id),
        life: 1,
        version: name("v1"),
        address: ([127, 0, 0, 1], 9_000).into(),
        running: 0,
        permit: None,
        choice: Choice::default(),
    };
    for ms in 0..40 {
        targets.succeeded(at(ms), &at_target("good"), 50);
        if ms % 5 < 2 {
            targets.failed(at(ms), &at_target("grey"), TargetFailure::Error);
        } else {
            targets.succeeded(at(ms), &at_target("grey"), 50);
        }
    }
    let grey =
        (40..140).filter(|ms| chosen_id(&mut targets, *ms, &need("m1")) == Some(name("grey")));
    assert!(grey.count() < 20);
}

#[test]
fn a_restarted_target_begins_with_no_running_requests() {
    let mut targets = table(&[entry("t1", &["m1"])]);
    let first = choose_target(&mut targets, 1, &need("m1"));
    targets.started(at(0), &first, Some(&name("m1")), 100);
    targets.put(at(2), TargetEntry { life: 2, ..entry("t1", &["m1"]) });
    assert!(!targets.is_listed("t1", 1));
    assert_eq!(targets.target("t1").unwrap().running(), 0);
    // A request that was sent before the restart doesn't count when it ends.
    let second = choose_target(&mut targets, 3, &need("m1"));
    targets.started(at(0), &second, Some(&name("m1")), 100);
    targets.ended(&first, Some(&name("m1")), 100);
    assert_eq!(targets.target("t1").unwrap().running(), 1);
}

#[test]
fn removed_entries_are_kept_only_for_the_grace_period() {
    let mut targets = table(&[entry("t1", &["m1"]), entry("t2", &["m1"])]);
    targets.gone(at(0), "t1", 0);
    assert!(targets.target("t1").is_none());
    // After an outage of the store, targets soon register again.
    targets.replace(at(0), Vec::new(), 2_000);
    targets.expire(at(1_999));
    assert!(targets.target("t2").is_some());
    targets.put(at(1_999), entry("t2", &["m1"]));
    targets.expire(at(5_000));
    assert!(targets.target("t2").is_some());
    targets.replace(at(5_000), Vec::new(), 2_000);
    targets.expire(at(7_000));
    assert!(targets.target("t2").is_none());
}

#[test]
fn announced_placements_override_entries_until_they_are_cleared() {
    let mut targets = table(&[entry("t1", &["m1"])]);
    let (target, m1, m2) = (ShortKey::of("t1"), ShortKey::of("m1"), ShortKey::of("m2"));
    targets.announce(target, m1, false);
    targets.announce(target, m2, true);
    assert_eq!(chosen_id(&mut targets, 1, &need("m1")), None);
    assert_eq!(chosen_id(&mut targets, 1, &need("m2")), Some(name("t1")));
    targets.clear_announced();
    assert_eq!(chosen_id(&mut targets, 1, &need("m1")), Some(name("t1")));
    let adapter = TargetRequirements { adapter: Some(name("a1")), ..need("m1") };
    assert_eq!(chosen_id(&mut targets, 1, &adapter), None);
    targets.announce(target, ShortKey::of_adapter("m1", "a1"), true);
    let first = choose_target(&mut targets, 1, &adapter);
    targets.refused(at(1), &first, &adapter, 150);
    assert_eq!(chosen_id(&mut targets, 2, &adapter), None);
}

#[test]
fn hosts_agree_on_the_target_for_a_cached_prompt_prefix() {
    let entries: Vec<TargetEntry> = ["t1", "t2", "t3"].map(|id| entry(id, &["m1"])).into();
    let need = TargetRequirements { affinity: Some((17, 165)), ..need("m1") };
    let first = chosen_id(&mut table(&entries), 1, &need).unwrap();
    for ms in 2..20 {
        assert_eq!(chosen_id(&mut table(&entries), ms, &need), Some(first.clone()));
    }
}

fn waiting(id: u64, model: &str, priority: u8, arrived_ms: u64) -> Waiting {
    queued(Claim { priority, ..slot_claim(id, arrived_ms) }, need(model))
}

#[test]
fn better_priority_goes_first_and_no_request_starves() {
    let mut targets = table(&[TargetEntry { slots: 1, ..entry("t1", &["m1"]) }]);
    let mut queue = WaitQueue::default();
    queue.push(at(0), waiting(1, "m1", 2, 0));
    queue.push(at(1_000), waiting(2, "m1", 0, 1_000));
    // Request 3 arrives so much later than request 1 that request 1 goes first despite its lower
    // priority.
    queue.push(at(4_000), waiting(3, "m1", 0, 4_000));
    queue.push(at(0), waiting(4, "cold", 0, 0));
    let mut order = Vec::new();
    for ms in 4_001..4_010 {
        for (id, chosen) in queue.dispatch(at(ms), &mut targets) {
            order.push(id);
            targets.ended(&chosen, Some(&name("m1")), 100);
        }
    }
    assert_eq!(order, [2, 1, 3]);
    assert_eq!(queue.waiting().len(), 1, "a request for a model that isn't loaded blocks no other");
    assert!(queue.remove(4));
    assert!(!queue.remove(4));
}

#[test]
fn a_request_that_excludes_a_target_does_not_block_others_for_it() {
    let mut targets = table(&[entry("t1", &["m1"])]);
    let mut queue = WaitQueue::default();
    let mut repeated = waiting(1, "m1", 0, 0);
    repeated.need.excluded = vec![name("t1")];
    queue.push(at(0), repeated);
    queue.push(at(10), waiting(2, "m1", 0, 10));
    let dispatched = queue.dispatch(at(20), &mut targets);
    let ids: Vec<u64> = dispatched.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [2]);
}

struct BrittleCase {
    slots: u32,
    hosts: usize,
    /// The requests that all hosts together send to one brittle target in a burst.
    sent: usize,
}

#[test]
fn hosts_together_never_fill_a_brittle_target() {
    let cases = [
        BrittleCase { slots: 64, hosts: 1, sent: 48 },
        BrittleCase { slots: 64, hosts: 8, sent: 48 },
        BrittleCase { slots: 24, hosts: 7, sent: 18 },
        BrittleCase { slots: 16, hosts: 295, sent: 12 },
    ];
    for case in cases {
        let mut sent = 0;
        for index in 0..case.hosts {
            let mut targets = table(&[TargetEntry { slots: case.slots, ..entry("t1", &["m1"]) }]);
            targets.set_host_place(HostPlace { index, count: case.hosts });
            assert!(targets.record_brittle(at(0), &name("models")));
            assert!(!targets.record_brittle(at(1), &name("models")), "known already");
            let need = TargetRequirements { cache_tokens_max: None, ..need("m1") };
            while let Selection::Chosen(chosen) = targets.choose(at(2), &need) {
                targets.started(at(0), &chosen, Some(&name("m1")), 0);
                sent += 1;
            }
            assert!(!targets.is_brittle(at(10_000), &name("models")), "not said for seconds");
        }
        assert_eq!(sent, case.sent, "{} slots, {} hosts", case.slots, case.hosts);
    }
}
