//! When a host counts as cut off from all targets.

use lycheeford_policy::{PartnerRole, ShortKey, TargetReach};

use crate::world::at;

/// What a host learns, at a time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Event {
    Answered,
    /// A request failed at this target; `true` if a probe is due.
    Failed(u32, bool),
    Probed(bool),
    /// Another host reported an answer of this age.
    Heard(u64),
}

struct ReachCase {
    what: &'static str,
    events: &'static [(u64, Event)],
    checked_at_ms: u64,
    is_cut_off: bool,
}

#[test]
fn only_a_host_that_others_outlive_is_cut_off() {
    use Event::{Answered, Failed, Heard, Probed};
    let cases = [
        ReachCase {
            what: "several targets and all probes fail, and another host gets answers",
            events: &[
                (0, Answered),
                (1_000, Failed(1, false)),
                (1_100, Failed(2, true)),
                (1_500, Probed(false)),
                (1_600, Heard(50)),
            ],
            checked_at_ms: 1_600,
            is_cut_off: true,
        },
        ReachCase {
            what: "one target fails often",
            events: &[(1_000, Failed(1, false)), (1_100, Failed(1, false)), (1_200, Heard(0))],
            checked_at_ms: 1_200,
            is_cut_off: false,
        },
        ReachCase {
            what: "a probe is answered",
            events: &[
                (1_000, Failed(1, false)),
                (1_100, Failed(2, true)),
                (1_200, Probed(true)),
                (1_600, Heard(0)),
            ],
            checked_at_ms: 1_600,
            is_cut_off: false,
        },
        ReachCase {
            what: "no host gets answers any more",
            events: &[
                (1_000, Failed(1, false)),
                (1_100, Failed(2, true)),
                (1_500, Probed(false)),
                (1_600, Heard(800)),
            ],
            checked_at_ms: 1_600,
            is_cut_off: false,
        },
        ReachCase {
            what: "the others have lost the targets since",
            events: &[
                (1_000, Failed(1, false)),
                (1_100, Failed(2, true)),
                (1_500, Probed(false)),
                (1_600, Heard(0)),
            ],
            checked_at_ms: 5_000,
            is_cut_off: false,
        },
        ReachCase {
            what: "old connections still bring answers, but no new one opens",
            events: &[
                (1_000, Failed(1, false)),
                (1_100, Failed(2, true)),
                (1_500, Probed(false)),
                (1_600, Answered),
                (1_700, Heard(0)),
            ],
            checked_at_ms: 1_700,
            is_cut_off: true,
        },
        ReachCase {
            // Regression: the host never counted as cut off.
            what: "a probe for another host fails before any request does",
            events: &[(1_500, Probed(false)), (1_600, Failed(1, false)), (2_200, Heard(0))],
            checked_at_ms: 2_200,
            is_cut_off: true,
        },
    ];
    for case in cases {
        let mut reach = TargetReach::default();
        for (ms, event) in case.events {
            let now = at(*ms);
            match *event {
                Answered => reach.answered(now),
                Failed(target, is_due) => {
                    assert_eq!(reach.failed(now, ShortKey(target)), is_due, "{}", case.what);
                }
                Probed(is_answered) => {
                    reach.probe_started(now - 400);
                    assert!(!reach.probed(now, is_answered), "{}", case.what);
                }
                Heard(age_ms) => reach.heard(now, Some(PartnerRole::Equal), age_ms),
            }
        }
        assert_eq!(reach.is_cut_off(at(case.checked_at_ms)), case.is_cut_off, "{}", case.what);
    }
}

/// Regression test: each answered probe forgot the failures of all targets, also if some had crashed.
#[test]
fn only_the_end_of_a_partition_forgets_failures() {
    let mut reach = TargetReach::default();
    let probes = [(true, false), (true, false), (false, false), (false, false), (true, true)];
    for (number, (is_answered, has_ended)) in probes.into_iter().enumerate() {
        assert_eq!(reach.probed(at(1_000), is_answered), has_ended, "probe {number}");
    }
}

#[test]
fn an_answer_is_reported_one_way_only() {
    let mut reach = TargetReach::default();
    let roles = [PartnerRole::Member, PartnerRole::Equal, PartnerRole::Relay].map(Some);
    reach.heard(at(1_000), Some(PartnerRole::Equal), 100);
    assert_eq!(roles.map(|role| reach.answer_age_ms(at(1_000), role)), [Some(100), None, None]);
    reach.heard(at(1_000), Some(PartnerRole::Member), 200);
    let reported = roles.map(|role| reach.answer_age_ms(at(1_000), role));
    assert_eq!(reported, [Some(100), Some(200), None]);
    reach.answered(at(700));
    let reported = roles.map(|role| reach.answer_age_ms(at(1_000), role));
    assert_eq!(reported, [Some(100), Some(200), Some(300)]);
}
