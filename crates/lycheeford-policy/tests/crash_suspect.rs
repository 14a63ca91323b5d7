//! Tests of the record of requests that crash their targets.

use lycheeford_policy::{
    CRASH_SUSPECT_EXPIRY_MS, CrashCause, CrashSuspect, CrashSuspects, CrashVerdict,
    MAX_CRASH_SUSPECTS, Name, SuspectedCrash, TimeMs,
};

const NOW: TimeMs = TimeMs::from_ms(1_000_000);

fn record(suspects: &mut CrashSuspects, fingerprint: u64, life: &str) {
    suspects.record_crash(NOW, &[CrashCause::Request(fingerprint)], &Name::from(life));
}

fn verdict(suspects: &CrashSuspects, fingerprint: u64) -> CrashVerdict {
    suspects.verdict(NOW, &[CrashCause::Request(fingerprint)])
}

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
            record(seen_by, 17, instance);
        }
        here.merge(NOW, &peer.reports(NOW));
        here.merge(NOW, &peer.reports(NOW));
        peer.merge(NOW, &here.reports(NOW));
        assert_eq!(verdict(&here, 17), case.verdict, "{}", case.name);
        assert_eq!(verdict(&peer, 17), case.verdict, "{}", case.name);
        assert_eq!(verdict(&here, 18), CrashVerdict::Clear, "{}", case.name);
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
        record(&mut suspects, fingerprint, "e1@1");
    }
    assert_eq!(suspects.reports(NOW).len(), MAX_CRASH_SUSPECTS);
    assert_eq!(verdict(&suspects, 0), CrashVerdict::Clear);
    assert_eq!(verdict(&suspects, 1), CrashVerdict::RunAlone);
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
            record(&mut here, fingerprint, "e1@1");
        }
        for fingerprint in case.there {
            let life = if case.has_distinct_targets { "e2@1" } else { "e1@1" };
            record(&mut there, fingerprint, life);
        }
        let mut exchanges = 0;
        while here.digest() != there.digest() {
            assert!(exchanges < EXCHANGES_MAX, "{}", case.name);
            let sent = here.excerpt(NOW, exchanges);
            let received = there.excerpt(NOW, exchanges);
            assert!(
                sent.len() <= EXCERPT_SUSPECTS_MAX && received.len() <= EXCERPT_SUSPECTS_MAX,
                "{}",
                case.name
            );
            there.merge(NOW, &sent);
            here.merge(NOW, &received);
            exchanges += 1;
        }
        for fingerprint in case.here {
            let verdicts = (verdict(&here, fingerprint), verdict(&there, fingerprint));
            assert_eq!(verdicts, (case.verdict, case.verdict), "{}", case.name);
        }
    }
}

#[test]
fn a_new_suspect_is_in_the_first_excerpt_however_many_are_known() {
    let mut here = CrashSuspects::default();
    for fingerprint in 0..MAX_CRASH_SUSPECTS as u64 {
        record(&mut here, fingerprint, "e1@1");
    }
    record(&mut here, 17, "e2@1");
    let mut there = CrashSuspects::default();
    there.merge(NOW, &here.excerpt(NOW, 0));
    assert_eq!(verdict(&there, 17), CrashVerdict::Refuse);
}

/// A deadly prompt part, and two harmless ones.
const DEADLY: CrashCause = CrashCause::PromptPart(1);
const COMMON: CrashCause = CrashCause::PromptPart(2);
const RARE: CrashCause = CrashCause::PromptPart(3);
/// A request that isn't deadly.
const SOUND: CrashCause = CrashCause::Request(7);

/// What happened at the two hosts, and when.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A target crashed while the first host ran a request with these causes there.
    Crash(&'static str, &'static [CrashCause]),
    /// The same, at the second host.
    CrashThere(&'static str, &'static [CrashCause]),
    /// The first host completed a request with these causes.
    Done(&'static [CrashCause]),
    DoneThere(&'static [CrashCause]),
    Wait(u64),
}

use Event::{Crash, CrashThere, Done, DoneThere, Wait};

struct PartCase {
    name: &'static str,
    events: &'static [Event],
    /// Requests that are refused afterwards, at both hosts.
    refused: &'static [&'static [CrashCause]],
    /// Requests that aren't.
    allowed: &'static [&'static [CrashCause]],
}

const PART_CASES: &[PartCase] = &[
    PartCase {
        name: "three crashes, seen by two hosts",
        events: &[Crash("e1", &[DEADLY]), CrashThere("e2", &[DEADLY]), Crash("e3", &[DEADLY])],
        refused: &[&[DEADLY], &[COMMON, DEADLY]],
        allowed: &[&[COMMON]],
    },
    PartCase {
        name: "two crashes, which one request can cause",
        events: &[Crash("e1", &[DEADLY]), Crash("e2", &[DEADLY])],
        refused: &[],
        allowed: &[&[DEADLY]],
    },
    PartCase {
        name: "one crash that many requests and both hosts see",
        events: &[
            Crash("e1", &[DEADLY]),
            Crash("e1", &[DEADLY]),
            CrashThere("e1", &[DEADLY]),
            CrashThere("e1", &[DEADLY]),
        ],
        refused: &[],
        allowed: &[&[DEADLY]],
    },
    PartCase {
        name: "beside a part that is completed before the crashes",
        events: &[
            Done(&[COMMON]),
            Crash("e1", &[COMMON, DEADLY]),
            Crash("e2", &[COMMON, DEADLY]),
            Crash("e3", &[COMMON, DEADLY]),
        ],
        refused: &[&[COMMON, DEADLY], &[DEADLY]],
        allowed: &[&[COMMON]],
    },
    PartCase {
        name: "beside a part that the other host completed before the crashes",
        events: &[
            DoneThere(&[COMMON]),
            Crash("e1", &[COMMON, DEADLY]),
            Crash("e2", &[COMMON, DEADLY]),
            Crash("e3", &[COMMON, DEADLY]),
        ],
        refused: &[&[COMMON, DEADLY]],
        allowed: &[&[COMMON]],
    },
    PartCase {
        name: "beside a part that is completed after the crashes",
        events: &[
            Crash("e1", &[COMMON, DEADLY]),
            Crash("e2", &[COMMON, DEADLY]),
            Crash("e3", &[COMMON, DEADLY]),
            Done(&[COMMON]),
        ],
        refused: &[&[COMMON, DEADLY], &[DEADLY]],
        allowed: &[&[COMMON]],
    },
    PartCase {
        name: "beside a part that was never completed",
        events: &[
            Crash("e1", &[RARE, DEADLY]),
            Crash("e2", &[RARE, DEADLY]),
            Crash("e3", &[RARE, DEADLY]),
        ],
        refused: &[&[RARE, DEADLY]],
        allowed: &[&[RARE]],
    },
    PartCase {
        name: "a fourth crash tells the parts of the first three apart",
        events: &[
            Crash("e1", &[RARE, DEADLY]),
            Crash("e2", &[RARE, DEADLY]),
            Crash("e3", &[RARE, DEADLY]),
            CrashThere("e4", &[DEADLY]),
        ],
        refused: &[&[RARE, DEADLY], &[DEADLY]],
        allowed: &[&[RARE]],
    },
    PartCase {
        name: "a sound request that ran beside the deadly part the first times",
        events: &[
            Crash("e1", &[DEADLY]),
            CrashThere("e1", &[SOUND, RARE]),
            Crash("e2", &[DEADLY]),
            CrashThere("e2", &[SOUND, RARE]),
            Crash("e3", &[DEADLY]),
            CrashThere("e3", &[SOUND, RARE]),
            Crash("e4", &[DEADLY]),
        ],
        refused: &[&[DEADLY]],
        allowed: &[&[SOUND, RARE]],
    },
    PartCase {
        name: "a sound request that ran beside the deadly part each time, and is then answered",
        events: &[
            Crash("e1", &[DEADLY]),
            CrashThere("e1", &[SOUND, RARE]),
            Crash("e2", &[DEADLY]),
            CrashThere("e2", &[SOUND, RARE]),
            Crash("e3", &[DEADLY]),
            CrashThere("e3", &[SOUND, RARE]),
            DoneThere(&[SOUND, RARE]),
        ],
        refused: &[&[DEADLY]],
        allowed: &[&[SOUND, RARE]],
    },
    PartCase {
        name: "two parts that nothing tells apart",
        events: &[
            Crash("e1", &[DEADLY]),
            CrashThere("e1", &[RARE]),
            Crash("e2", &[DEADLY]),
            CrashThere("e2", &[RARE]),
            Crash("e3", &[DEADLY]),
            CrashThere("e3", &[RARE]),
            Crash("e4", &[DEADLY]),
            CrashThere("e4", &[RARE]),
            Crash("e5", &[DEADLY]),
            CrashThere("e5", &[RARE]),
        ],
        refused: &[&[DEADLY], &[RARE]],
        allowed: &[&[COMMON]],
    },
    PartCase {
        name: "targets that crash all at once under a part that is answered all the time",
        events: &[
            Done(&[COMMON]),
            DoneThere(&[COMMON]),
            Wait(2_000),
            Crash("e1", &[COMMON]),
            CrashThere("e2", &[COMMON]),
            Crash("e3", &[COMMON]),
            CrashThere("e4", &[COMMON]),
            Crash("e5", &[COMMON]),
        ],
        refused: &[],
        allowed: &[&[COMMON]],
    },
    PartCase {
        name: "a part that has become deadly since it was last completed",
        events: &[
            Done(&[COMMON]),
            Wait(60_000),
            Crash("e1", &[COMMON]),
            CrashThere("e2", &[COMMON]),
            Crash("e3", &[COMMON]),
        ],
        refused: &[&[COMMON]],
        allowed: &[],
    },
    PartCase {
        name: "a suspect that nothing has crashed under for long",
        events: &[
            Crash("e1", &[DEADLY]),
            CrashThere("e2", &[DEADLY]),
            Crash("e3", &[DEADLY]),
            Wait(CRASH_SUSPECT_EXPIRY_MS),
        ],
        refused: &[],
        allowed: &[&[DEADLY]],
    },
];

#[test]
fn requests_that_share_a_deadly_part_are_refused_and_those_beside_them_are_not() {
    for case in PART_CASES {
        let (mut here, mut there) = (CrashSuspects::default(), CrashSuspects::default());
        let mut now = NOW;
        for event in case.events {
            match *event {
                Crash(life, causes) => {
                    here.record_crash(now, causes, &life.into());
                }
                CrashThere(life, causes) => {
                    there.record_crash(now, causes, &life.into());
                }
                Done(causes) => here.record_completion(now, causes),
                DoneThere(causes) => there.record_completion(now, causes),
                Wait(ms) => now = now + ms,
            }
            exchange(now, &mut here, &mut there);
        }
        assert_eq!(here.digest(), there.digest(), "{}", case.name);
        for host in [&here, &there] {
            for causes in case.refused {
                let verdict = host.verdict(now, causes);
                assert_eq!(verdict, CrashVerdict::Refuse, "{}: {causes:?}", case.name);
            }
            for causes in case.allowed {
                let verdict = host.verdict(now, causes);
                assert_ne!(verdict, CrashVerdict::Refuse, "{}: {causes:?}", case.name);
            }
        }
    }
}

/// Exchanges what the two hosts know, there and back.
fn exchange(now: TimeMs, here: &mut CrashSuspects, there: &mut CrashSuspects) {
    for _ in 0..2 {
        here.expire(now);
        there.expire(now);
        there.merge(now, &here.excerpt(now, 0));
        here.merge(now, &there.excerpt(now, 0));
    }
}

#[test]
fn a_report_of_an_expired_suspect_does_not_renew_it() {
    let crash = |life: &str| SuspectedCrash { life: life.into(), is_excused: false };
    let expired = CrashSuspect {
        cause: DEADLY,
        crashes: vec![crash("e1"), crash("e2"), crash("e3")],
        age_ms: CRASH_SUSPECT_EXPIRY_MS,
    };
    let mut suspects = CrashSuspects::default();
    assert_eq!(suspects.merge(NOW, &[expired]), []);
    assert_eq!(suspects.verdict(NOW, &[DEADLY]), CrashVerdict::Clear);
}
