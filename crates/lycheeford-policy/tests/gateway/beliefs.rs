//! Which targets are chosen after they announced a shutdown or asked for a pause, whether this host
//! learnt of it from an answer, from the list of targets or from another host.

use lycheeford_policy::{
    Choice, Chosen, Selection, ShortKey, StoreVersion, TargetEntry, TargetLife, TargetRequirements,
    TargetState, TargetTable, WaitQueue,
};

use crate::world::{at, entry, name, need, queued, slot_claim};

const LIFE: u64 = 1;

fn at_target(id: &str, life: u64) -> Chosen {
    Chosen {
        id: name(id),
        life,
        version: name("v1"),
        address: ([127, 0, 0, 1], 9_000).into(),
        running: 0,
        permit: None,
        choice: Choice::default(),
    }
}

/// An event of the target `t1`.
#[derive(Clone, Copy)]
enum Step {
    Listed(TargetState, u64),
    RestartedAs(u64),
    Unlisted,
    Leaves { life: u64 },
    ReportedLeaving { life: u64 },
    Pauses { life: u64, pause_ms: u64 },
}

fn apply(targets: &mut TargetTable, ms: u64, step: Step) {
    let listed = |state, life| TargetEntry { state, life, ..entry("t1", &["m1"]) };
    match step {
        Step::Listed(state, life) => targets.put(at(ms), listed(state, life)),
        Step::RestartedAs(life) => targets.put(at(ms), listed(TargetState::Ready, life)),
        Step::Unlisted => targets.gone(at(ms), "t1", 0),
        Step::Leaves { life } => {
            targets.leaves(at(ms), &at_target("t1", life));
        }
        Step::ReportedLeaving { life } => {
            targets.record_peer_leaving(at(ms), TargetLife { target: ShortKey::of("t1"), life });
        }
        Step::Pauses { life, pause_ms } => targets.pause(at(ms), &at_target("t1", life), pause_ms),
    }
}

/// The result of choosing a target.
#[derive(Debug, PartialEq)]
enum Found {
    Target,
    Paused { until_ms: u64 },
    Nothing,
}

fn found(targets: &mut TargetTable, ms: u64, need: &TargetRequirements) -> Found {
    match targets.choose(at(ms), need) {
        Selection::Chosen(_) => Found::Target,
        Selection::Paused { until } => Found::Paused { until_ms: until.as_ms() },
        _ => Found::Nothing,
    }
}

struct BeliefCase {
    what: &'static str,
    steps: &'static [(u64, Step)],
    /// The expected results by time in milliseconds.
    found: &'static [(u64, Found)],
}

const READY: Step = Step::Listed(TargetState::Ready, LIFE);

const CASES: [BeliefCase; 12] = [
    BeliefCase {
        what: "its answer says that it leaves, while the list says that it is ready",
        steps: &[(0, READY), (100, Step::Leaves { life: LIFE }), (500, READY), (1_500, READY)],
        found: &[(101, Found::Target), (799, Found::Target), (800, Found::Nothing)],
    },
    BeliefCase {
        what: "another host reports that it leaves",
        steps: &[(0, READY), (100, Step::ReportedLeaving { life: LIFE })],
        found: &[(799, Found::Target), (801, Found::Nothing), (60_000, Found::Nothing)],
    },
    BeliefCase {
        what: "several sources say that it leaves, and none extends its time",
        steps: &[
            (0, READY),
            (100, Step::Leaves { life: LIFE }),
            (600, Step::ReportedLeaving { life: LIFE }),
            (700, Step::Listed(TargetState::Leaving { remaining_ms: None }, LIFE)),
        ],
        found: &[(799, Found::Target), (800, Found::Nothing)],
    },
    BeliefCase {
        what: "its entry expires and comes back after it said that it leaves",
        steps: &[
            (0, READY),
            (100, Step::Leaves { life: LIFE }),
            (200, Step::Unlisted),
            (3_000, READY),
        ],
        found: &[(3_001, Found::Nothing)],
    },
    BeliefCase {
        what: "another host reports that it leaves before it is listed",
        steps: &[(0, Step::ReportedLeaving { life: LIFE }), (900, READY)],
        found: &[(901, Found::Nothing)],
    },
    BeliefCase {
        what: "it restarts under its id after it said that it leaves",
        steps: &[(0, READY), (100, Step::Leaves { life: LIFE }), (900, Step::RestartedAs(2))],
        found: &[(899, Found::Nothing), (901, Found::Target)],
    },
    BeliefCase {
        what: "an answer from before its restart arrives late",
        steps: &[
            (0, READY),
            (100, Step::RestartedAs(2)),
            (200, Step::Leaves { life: LIFE }),
            (200, Step::Pauses { life: LIFE, pause_ms: 5_000 }),
        ],
        found: &[(300, Found::Target), (2_000, Found::Target)],
    },
    BeliefCase {
        what: "it asks for a pause",
        steps: &[(0, READY), (100, Step::Pauses { life: LIFE, pause_ms: 1_500 }), (900, READY)],
        found: &[
            (101, Found::Paused { until_ms: 1_600 }),
            (1_599, Found::Paused { until_ms: 1_600 }),
            (1_600, Found::Target),
        ],
    },
    BeliefCase {
        what: "a shorter pause doesn't end a longer one",
        steps: &[
            (0, READY),
            (100, Step::Pauses { life: LIFE, pause_ms: 1_500 }),
            (200, Step::Pauses { life: LIFE, pause_ms: 10 }),
        ],
        found: &[(1_000, Found::Paused { until_ms: 1_600 })],
    },
    BeliefCase {
        what: "its entry expires and comes back during a pause",
        steps: &[
            (0, READY),
            (100, Step::Pauses { life: LIFE, pause_ms: 1_500 }),
            (200, Step::Unlisted),
            (300, READY),
        ],
        found: &[(400, Found::Paused { until_ms: 1_600 })],
    },
    BeliefCase {
        what: "it restarts during a pause",
        steps: &[
            (0, READY),
            (100, Step::Pauses { life: LIFE, pause_ms: 60_000 }),
            (200, Step::RestartedAs(2)),
        ],
        found: &[(300, Found::Target)],
    },
    BeliefCase {
        what: "it says during a pause that it leaves",
        steps: &[
            (0, READY),
            (100, Step::Pauses { life: LIFE, pause_ms: 400 }),
            (200, Step::Leaves { life: LIFE }),
        ],
        found: &[
            (300, Found::Paused { until_ms: 500 }),
            (600, Found::Target),
            (900, Found::Nothing),
        ],
    },
];

#[test]
fn leaving_and_paused_targets_are_not_chosen() {
    for BeliefCase { what, steps, found: expected } in CASES {
        for (ms, expected) in expected {
            let mut targets = TargetTable::default();
            for (step_ms, step) in steps.iter().filter(|(step_ms, _)| step_ms <= ms) {
                apply(&mut targets, *step_ms, *step);
            }
            assert_eq!(found(&mut targets, *ms, &need("m1")), *expected, "{what}, {ms} ms");
        }
    }
}

#[test]
fn requests_waiting_for_a_paused_target_move_or_get_a_retry_time() {
    let mut targets = TargetTable::default();
    targets.put(at(0), TargetEntry { slots: 1, ..entry("t1", &["m1", "m2"]) });
    targets.put(at(0), TargetEntry { slots: 1, ..entry("t2", &["m1"]) });
    let mut queue = WaitQueue::default();
    let busy = [at_target("t1", LIFE), at_target("t2", LIFE)];
    for target in &busy {
        targets.started(at(0), target, Some(&name("m1")), 10);
    }
    for (id, model) in [(1, "m1"), (2, "m2")] {
        queue.push(at(0), queued(slot_claim(id, 0), need(model)));
    }
    targets.pause(at(1), &busy[0], 900);
    for target in &busy {
        targets.ended(target, Some(&name("m1")), 10);
    }
    let dispatched = queue.dispatch(at(10), &mut targets);
    assert_eq!(dispatched.len(), 1);
    assert_eq!((dispatched[0].0, &dispatched[0].1.id), (1, &name("t2")));
    // Only t1 holds m2.
    assert_eq!(
        targets.limited_or_paused(at(10), &need("m2")),
        Some(Selection::Paused { until: at(901) })
    );
    assert_eq!(targets.limited_or_paused(at(10), &need("m1")), None, "t2 is only full");
    assert_eq!(targets.limited_or_paused(at(901), &need("m2")), None);
}

#[test]
fn a_leaving_target_is_reported_to_other_hosts_once() {
    let (mut first, mut second) = (TargetTable::default(), TargetTable::default());
    for targets in [&mut first, &mut second] {
        targets.put(at(0), entry("t1", &["m1"]));
    }
    assert!(first.leaves(at(10), &at_target("t1", LIFE)));
    assert!(!first.leaves(at(20), &at_target("t1", LIFE)));
    let reported = first.leaving_to_announce(at(30));
    assert_eq!(reported, [TargetLife { target: ShortKey::of("t1"), life: LIFE }]);
    assert!(second.record_peer_leaving(at(40), reported[0]));
    assert!(!second.record_peer_leaving(at(50), reported[0]));
    assert!(!first.record_peer_leaving(at(60), reported[0]));
    // Hosts don't pass reports of each other on without end.
    assert!(first.leaving_to_announce(at(6_000)).is_empty());
    assert!(second.leaving_to_announce(at(6_000)).is_empty());
}

#[test]
fn a_pause_is_not_reported_to_other_hosts() {
    let mut targets = TargetTable::default();
    targets.put(at(0), entry("t1", &["m1"]));
    targets.pause(at(10), &at_target("t1", LIFE), 1_000);
    assert!(targets.leaving_to_announce(at(20)).is_empty());
    assert!(targets.target("t1").unwrap().is_ready(), "a paused target still counts as a replica");
}

/// A target that leaves in its second life, and an entry of it that comes after the store was
/// restored, or without a restore.
struct RestoredEntryCase {
    what: &'static str,
    life: u64,
    era: u64,
    revision: u64,
    found: Found,
}

/// Regression test (soak seed 41006): the copy of the store had an earlier life of a target that
/// was leaving, which then seemed to accept requests.
#[test]
fn an_earlier_life_in_the_copy_of_a_restored_store_replaces_no_later_one() {
    let cases = [
        RestoredEntryCase {
            what: "the earlier life, from the copy",
            life: 1,
            era: 2,
            revision: 5,
            found: Found::Nothing,
        },
        RestoredEntryCase {
            what: "the same life, from the copy",
            life: 2,
            era: 2,
            revision: 5,
            found: Found::Nothing,
        },
        RestoredEntryCase {
            what: "a later life after the restore",
            life: 3,
            era: 2,
            revision: 6,
            found: Found::Target,
        },
        // Within an era the store's order decides: the time of day may have been set back.
        RestoredEntryCase {
            what: "a life with a lesser number, without a restore",
            life: 1,
            era: 1,
            revision: 11,
            found: Found::Target,
        },
    ];
    for RestoredEntryCase { what, life, era, revision, found: expected } in cases {
        let listed = |life, era, revision| TargetEntry {
            life,
            revision: StoreVersion { era, revision }.to_number(),
            ..entry("t1", &["m1"])
        };
        let mut targets = TargetTable::default();
        targets.put(at(0), listed(2, 1, 10));
        targets.leaves(at(10), &at_target("t1", 2));
        targets.put(at(2_000), listed(life, era, revision));
        assert_eq!(found(&mut targets, 2_000, &need("m1")), expected, "{what}");
    }
}

/// How long a leaving target serves at least, in milliseconds.
const SERVE_MS_MIN: u64 = 1_500;

struct ExitCase {
    what: &'static str,
    steps: &'static [(u64, Step)],
    /// When the last bytes of a response arrived, and when its connection ended.
    heard_ms: u64,
    ended_ms: u64,
    may_have_left: bool,
}

const LEAVING: Step = Step::Listed(TargetState::Leaving { remaining_ms: None }, LIFE);

const EXIT_CASES: [ExitCase; 10] = [
    ExitCase {
        what: "it is listed as ready",
        steps: &[(0, READY)],
        heard_ms: 4_900,
        ended_ms: 5_000,
        may_have_left: false,
    },
    ExitCase {
        what: "it is listed as leaving",
        steps: &[(0, READY), (1_000, LEAVING)],
        heard_ms: 2_400,
        ended_ms: 2_500,
        may_have_left: true,
    },
    ExitCase {
        what: "it must serve for longer",
        steps: &[(0, READY), (1_000, LEAVING)],
        heard_ms: 2_400,
        ended_ms: 2_499,
        may_have_left: false,
    },
    ExitCase {
        what: "nothing came since it was listed as leaving",
        steps: &[(0, READY), (1_000, LEAVING)],
        heard_ms: 999,
        ended_ms: 5_000,
        may_have_left: false,
    },
    ExitCase {
        what: "an answer said that it leaves",
        steps: &[(0, READY), (1_000, Step::Leaves { life: LIFE })],
        heard_ms: 2_400,
        ended_ms: 2_500,
        may_have_left: true,
    },
    ExitCase {
        what: "another host reported that it leaves, and its entry is gone",
        steps: &[
            (0, READY),
            (1_000, Step::ReportedLeaving { life: LIFE }),
            (2_000, Step::Unlisted),
        ],
        heard_ms: 2_400,
        ended_ms: 2_500,
        may_have_left: true,
    },
    ExitCase {
        what: "its entry disappeared, and it went on",
        steps: &[(0, READY), (1_000, Step::Unlisted)],
        heard_ms: 2_400,
        ended_ms: 2_500,
        may_have_left: true,
    },
    ExitCase {
        what: "a later life is listed, and it went on",
        steps: &[(0, READY), (1_000, Step::RestartedAs(2))],
        heard_ms: 2_400,
        ended_ms: 2_500,
        may_have_left: true,
    },
    ExitCase {
        what: "it is gone at a set time",
        steps: &[
            (0, READY),
            (1_000, Step::Listed(TargetState::Leaving { remaining_ms: Some(3_000) }, LIFE)),
        ],
        heard_ms: 4_000,
        ended_ms: 4_000,
        may_have_left: false,
    },
    ExitCase {
        what: "its entry expired and came back",
        steps: &[(0, READY), (1_000, Step::Unlisted), (2_000, READY)],
        heard_ms: 4_000,
        ended_ms: 4_000,
        may_have_left: false,
    },
];

/// Guards against a planned exit that is taken for a crash, and the other way round.
#[test]
fn a_target_has_left_only_after_notice() {
    for case in &EXIT_CASES {
        let mut targets = TargetTable::default();
        for (index, (ms, step)) in case.steps.iter().enumerate() {
            apply(&mut targets, *ms, *step);
            if index == 0 {
                // The response whose end is judged runs meanwhile.
                targets.started(at(*ms), &at_target("t1", LIFE), None, 0);
            }
        }
        let may_have_left = targets.may_have_left(
            at(case.ended_ms),
            &at_target("t1", LIFE),
            at(case.heard_ms),
            SERVE_MS_MIN,
        );
        assert_eq!(may_have_left, case.may_have_left, "{}", case.what);
    }
}
