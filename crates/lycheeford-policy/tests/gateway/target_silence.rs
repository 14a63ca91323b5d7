//! When a silent target is left for another one.

use lycheeford_policy::{
    Chosen, Selection, Sign, SilenceView, SilentService, TargetFailure, TargetHealth,
    TargetSilence, TargetTable,
};

use crate::world::{at, entry, need};

/// How long the silent target has been silent, and the time at which that is looked at.
const SILENT_MS: u64 = 1_200;
const NOW_MS: u64 = 10_000;
/// Longer than a sound target is silent.
const DEAD_MS: u64 = 2_500;

#[derive(Debug, Clone, Copy)]
enum Event {
    Sent,
    Ended,
    Heard,
}

struct SignCase {
    what: &'static str,
    /// With the time before now, in milliseconds.
    events: &'static [(u64, Event)],
    sign: Sign,
}

#[test]
fn a_target_counts_as_silent_only_if_something_waits_for_it() {
    use Event::{Ended, Heard, Sent};
    let cases = [
        SignCase { what: "nothing was sent to it", events: &[], sign: Sign::Unknown },
        SignCase { what: "it was heard just now", events: &[(100, Heard)], sign: Sign::Heard },
        SignCase {
            what: "it was heard, and more waits for it",
            events: &[(5_000, Sent), (100, Heard)],
            sign: Sign::Heard,
        },
        SignCase {
            what: "it fell silent a moment after the other one",
            events: &[(5_000, Sent), (1_100, Heard)],
            sign: Sign::Silent,
        },
        SignCase {
            what: "it never answered",
            events: &[(5_000, Sent), (200, Sent)],
            sign: Sign::Silent,
        },
        SignCase {
            what: "the request that waited ended",
            events: &[(5_000, Sent), (1_100, Heard), (1_000, Ended)],
            sign: Sign::Unknown,
        },
        SignCase {
            what: "what waits was sent just now",
            events: &[(5_000, Sent), (1_100, Heard), (1_000, Ended), (100, Sent)],
            sign: Sign::Unknown,
        },
    ];
    for case in cases {
        let mut target = TargetSilence::default();
        for (before_ms, event) in case.events {
            let now = at(NOW_MS - before_ms);
            match event {
                Sent => target.sent(now),
                Ended => target.ended(),
                Heard => target.heard(now),
            }
        }
        assert_eq!(target.sign(at(NOW_MS), SILENT_MS), case.sign, "{}", case.what);
    }
}

#[test]
fn a_silent_target_is_left_only_for_one_that_is_better_off() {
    use Sign::{Heard, Silent, Unknown};
    let cases = [
        ("heard", vec![Heard], Heard, true),
        ("heard among silent ones", vec![Silent, Heard, Silent], Heard, true),
        ("silent", vec![Silent], Silent, false),
        ("silent while another is heard", vec![Silent, Heard], Silent, false),
        ("unknown, and nothing else is known", vec![Unknown], Unknown, true),
        ("unknown among silent ones", vec![Unknown, Silent], Unknown, false),
        ("unknown while another is heard", vec![Unknown, Silent, Heard], Unknown, true),
    ];
    let may_leave_for = |others: &[Sign], next, silent_ms| {
        let mut service = SilentService::default();
        for sign in others {
            service.count(*sign);
        }
        service.may_leave_for(next, silent_ms)
    };
    for (what, others, next, may_leave) in cases {
        assert_eq!(may_leave_for(&others, next, SILENT_MS), may_leave, "{what}");
    }
    let others = [Unknown, Silent];
    assert!(may_leave_for(&others, Unknown, DEAD_MS), "the silent ones are dead");
    assert!(!may_leave_for(&others, Silent, DEAD_MS), "it is as silent");
}

/// Eight targets with a stream each that pauses for 1.2 s, all of them or some, every 6 s: what a
/// host that looks at the silence of `t1` sees.
#[test]
fn a_whole_service_that_pauses_offers_nothing_better() {
    let ids = ["t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"];
    for pausing in [8, 5] {
        let mut targets = TargetTable::default();
        let mut chosen: Vec<Chosen> = Vec::new();
        for id in ids {
            targets.put(at(0), entry(id, &["m1"]));
            let mut need = need("m1");
            need.excluded = chosen.iter().map(|target| target.id.clone()).collect();
            let Selection::Chosen(target) = targets.choose(at(0), &need) else { panic!("{id}") };
            chosen.push(target);
        }
        for target in &chosen {
            targets.waited_for(at(0), target);
        }
        // A stream has an event each 100 ms; the targets fall silent from 4,600 ms on.
        for ms in (0..5_800).step_by(10) {
            for (index, target) in chosen.iter().enumerate() {
                let is_due = (ms + index as u64 * 10).is_multiple_of(100);
                if is_due && (index >= pausing || ms < 4_600) {
                    targets.heard(at(ms), target);
                }
            }
        }
        let SilenceView { own, not_better, heard, others_heard_ms } =
            targets.silence_view(at(5_800), &need("m1").service, &chosen[0].id, SILENT_MS);
        assert_eq!(own, Sign::Silent);
        assert_eq!(not_better.len(), pausing - 1, "{pausing} pause");
        assert!(not_better.iter().all(|id| ids[1..pausing].contains(&id.as_str())));
        assert_eq!(heard.len(), 8 - pausing);
        let is_recent = others_heard_ms.is_some_and(|ms| ms <= 100);
        assert_eq!(is_recent, pausing < 8, "{others_heard_ms:?}");
    }
}

#[test]
fn a_silence_ends_with_the_next_byte() {
    let mut health = TargetHealth::default();
    for _ in 0..3 {
        health.failed(at(1_000), TargetFailure::Silent);
    }
    assert!(!health.is_usable(at(1_700)), "three silences in a row");
    assert!(is_failing(&health));
    assert!(health.heard());
    assert!(!health.heard(), "the silence is over");
    assert!(health.is_usable(at(1_001)));
    assert!(!is_failing(&health));

    let mut broken = TargetHealth::default();
    broken.failed(at(1_000), TargetFailure::Broken);
    broken.failed(at(1_000), TargetFailure::Silent);
    broken.heard();
    assert!(!broken.is_usable(at(1_100)), "a byte doesn't excuse a broken answer");
    assert!(is_failing(&broken));
}

fn is_failing(health: &TargetHealth) -> bool {
    health.failed_part(at(1_000)) > 0.1
}
