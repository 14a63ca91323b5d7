//! A stop in virtual time: requests go on to arrive, and all targets fall silent or slow down.

use lycheeford_policy::{LateRequest, Name, Ran, RunTimes, StopPlan, StopTimes, TimeMs};

const STOPPED_AT: TimeMs = TimeMs::from_ms(10_000);
const TIMES: StopTimes = StopTimes { grace_ms: 8_000, answer_ms: 600, end_ms: 400 };
/// The interval at which each route gets a request.
const INTERVAL_MS: usize = 20;
/// How long after the stop signal a request may be sent whose loss the users excuse, if its target
/// is still at work near the end of the grace.
const EXCUSED_MS: u64 = 3_000;
/// When a refused caller has reached another host.
const ELSEWHERE_AFTER_MS: u64 = 60;

/// A route, with the times that its targets take without a silence.
struct LoadRoute {
    name: &'static str,
    is_stream: bool,
    deadline_ms: u64,
    runs_ms: &'static [u64],
}

const ROUTES: &[LoadRoute] = &[
    LoadRoute {
        name: "impatient",
        is_stream: false,
        deadline_ms: 600,
        runs_ms: &[20, 30, 40, 60, 60, 80, 90, 110, 150, 300],
    },
    LoadRoute {
        name: "order",
        is_stream: false,
        deadline_ms: 1_500,
        runs_ms: &[20, 30, 40, 60, 60, 80, 90, 110, 150, 450],
    },
    LoadRoute {
        name: "short stream",
        is_stream: true,
        deadline_ms: 5_000,
        runs_ms: &[80, 120, 150, 200, 240, 300, 380, 450, 600, 900],
    },
    LoadRoute {
        name: "long stream",
        is_stream: true,
        deadline_ms: 11_000,
        runs_ms: &[200, 300, 400, 500, 700, 900, 1_100, 1_300, 1_600, 2_000],
    },
];

/// The silences of all targets: when each begins after the stop signal, and how long it is.
type Silences = &'static [(u64, u64)];

/// What the targets do while the host stops.
struct LoadCase {
    name: &'static str,
    silences: Silences,
    /// How many times longer the targets take than before the stop.
    slowdown: u64,
}

const LOAD_CASES: &[LoadCase] = &[
    LoadCase { name: "as before", silences: &[], slowdown: 1 },
    LoadCase { name: "silent for 1.0 s", silences: &[(3_500, 1_000)], slowdown: 1 },
    LoadCase { name: "silent for 1.3 s", silences: &[(3_500, 1_300)], slowdown: 1 },
    LoadCase { name: "silent for 1.3 s near the end", silences: &[(6_200, 1_300)], slowdown: 1 },
    LoadCase {
        name: "silent for 1.0 s twice",
        silences: &[(2_000, 1_000), (6_300, 1_000)],
        slowdown: 1,
    },
    LoadCase {
        name: "silent for 1.3 s twice",
        silences: &[(2_000, 1_300), (6_000, 1_300)],
        slowdown: 1,
    },
    LoadCase { name: "three times slower", silences: &[], slowdown: 3 },
];

/// A way to decide whether a request is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// What is expected to end by the run times of earlier requests.
    Guess,
    /// The same with a silence.
    GuessWithSilence,
    /// What has ended by its deadline.
    Deadline,
    /// What `StopPlan::check` says.
    Plan,
}

/// What callers of a stopping host got.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Outcomes {
    /// Answered here before the deadline.
    served: u32,
    /// Refused here, and in time for another host.
    elsewhere: u32,
    /// Refused here, and too late for another host.
    refused: u32,
    /// Ended by the deadline, as at any other host.
    late: u32,
    /// Cut at the end of the grace although they arrived early, which the users excuse.
    excused: u32,
    /// Cut at the end of the grace.
    lost: u32,
}

#[test]
fn a_stop_loses_no_request_though_targets_fall_silent_or_slow_down() {
    let plan = StopPlan::new(STOPPED_AT, TIMES);
    let mut lost_by_guess = (0, 0);
    for case in LOAD_CASES {
        let name = case.name;
        let [guess, with_silence, deadline, chosen] =
            [Way::Guess, Way::GuessWithSilence, Way::Deadline, Way::Plan]
                .map(|way| play(plan, way, case));
        println!("{name}: guess {guess:?}\n  with a silence {with_silence:?}");
        println!("  deadline {deadline:?}\n  plan {chosen:?}");
        lost_by_guess = (lost_by_guess.0 + guess.lost, lost_by_guess.1 + with_silence.lost);
        assert_eq!(chosen.lost, 0, "{name}: {chosen:?}");
        // Refusing what could only be expected to end must not cost its callers the answer.
        let in_the_end = |outcomes: Outcomes| outcomes.served + outcomes.elsewhere;
        assert!(in_the_end(chosen) >= in_the_end(guess), "{name}: {chosen:?}, {guess:?}");
        assert!(chosen.served >= deadline.served, "{name}: {chosen:?}, {deadline:?}");
    }
    // The cases tell the ways apart.
    assert!(lost_by_guess.0 > 0 && lost_by_guess.1 > 0, "{lost_by_guess:?}");
}

#[test]
fn a_request_that_arrives_late_is_started_if_and_only_if_its_deadline_is_in_time() {
    let plan = StopPlan::new(STOPPED_AT, TIMES);
    for after_ms in (0..8_000).step_by(25) {
        for deadline_ms in [600, 1_500, 3_000, 5_000, 11_000] {
            for (run_ms, wait_ms) in [(0, 0), (20, 0), (500, 0), (3_000, 0), (20, 400)] {
                let arrived_at = STOPPED_AT + after_ms;
                let request = LateRequest {
                    arrived_at,
                    sent_at: arrived_at + wait_ms,
                    final_at: arrived_at + deadline_ms,
                    run_ms,
                    ran: Ran::NotRun,
                };
                let ends_in_time = request.final_at <= plan.answer_by();
                let is_started = plan.check(&request).is_ok();
                assert!(is_started || !ends_in_time, "{request:?}");
                assert!(!is_started || ends_in_time || after_ms < EXCUSED_MS, "{request:?}");
            }
        }
    }
}

/// Plays the requests of all routes from the stop signal to the end of the grace.
fn play(plan: StopPlan, way: Way, case: &LoadCase) -> Outcomes {
    let service = Name::from("service");
    let mut run_times = RunTimes::default();
    for route in ROUTES {
        for run_ms in route.runs_ms {
            run_times.ended(&service, &Name::from(route.name), *run_ms);
        }
    }
    let mut outcomes = Outcomes::default();
    let answer_by_ms = plan.answer_by().since_ms(STOPPED_AT);
    for (number, after_ms) in (0..answer_by_ms).step_by(INTERVAL_MS).enumerate() {
        for route in ROUTES {
            let (runs, name) = (&run_times, Name::from(route.name));
            let expected_ms = if route.is_stream {
                runs.stream_reserve_ms(&service, &name)
            } else {
                runs.reserve_ms(&service, &name)
            };
            // A step that has no factor in common with the number of run times.
            let run_ms = route.runs_ms[number * 7 % route.runs_ms.len()] * case.slowdown;
            let request = LateRequest {
                arrived_at: STOPPED_AT + after_ms,
                sent_at: STOPPED_AT + after_ms,
                final_at: STOPPED_AT + after_ms + route.deadline_ms,
                run_ms: expected_ms,
                ran: Ran::NotRun,
            };
            let counted = if is_started(plan, way, &request) {
                started_outcome(
                    &mut outcomes,
                    &request,
                    plan,
                    end_ms(after_ms, run_ms, case.silences),
                )
            } else {
                let begins_ms = after_ms + ELSEWHERE_AFTER_MS;
                let left_ms = route.deadline_ms - ELSEWHERE_AFTER_MS;
                let takes_ms = end_ms(begins_ms, run_ms, case.silences) - begins_ms;
                if takes_ms <= left_ms { &mut outcomes.elsewhere } else { &mut outcomes.refused }
            };
            *counted += 1;
        }
    }
    outcomes
}

fn is_started(plan: StopPlan, way: Way, request: &LateRequest) -> bool {
    match way {
        Way::Guess => plan.can_finish(request.sent_at, request.run_ms),
        Way::GuessWithSilence => plan.can_finish(request.sent_at, request.run_ms + 1_300),
        Way::Deadline => request.final_at <= plan.answer_by(),
        Way::Plan => plan.check(request).is_ok(),
    }
}

/// Returns the counter of a request whose target would answer `end_ms` after the stop signal.
fn started_outcome<'a>(
    outcomes: &'a mut Outcomes,
    request: &LateRequest,
    plan: StopPlan,
    end_ms: u64,
) -> &'a mut u32 {
    let ends_at = STOPPED_AT + end_ms;
    let is_early = request.arrived_at.since_ms(STOPPED_AT) <= EXCUSED_MS;
    match ends_at.min(request.final_at) {
        over_at if over_at > plan.answer_by() && is_early => &mut outcomes.excused,
        over_at if over_at > plan.answer_by() => &mut outcomes.lost,
        over_at if over_at < ends_at => &mut outcomes.late,
        _ => &mut outcomes.served,
    }
}

/// Returns when a run ends that begins `begin_ms` after the stop signal and takes `run_ms` without
/// silences.
fn end_ms(begin_ms: u64, run_ms: u64, silences: Silences) -> u64 {
    silences.iter().fold(begin_ms + run_ms, |end_ms, (silent_from, silent_ms)| {
        let silent_until = silent_from + silent_ms;
        if begin_ms >= silent_until || end_ms <= *silent_from {
            return end_ms;
        }
        end_ms + silent_until - begin_ms.max(*silent_from)
    })
}
