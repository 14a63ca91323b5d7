//! Which requests a stopping host still sends to targets.

use lycheeford_policy::{Name, RunTimes, SignalDelay, StopPlan, StopTimes, TimeMs};

const STOPPED_AT: TimeMs = TimeMs::from_ms(10_000);

struct StopCase {
    name: &'static str,
    grace_ms: u64,
    /// Routes and durations of the requests that ended before the stop.
    runs_ms: &'static [(&'static str, u64)],
    /// The first time after the stop at which a request must not be sent to a target.
    refuses_from_ms: u64,
}

#[test]
fn a_stopping_host_sends_only_requests_that_end_in_time() {
    let cases = [
        StopCase {
            name: "short requests",
            grace_ms: 8_000,
            runs_ms: &[("brief", 20)],
            refuses_from_ms: 7_370,
        },
        StopCase {
            name: "long requests",
            grace_ms: 8_000,
            runs_ms: &[("brief", 2_000), ("brief", 200)],
            refuses_from_ms: 4_400,
        },
        StopCase {
            name: "another route of the service has long requests",
            grace_ms: 8_000,
            runs_ms: &[("brief", 20), ("review", 2_000)],
            refuses_from_ms: 7_370,
        },
        StopCase {
            name: "only other routes have had requests",
            grace_ms: 8_000,
            runs_ms: &[("order", 20), ("review", 2_000)],
            refuses_from_ms: 4_400,
        },
        StopCase {
            name: "no request duration is known",
            grace_ms: 8_000,
            runs_ms: &[],
            refuses_from_ms: 2_900,
        },
        StopCase {
            name: "requests that outlast the grace period",
            grace_ms: 2_000,
            runs_ms: &[("brief", 3_000)],
            refuses_from_ms: 0,
        },
        StopCase {
            name: "a grace period that is too short for any request",
            grace_ms: 300,
            runs_ms: &[("brief", 10)],
            refuses_from_ms: 0,
        },
    ];
    for case in cases {
        let (service, route) = (Name::from("models"), Name::from("brief"));
        let mut runs = RunTimes::default();
        for (route, run_ms) in case.runs_ms {
            runs.ended(&service, &Name::from(*route), *run_ms);
        }
        let times = StopTimes { grace_ms: case.grace_ms, answer_ms: 600, end_ms: 400 };
        let plan = StopPlan::new(STOPPED_AT, times);
        let run_ms = runs.reserve_ms(&service, &route);
        let refuses_from = (0..=case.grace_ms)
            .find(|after_ms| !plan.can_finish(STOPPED_AT + *after_ms, run_ms))
            .expect("a request may begin after the end of the grace period");
        assert_eq!(refuses_from, case.refuses_from_ms, "{}", case.name);
        assert!(plan.answer_by() <= plan.end_by(), "{}", case.name);
        assert!(plan.end_by().since_ms(STOPPED_AT) <= case.grace_ms, "{}", case.name);
        let late = plan.end_by() + 1_000;
        assert_eq!(plan.end_after(late), late + 200, "{}", case.name);
    }
}

#[test]
fn one_stuck_request_makes_a_stopping_host_refuse_only_streams() {
    let (service, route) = (Name::from("models"), Name::from("brief"));
    let mut runs = RunTimes::default();
    runs.ended(&service, &route, 8_000);
    (0..100).for_each(|_| runs.ended(&service, &route, 300));
    assert_eq!(runs.reserve_ms(&service, &route), 450);
    // A stream that has begun can't be answered otherwise, so the reserve for streams covers the
    // longest of the recent durations without leaving out any.
    assert_eq!(runs.stream_reserve_ms(&service, &route), 8_000);
    // Several recent long requests raise the reserve, however many short ones came before.
    (0..20).for_each(|_| runs.ended(&service, &route, 2_500));
    assert_eq!(runs.reserve_ms(&service, &route), 3_750);
}

/// When a process ran, and when it noticed a signal that came at the earliest at another time.
struct NoticeCase {
    name: &'static str,
    ran_ms: &'static [u64],
    noticed_ms: u64,
    earliest_ms: u64,
}

#[test]
fn a_signal_that_is_noticed_late_may_have_come_since_the_process_last_ran() {
    let cases = [
        NoticeCase { name: "at once", ran_ms: &[100, 200], noticed_ms: 250, earliest_ms: 250 },
        NoticeCase {
            name: "on a busy host",
            ran_ms: &[100, 300, 500],
            noticed_ms: 700,
            earliest_ms: 700,
        },
        NoticeCase {
            name: "before the process has recorded that it runs again",
            ran_ms: &[100, 200],
            noticed_ms: 1_700,
            earliest_ms: 200,
        },
        NoticeCase {
            name: "after that",
            ran_ms: &[100, 200, 1_700],
            noticed_ms: 1_710,
            earliest_ms: 200,
        },
        NoticeCase {
            name: "long after the process was held up",
            ran_ms: &[100, 200, 1_700, 1_800, 1_900, 2_000],
            noticed_ms: 2_050,
            earliest_ms: 2_050,
        },
    ];
    for case in cases {
        let mut delay = SignalDelay::new(TimeMs::from_ms(0));
        case.ran_ms.iter().for_each(|ms| delay.ran(TimeMs::from_ms(*ms)));
        let earliest = delay.earliest(TimeMs::from_ms(case.noticed_ms));
        assert_eq!(earliest, TimeMs::from_ms(case.earliest_ms), "{}", case.name);
    }
}
