//! Rate limits that targets name and all hosts together keep, in virtual time.

use lycheeford_policy::{
    Choice, Chosen, Name, PeerState, PermitAnswer, PermitAsk, PermitGranter, PermitRank, Selection,
    ShortKey, TargetBelief, TargetEntry, TargetLife, TargetRequirements, TargetTable,
    permit_granter,
};

use crate::limited_fleet::{Event, LimitCase, LimitedFleet, TARGET, address, visibility};
use crate::world::{at, entry, name, need};

const BASE: LimitCase = LimitCase {
    what: "one a second",
    hosts: 7,
    events: &[(1_000, Event::SetLimit(Some(1.0)))],
    needed_per_s: 30.0,
    spare_per_s: 0.0,
    lost_part: 0.0,
    for_ms: 20_000,
    used_part: 0.9,
    used_from_ms: 1_000,
};

const SIZES: [usize; 3] = [7, 61, 295];

fn check(case: &LimitCase) {
    for hosts in SIZES {
        let case = LimitCase { hosts, ..*case };
        let what = format!("{}, {hosts} hosts", case.what);
        let mut fleet = LimitedFleet::start(&case);
        fleet.run(&case, case.events);
        fleet.check_limit(&what);
        fleet.check_use(&what, &case);
    }
}

/// Regression test of inc1 (issue 24): each host sent as many requests as before the limit.
#[test]
fn all_hosts_together_keep_the_limit_of_a_target_and_use_it() {
    let cases = [
        BASE,
        LimitCase { what: "3.7 a second", events: &[(1_000, Event::SetLimit(Some(3.7)))], ..BASE },
        LimitCase {
            what: "20 a second, a tenth of the demand",
            events: &[(1_000, Event::SetLimit(Some(20.0)))],
            needed_per_s: 200.0,
            ..BASE
        },
        LimitCase {
            what: "many requests that other targets can serve, too",
            spare_per_s: 60.0,
            ..BASE
        },
        LimitCase {
            what: "only requests that other targets can serve, too",
            needed_per_s: 0.0,
            spare_per_s: 60.0,
            // A spare request gets a permit only while no request that needs the target may come.
            used_part: 0.5,
            ..BASE
        },
        LimitCase {
            what: "demand below the limit",
            events: &[(1_000, Event::SetLimit(Some(3.7)))],
            needed_per_s: 2.0,
            used_part: 0.4,
            ..BASE
        },
        LimitCase {
            what: "a limit of 0, with a probe now and then",
            events: &[(1_000, Event::SetLimit(Some(0.0)))],
            used_part: 0.0,
            ..BASE
        },
        LimitCase {
            what: "the limit changes",
            events: &[
                (1_000, Event::SetLimit(Some(20.0))),
                (6_000, Event::SetLimit(Some(1.0))),
                (13_000, Event::SetLimit(Some(5.0))),
            ],
            used_part: 0.7,
            used_from_ms: 13_000,
            ..BASE
        },
        LimitCase { what: "lost messages", lost_part: 0.2, used_part: 0.7, ..BASE },
    ];
    for case in &cases {
        check(case);
    }
}

#[test]
fn faults_and_new_hosts_do_not_send_a_target_more_than_its_limit() {
    const NAMED: (u64, Event) = (1_000, Event::SetLimit(Some(3.7)));
    let base = LimitCase { used_part: 0.4, ..BASE };
    let cases = [
        LimitCase {
            what: "all hosts restart",
            events: &[NAMED, (6_000, Event::RestartAll)],
            used_from_ms: 8_000,
            ..base
        },
        LimitCase {
            what: "the host that grants permits is killed",
            events: &[NAMED, (6_000, Event::KillKeeper { noticed_ms: 3_000 })],
            used_from_ms: 9_000,
            ..base
        },
        LimitCase {
            what: "the host that grants permits is suspended, and others take over meanwhile",
            events: &[NAMED, (6_000, Event::FreezeKeeper { for_ms: 4_000, noticed_ms: 1_500 })],
            used_from_ms: 11_000,
            ..base
        },
        LimitCase {
            what: "a new host takes over before all others see it",
            events: &[NAMED, (6_000, Event::KeeperJoins { seen_ms: 1_200 })],
            used_from_ms: 8_000,
            ..base
        },
        LimitCase {
            what: "the host that grants permits changes repeatedly",
            events: &[
                NAMED,
                (6_000, Event::KeeperJoins { seen_ms: 600 }),
                (8_000, Event::KillKeeper { noticed_ms: 1_500 }),
                (10_000, Event::KeeperJoins { seen_ms: 600 }),
                (12_000, Event::KillKeeper { noticed_ms: 1_500 }),
            ],
            used_from_ms: 14_000,
            ..base
        },
        LimitCase {
            what: "all hosts are replaced by a build that understands nothing of the other",
            events: &[NAMED, (6_000, Event::Upgrade { for_ms: 12_000 })],
            used_from_ms: 18_000,
            for_ms: 30_000,
            ..base
        },
        LimitCase {
            what: "the fleet is cut into halves",
            events: &[NAMED, (6_000, Event::Cut { for_ms: 6_000 })],
            used_from_ms: 12_000,
            ..base
        },
    ];
    for case in &cases {
        check(case);
    }
}

/// The answer to one host's request is enough for all hosts to learn that the limit has ended.
#[test]
fn a_target_whose_limit_has_ended_gets_all_requests_again() {
    struct Case {
        hosts: usize,
        limit: Event,
        needed_per_s: f64,
        spare_per_s: f64,
    }
    let base =
        Case { hosts: 7, limit: Event::SetLimit(Some(1.0)), needed_per_s: 20.0, spare_per_s: 0.0 };
    let nothing = Event::SetLimit(Some(0.0));
    let cases = [
        Case { hosts: 61, ..base },
        Case { hosts: 295, ..base },
        Case { needed_per_s: 0.0, spare_per_s: 20.0, ..base },
        Case { hosts: 295, needed_per_s: 0.0, spare_per_s: 20.0, ..base },
        // A target with a limit of 0 gets a probe now and then, or its answers could never end the
        // limit.
        Case { limit: nothing, ..base },
        Case { hosts: 295, limit: nothing, needed_per_s: 0.0, spare_per_s: 20.0 },
        base,
    ];
    for Case { hosts, limit, needed_per_s, spare_per_s } in cases {
        let events = [(1_000, limit), (10_000, Event::SetLimit(None))];
        let case = LimitCase { hosts, needed_per_s, spare_per_s, for_ms: 28_000, ..BASE };
        let mut fleet = LimitedFleet::start(&case);
        fleet.run(&case, &events);
        let since = fleet.arrivals.iter().filter(|arrival| arrival.ms >= 22_000).count();
        let asked = (needed_per_s + spare_per_s) * 6.0;
        assert!(since as f64 > asked * 0.8, "{limit:?}, {hosts} hosts: {since} of {asked}");
        let limited = fleet.hosts.iter().filter(|host| host.belief.limit().is_some()).count();
        assert_eq!(limited, 0, "{limit:?}, {hosts} hosts");
    }
}

struct ChoiceCase {
    what: &'static str,
    /// The targets with the models that they hold, and those with a limit.
    targets: &'static [(&'static str, &'static [&'static str])],
    limited: &'static [&'static str],
    /// The ranks for which `t1` gives no permits until 500 ms.
    denied: &'static [PermitRank],
    priority: u8,
    found: Found,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Found {
    Target(&'static str, Option<PermitRank>),
    /// The model must be loaded at another target.
    NotResident,
    /// Refused with a time after which to retry.
    Limited {
        until_ms: u64,
    },
}

#[test]
fn a_limited_target_is_chosen_with_a_permit_if_it_is_best_or_the_only_one() {
    const NEEDED: PermitRank = PermitRank::Needed { priority: 1 };
    let base = ChoiceCase {
        what: "the only target",
        targets: &[("t1", &["m1"])],
        limited: &["t1"],
        denied: &[],
        priority: 1,
        found: Found::Target("t1", Some(NEEDED)),
    };
    let two: &[(&str, &[&str])] = &[("t1", &["m1"]), ("t2", &["m1"])];
    let cases = [
        ChoiceCase { what: "no limit", limited: &[], found: Found::Target("t1", None), ..base },
        ChoiceCase {
            what: "best of two",
            targets: two,
            found: Found::Target("t1", Some(PermitRank::Spare)),
            ..base
        },
        ChoiceCase {
            what: "best of two, and its permit denied",
            targets: two,
            denied: &[PermitRank::Spare],
            found: Found::Target("t2", None),
            ..base
        },
        ChoiceCase {
            what: "the only target, and a permit denied to a spare request",
            denied: &[PermitRank::Spare],
            ..base
        },
        ChoiceCase {
            what: "the only target, and its permit denied",
            denied: &[NEEDED],
            found: Found::NotResident,
            ..base
        },
        ChoiceCase {
            what: "the only target, and the permit denied to a lower priority",
            denied: &[NEEDED],
            priority: 0,
            found: Found::Target("t1", Some(PermitRank::Needed { priority: 0 })),
            ..base
        },
        ChoiceCase {
            what: "a service without models, and the permit denied",
            targets: &[("t1", &[])],
            denied: &[NEEDED],
            found: Found::Limited { until_ms: 500 },
            ..base
        },
        ChoiceCase {
            what: "both limited, and the permit of one denied",
            targets: two,
            limited: &["t1", "t2"],
            denied: &[NEEDED],
            found: Found::Target("t2", Some(NEEDED)),
            ..base
        },
        base,
    ];
    for ChoiceCase { what, targets, limited, denied, priority, found } in cases {
        let mut table = TargetTable::default();
        for (id, models) in targets {
            // The second target is in another failure domain.
            let failure_domain = name(if *id == "t1" { "a" } else { "b" });
            table.put(at(0), TargetEntry { failure_domain, ..entry(id, models) });
        }
        let holds_models = targets.iter().any(|(_, models)| !models.is_empty());
        let need =
            TargetRequirements { priority, model: holds_models.then(|| name("m1")), ..need("m1") };
        let chosen = |id: &str| Chosen {
            id: name(id),
            life: 1,
            version: name("v1"),
            address: address(0),
            running: 0,
            permit: None,
            choice: Choice::default(),
        };
        for id in limited {
            assert!(table.record_limit(at(10), &chosen(id), Some(1.0), at(0)), "{what}");
        }
        for rank in denied {
            table.permit_denied(at(20), &chosen("t1"), *rank, at(500));
        }
        let selection = match table.choose(at(30), &need) {
            Selection::Chosen(chosen) => {
                let id = if chosen.id.as_str() == "t1" { "t1" } else { "t2" };
                Found::Target(id, chosen.permit)
            }
            Selection::NotResident => Found::NotResident,
            Selection::Limited { until } => Found::Limited { until_ms: until.as_ms() },
            other => panic!("{what}: {other:?}"),
        };
        assert_eq!(selection, found, "{what}");
        assert!(matches!(table.choose(at(500), &need), Selection::Chosen(_)), "{what}: later");
        // A restarted target begins without a limit.
        table.put(at(600), TargetEntry { life: 2, ..entry("t1", targets[0].1) });
        assert_eq!(table.target("t1").unwrap().belief.limit(), None, "{what}");
    }
}

/// A target whose limit is far below its slots doesn't count as a replica of its models.
#[test]
fn a_target_with_a_low_limit_is_short() {
    for (per_s, is_short) in [(Some(1.0), true), (Some(3.0), false), (None, false)] {
        let mut table = TargetTable::default();
        table.put(at(0), entry("t1", &["m1"]));
        table.record_peer_limit(at(0), TargetLife { target: ShortKey::of("t1"), life: 1 }, per_s);
        assert_eq!(table.target("t1").unwrap().is_short(), is_short, "{per_s:?}");
    }
}

#[test]
fn one_host_that_is_not_stopping_grants_the_permits_of_a_target() {
    use PeerState::{Draining, Ready, Starting};
    struct Case {
        what: &'static str,
        states: [PeerState; 3],
        granters: &'static [&'static str],
    }
    let cases = [
        Case { what: "all hosts are ready", states: [Ready; 3], granters: &["h0", "h1", "h2"] },
        // During an outage of the store no host is ready, and still only one may grant permits.
        Case { what: "no host is ready", states: [Starting; 3], granters: &["h0", "h1", "h2"] },
        Case {
            what: "one host is stopping",
            states: [Draining, Ready, Ready],
            granters: &["h1", "h2"],
        },
        Case {
            what: "only one host is not stopping",
            states: [Draining, Starting, Draining],
            granters: &["h1"],
        },
        Case {
            what: "all hosts are stopping",
            states: [Draining; 3],
            granters: &["h0", "h1", "h2"],
        },
    ];
    for Case { what, states, granters } in cases {
        let hosts: Vec<(Name, PeerState)> = states
            .iter()
            .enumerate()
            .map(|(index, state)| (name(&format!("h{index}")), *state))
            .collect();
        let mut granted_by: Vec<&str> = (0..100)
            .map(|life| permit_granter(TargetLife { life, ..TARGET }, &hosts).unwrap().as_str())
            .collect();
        granted_by.sort_unstable();
        granted_by.dedup();
        assert_eq!(granted_by, granters, "{what}");
    }
    assert_eq!(permit_granter(TARGET, &[]), None);
}

/// Guards against granting permits in the order of arrival, whatever the priority of the requests.
#[test]
fn the_permits_of_a_limited_target_go_by_priority() {
    let visibility = visibility(1.0, 7);
    let mut granter = PermitGranter::default();
    granter.record_limit(at(0), TARGET, Some(2.0), at(0));
    let ask = |number, rank| PermitAsk { asker: address(0), number, rank, patience_ms: 2_000 };
    let needed = |priority| PermitRank::Needed { priority };
    for (number, rank) in
        [(1, needed(2)), (2, needed(0)), (3, PermitRank::Spare), (4, needed(1)), (5, needed(0))]
    {
        granter.ask(at(0), TARGET, 2.0, at(0), ask(number, rank));
    }
    let mut granted_requests = Vec::new();
    for ms in (0..=2_000).step_by(100) {
        for (ask, answer) in granter.answers(at(ms), &visibility) {
            match answer {
                PermitAnswer::Granted { .. } => granted_requests.push((ms, ask.number)),
                PermitAnswer::Denied { .. } => assert_eq!((ms, ask.number), (0, 3)),
                PermitAnswer::Unlimited => panic!("the target has a limit"),
            }
        }
    }
    assert_eq!(granted_requests, [(500, 2), (1_000, 5), (1_500, 4), (2_000, 1)]);
}

/// A request that can't get its permit in time is denied when it asks, with the time until its
/// turn.
#[test]
fn a_request_whose_turn_comes_too_late_is_denied_at_once() {
    let visibility = visibility(1.0, 7);
    let mut granter = PermitGranter::default();
    granter.record_limit(at(0), TARGET, Some(1.0), at(0));
    let rank = PermitRank::Needed { priority: 0 };
    let ask = |number| PermitAsk { asker: address(0), number, rank, patience_ms: 2_500 };
    for number in 0..4 {
        granter.ask(at(0), TARGET, 1.0, at(0), ask(number));
    }
    let denied = |number, wait_ms| (ask(number), PermitAnswer::Denied { per_s: 1.0, wait_ms });
    assert_eq!(granter.answers(at(0), &visibility), [denied(2, 3_000), denied(3, 3_000)]);
    // An urgent request goes first, and the turn of the later one comes too late.
    let urgent = PermitAsk { rank: PermitRank::Needed { priority: 0 }, ..ask(9) };
    let later = PermitAsk { rank: PermitRank::Needed { priority: 1 }, ..ask(8) };
    granter.ask(at(900), TARGET, 1.0, at(0), later);
    granter.ask(at(900), TARGET, 1.0, at(0), urgent);
    let answers = granter.answers(at(900), &visibility);
    assert_eq!(answers, [(later, PermitAnswer::Denied { per_s: 1.0, wait_ms: 3_100 })]);
}

/// Answers may arrive in another order than they were sent in.
#[test]
fn an_answer_that_may_be_older_neither_raises_nor_ends_a_limit() {
    struct Case {
        what: &'static str,
        /// When a request was sent, when its answer came, and the limit in it.
        answers: &'static [(u64, u64, Option<f64>)],
        limit: Option<f64>,
    }
    let cases = [
        Case { what: "no limit", answers: &[(0, 10, None)], limit: None },
        Case { what: "a limit", answers: &[(0, 10, Some(2.0))], limit: Some(2.0) },
        Case { what: "ended", answers: &[(0, 10, Some(2.0)), (11, 20, None)], limit: None },
        Case {
            what: "not ended by an answer to a request that was in flight",
            answers: &[(0, 10, Some(2.0)), (9, 20, None)],
            limit: Some(2.0),
        },
        Case {
            what: "raised",
            answers: &[(0, 10, Some(2.0)), (11, 20, Some(4.0))],
            limit: Some(4.0),
        },
        Case {
            what: "not raised by an answer to a request that was in flight",
            answers: &[(0, 10, Some(2.0)), (9, 20, Some(4.0))],
            limit: Some(2.0),
        },
        Case {
            what: "lowered by an answer to a request that was in flight",
            answers: &[(0, 10, Some(2.0)), (9, 20, Some(1.0))],
            limit: Some(1.0),
        },
        Case {
            what: "ended while many requests are in flight",
            answers: &[(0, 10, Some(2.0)), (5, 30, Some(2.0)), (20, 40, Some(2.0)), (25, 50, None)],
            limit: None,
        },
    ];
    for Case { what, answers, limit } in cases {
        let mut belief = TargetBelief::default();
        let mut granter = PermitGranter::default();
        for (sent_ms, came_ms, per_s) in answers {
            belief.record_limit(at(*came_ms), *per_s, at(*sent_ms));
            granter.record_limit(at(*came_ms), TARGET, *per_s, at(*sent_ms));
        }
        assert_eq!(belief.limit().map(|(per_s, _)| per_s), limit, "{what}");
        // The host that grants permits applies the same rule and comes to the same limit.
        let ask = PermitAsk {
            asker: address(0),
            number: 1,
            rank: PermitRank::Needed { priority: 0 },
            patience_ms: 0,
        };
        if let Some(per_s) = limit {
            granter.ask(at(60), TARGET, per_s, at(10), ask);
            let denied = granter.answers(at(60), &visibility(1.0, 1));
            for (_, answer) in denied {
                let PermitAnswer::Denied { per_s: kept, .. } = answer else {
                    panic!("{what}: {answer:?}");
                };
                assert!((kept - per_s).abs() < f64::EPSILON, "{what}");
            }
        }
    }
}
