//! Tests of the record of requests that crash their targets.

use lycheeford_policy::{CrashSuspect, CrashSuspects, CrashVerdict, MAX_CRASH_SUSPECTS, Name};

struct Case {
    name: &'static str,
    crashes: &'static [&'static str],
    verdict: CrashVerdict,
}

#[test]
fn a_request_is_refused_after_it_crashed_two_targets() {
    let cases = [
        Case { name: "no crash", crashes: &[], verdict: CrashVerdict::Clear },
        Case { name: "one crash", crashes: &["e1@1"], verdict: CrashVerdict::RunAlone },
        Case {
            name: "one crash, recorded by both hosts",
            crashes: &["e1@1", "e1@1"],
            verdict: CrashVerdict::RunAlone,
        },
        Case {
            name: "two instances of one target",
            crashes: &["e1@1", "e1@2"],
            verdict: CrashVerdict::Refuse,
        },
        Case {
            name: "three targets",
            crashes: &["e1@1", "e2@1", "e3@1"],
            verdict: CrashVerdict::Refuse,
        },
    ];
    for case in cases {
        let mut here = CrashSuspects::default();
        let mut peer = CrashSuspects::default();
        for (index, instance) in case.crashes.iter().enumerate() {
            let seen_by = if index % 2 == 0 { &mut here } else { &mut peer };
            seen_by.record_crash(17, &Name::from(*instance));
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
    assert!(suspects.start_exclusive_run(17));
    assert!(!suspects.start_exclusive_run(17));
    assert!(suspects.start_exclusive_run(18));
    suspects.end_exclusive_run(17);
    assert!(suspects.start_exclusive_run(17));
}

#[test]
fn the_oldest_suspects_are_evicted_first() {
    let mut suspects = CrashSuspects::default();
    for fingerprint in 0..=MAX_CRASH_SUSPECTS as u64 {
        suspects.record_crash(fingerprint, &Name::from("e1@1"));
    }
    assert_eq!(suspects.reports().len(), MAX_CRASH_SUSPECTS);
    assert_eq!(suspects.verdict(0), CrashVerdict::Clear);
    assert_eq!(suspects.verdict(1), CrashVerdict::RunAlone);
}

struct ConvergenceCase {
    name: &'static str,
    /// The fingerprints of the requests that crashed a target, as recorded by each of two hosts.
    here: std::ops::Range<u64>,
    there: std::ops::Range<u64>,
    /// Whether the two hosts recorded crashes of different targets.
    has_distinct_targets: bool,
    /// The verdict of both hosts on each request of `here` after they converged.
    verdict: CrashVerdict,
}

/// The most suspects in one excerpt, and the most exchanges after which two hosts agree.
const EXCERPT_SUSPECTS_MAX: usize = 32;
const EXCHANGES_MAX: usize = 44;

#[test]
fn hosts_converge_on_many_suspects_through_bounded_excerpts() {
    let cases = [
        ConvergenceCase {
            name: "one suspect",
            here: 0..1,
            there: 0..0,
            has_distinct_targets: false,
            verdict: CrashVerdict::RunAlone,
        },
        ConvergenceCase {
            name: "all requests that ran on one engine",
            here: 0..12,
            there: 0..0,
            has_distinct_targets: false,
            verdict: CrashVerdict::RunAlone,
        },
        ConvergenceCase {
            name: "as many suspects as are kept",
            here: 0..MAX_CRASH_SUSPECTS as u64,
            there: 0..0,
            has_distinct_targets: false,
            verdict: CrashVerdict::RunAlone,
        },
        ConvergenceCase {
            name: "different requests",
            here: 0..300,
            there: 300..500,
            has_distinct_targets: false,
            verdict: CrashVerdict::RunAlone,
        },
        ConvergenceCase {
            name: "the same requests on the same target",
            here: 0..300,
            there: 0..300,
            has_distinct_targets: false,
            verdict: CrashVerdict::RunAlone,
        },
        ConvergenceCase {
            name: "the same requests on different targets",
            here: 0..300,
            there: 0..300,
            has_distinct_targets: true,
            verdict: CrashVerdict::Refuse,
        },
    ];
    for case in cases {
        let (mut here, mut there) = (CrashSuspects::default(), CrashSuspects::default());
        for fingerprint in case.here.clone() {
            here.record_crash(fingerprint, &Name::from("e1@1"));
        }
        for fingerprint in case.there {
            there.record_crash(
                fingerprint,
                &Name::from(if case.has_distinct_targets { "e2@1" } else { "e1@1" }),
            );
        }
        let mut exchanges = 0;
        while here.digest() != there.digest() {
            assert!(exchanges < EXCHANGES_MAX, "{}", case.name);
            let sent: Vec<CrashSuspect> = here.excerpt(exchanges).into_iter().cloned().collect();
            let received: Vec<CrashSuspect> =
                there.excerpt(exchanges).into_iter().cloned().collect();
            assert!(
                sent.len() <= EXCERPT_SUSPECTS_MAX && received.len() <= EXCERPT_SUSPECTS_MAX,
                "{}",
                case.name
            );
            there.merge(&sent);
            here.merge(&received);
            exchanges += 1;
        }
        for fingerprint in case.here {
            let verdicts = (here.verdict(fingerprint), there.verdict(fingerprint));
            assert_eq!(verdicts, (case.verdict, case.verdict), "{}", case.name);
        }
    }
}

#[test]
fn a_new_suspect_is_in_the_first_excerpt_however_many_are_known() {
    let mut here = CrashSuspects::default();
    for fingerprint in 0..MAX_CRASH_SUSPECTS as u64 {
        here.record_crash(fingerprint, &Name::from("e1@1"));
    }
    here.record_crash(17, &Name::from("e2@1"));
    let mut there = CrashSuspects::default();
    there.merge(&here.excerpt(0).into_iter().cloned().collect::<Vec<_>>());
    assert_eq!(there.verdict(17), CrashVerdict::Refuse);
}
