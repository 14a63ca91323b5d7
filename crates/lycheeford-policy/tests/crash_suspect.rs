//! Requests that crash their targets.

use lycheeford_policy::{CrashSuspects, CrashVerdict, MAX_CRASH_SUSPECTS, Name};

struct Case {
    name: &'static str,
    crashes: &'static [&'static str],
    verdict: CrashVerdict,
}

#[test]
fn a_request_is_refused_after_two_targets_died_under_it() {
    let cases = [
        Case { name: "none", crashes: &[], verdict: CrashVerdict::Clear },
        Case { name: "one", crashes: &["e1@1"], verdict: CrashVerdict::RunAlone },
        Case {
            name: "one, told twice",
            crashes: &["e1@1", "e1@1"],
            verdict: CrashVerdict::RunAlone,
        },
        Case {
            name: "one target twice",
            crashes: &["e1@1", "e1@2"],
            verdict: CrashVerdict::Refuse,
        },
        Case { name: "three", crashes: &["e1@1", "e2@1", "e3@1"], verdict: CrashVerdict::Refuse },
    ];
    for case in cases {
        let mut here = CrashSuspects::default();
        let mut peer = CrashSuspects::default();
        for (index, life) in case.crashes.iter().enumerate() {
            let seen_by = if index % 2 == 0 { &mut here } else { &mut peer };
            seen_by.crashed(17, &Name::from(*life));
        }
        here.merge(peer.reports());
        here.merge(peer.reports());
        peer.merge(here.reports());
        assert_eq!(here.verdict(17), case.verdict, "{}", case.name);
        assert_eq!(peer.verdict(17), case.verdict, "{}", case.name);
        assert_eq!(here.verdict(18), CrashVerdict::Clear, "{}", case.name);
    }
}

#[test]
fn a_suspect_runs_alone() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.start_alone(17));
    assert!(!suspects.start_alone(17));
    assert!(suspects.start_alone(18));
    suspects.end_alone(17);
    assert!(suspects.start_alone(17));
}

#[test]
fn the_oldest_suspects_are_forgotten_first() {
    let mut suspects = CrashSuspects::default();
    for fingerprint in 0..=MAX_CRASH_SUSPECTS as u64 {
        suspects.crashed(fingerprint, &Name::from("e1@1"));
    }
    assert_eq!(suspects.reports().len(), MAX_CRASH_SUSPECTS);
    assert_eq!(suspects.verdict(0), CrashVerdict::Clear);
    assert_eq!(suspects.verdict(1), CrashVerdict::RunAlone);
}
