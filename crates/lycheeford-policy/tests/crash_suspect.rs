//! Requests that crash their targets.

use lycheeford_policy::{CrashSuspect, CrashSuspects, CrashVerdict, MAX_CRASH_SUSPECTS, Name};

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

struct TellCase {
    name: &'static str,
    /// The requests under which targets died, as each of two hosts saw it.
    here: std::ops::Range<u64>,
    there: std::ops::Range<u64>,
    /// Whether they saw different targets die.
    are_other_lives: bool,
    /// The verdict of both on a request of `here` in the end.
    verdict: CrashVerdict,
}

/// Suspects in one report, and the reports after which two hosts know the same.
const TOLD_MAX: usize = 32;
const REPORTS_MAX: usize = 44;

#[test]
fn hosts_agree_on_many_suspects_by_small_reports_and_then_tell_nothing() {
    let cases = [
        TellCase {
            name: "one",
            here: 0..1,
            there: 0..0,
            are_other_lives: false,
            verdict: CrashVerdict::RunAlone,
        },
        TellCase {
            name: "an engine with all that ran",
            here: 0..12,
            there: 0..0,
            are_other_lives: false,
            verdict: CrashVerdict::RunAlone,
        },
        TellCase {
            name: "all that may be remembered",
            here: 0..MAX_CRASH_SUSPECTS as u64,
            there: 0..0,
            are_other_lives: false,
            verdict: CrashVerdict::RunAlone,
        },
        TellCase {
            name: "different ones",
            here: 0..300,
            there: 300..500,
            are_other_lives: false,
            verdict: CrashVerdict::RunAlone,
        },
        TellCase {
            name: "the same target",
            here: 0..300,
            there: 0..300,
            are_other_lives: false,
            verdict: CrashVerdict::RunAlone,
        },
        TellCase {
            name: "the same requests at other targets",
            here: 0..300,
            there: 0..300,
            are_other_lives: true,
            verdict: CrashVerdict::Refuse,
        },
    ];
    for case in cases {
        let (mut here, mut there) = (CrashSuspects::default(), CrashSuspects::default());
        for fingerprint in case.here.clone() {
            here.crashed(fingerprint, &Name::from("e1@1"));
        }
        for fingerprint in case.there {
            there.crashed(
                fingerprint,
                &Name::from(if case.are_other_lives { "e2@1" } else { "e1@1" }),
            );
        }
        let mut reports = 0;
        while here.digest() != there.digest() {
            assert!(reports < REPORTS_MAX, "{}", case.name);
            let sent: Vec<CrashSuspect> = here.excerpt(reports).into_iter().cloned().collect();
            let received: Vec<CrashSuspect> = there.excerpt(reports).into_iter().cloned().collect();
            assert!(sent.len() <= TOLD_MAX && received.len() <= TOLD_MAX, "{}", case.name);
            there.merge(&sent);
            here.merge(&received);
            reports += 1;
        }
        for fingerprint in case.here {
            let verdicts = (here.verdict(fingerprint), there.verdict(fingerprint));
            assert_eq!(verdicts, (case.verdict, case.verdict), "{}", case.name);
        }
    }
}

#[test]
fn a_suspect_is_told_at_once_however_many_are_known() {
    let mut here = CrashSuspects::default();
    for fingerprint in 0..MAX_CRASH_SUSPECTS as u64 {
        here.crashed(fingerprint, &Name::from("e1@1"));
    }
    here.crashed(17, &Name::from("e2@1"));
    let mut there = CrashSuspects::default();
    there.merge(&here.excerpt(0).into_iter().cloned().collect::<Vec<_>>());
    assert_eq!(there.verdict(17), CrashVerdict::Refuse);
}
