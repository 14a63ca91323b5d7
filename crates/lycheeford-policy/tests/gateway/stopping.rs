//! What a host that was told to stop still begins.

use lycheeford_policy::{Name, RunTimes, StopPlan, TimeMs};

const STOPPED_AT: TimeMs = TimeMs::from_ms(10_000);

struct BeginCase {
    name: &'static str,
    grace_ms: u64,
    /// Runs of the service that ended before.
    runs_ms: &'static [u64],
    /// The last moment after the stop at which a request may be sent to a target.
    begins_until_ms: u64,
}

#[test]
fn a_stopping_host_begins_what_ends_before_it() {
    let cases = [
        BeginCase { name: "short runs", grace_ms: 8_000, runs_ms: &[20], begins_until_ms: 7_370 },
        BeginCase {
            name: "long runs",
            grace_ms: 8_000,
            runs_ms: &[2_000, 200],
            begins_until_ms: 4_400,
        },
        BeginCase {
            name: "no run is known",
            grace_ms: 8_000,
            runs_ms: &[],
            begins_until_ms: 5_900,
        },
        BeginCase {
            name: "runs that outlast the grace",
            grace_ms: 2_000,
            runs_ms: &[3_000],
            begins_until_ms: 0,
        },
        BeginCase { name: "hardly a grace", grace_ms: 300, runs_ms: &[10], begins_until_ms: 0 },
    ];
    for case in cases {
        let service = Name::from("models");
        let mut runs = RunTimes::default();
        case.runs_ms.iter().for_each(|run_ms| runs.ended(&service, *run_ms));
        let plan = StopPlan::new(STOPPED_AT, case.grace_ms);
        let begins_until_ms = plan.begin_by(runs.most_ms(&service)).since_ms(STOPPED_AT);
        assert_eq!(begins_until_ms, case.begins_until_ms, "{}", case.name);
        assert!(plan.answer_by() <= plan.end_by(), "{}", case.name);
        assert!(plan.end_by().since_ms(STOPPED_AT) <= case.grace_ms, "{}", case.name);
    }
}

#[test]
fn one_stuck_run_does_not_make_a_stopping_host_refuse_everything() {
    let service = Name::from("models");
    let mut runs = RunTimes::default();
    runs.ended(&service, 8_000);
    (0..200).for_each(|_| runs.ended(&service, 300));
    assert_eq!(runs.most_ms(&service), 300);
    // Long runs of late are believed, however many short ones came before.
    (0..20).for_each(|_| runs.ended(&service, 2_500));
    assert_eq!(runs.most_ms(&service), 2_500);
}
