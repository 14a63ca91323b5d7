//! Whether a request waits for a model that no target holds.

use lycheeford_policy::{LoadDecision, LoadForecast, LoadTime, LoadWait, TimeMs};

use crate::world::at;

const NOW_MS: u64 = 10_000;

#[derive(Clone, Copy)]
struct Case {
    what: &'static str,
    /// The forecast's time, its age and how long its sender had held the lease.
    forecast: Option<(LoadTime, u64, Option<u64>)>,
    started_ms: u64,
    final_ms: u64,
    objective_ms: u64,
    decision: LoadDecision,
}

fn ready(ms: u64) -> LoadTime {
    LoadTime::Ready { at: at(ms) }
}

fn not_before(ms: u64) -> LoadTime {
    LoadTime::NotBefore { at: at(ms) }
}

fn wait(until_ms: u64) -> LoadDecision {
    LoadDecision::Wait { until: at(until_ms) }
}

fn refuse(retry_after_ms: u64) -> LoadDecision {
    LoadDecision::Refuse { retry_after_ms }
}

const SETTLED: Option<u64> = Some(60_000);

const BASE: Case = Case {
    what: "without a forecast it waits for twice its objective",
    forecast: None,
    started_ms: NOW_MS,
    final_ms: NOW_MS + 8_000,
    objective_ms: 2_000,
    decision: LoadDecision::Wait { until: TimeMs::from_ms(NOW_MS + 4_000) },
};

fn check(cases: &[Case]) {
    for case in cases {
        let forecast = case.forecast.map(|(time, age_ms, held_ms)| LoadForecast {
            time,
            heard_at: at(NOW_MS - age_ms),
            held_ms,
        });
        let request = LoadWait {
            started_at: at(case.started_ms),
            final_at: at(case.final_ms),
            objective_ms: case.objective_ms,
        };
        assert_eq!(request.decide(at(NOW_MS), forecast.as_ref()), case.decision, "{}", case.what);
    }
}

/// Guards against requests that are refused although their model is ready in time.
#[test]
fn a_request_waits_for_a_load_that_serves_it_in_time() {
    let cases = [
        Case {
            what: "with a short objective it waits for a second",
            objective_ms: 300,
            decision: wait(NOW_MS + 1_000),
            ..BASE
        },
        Case {
            what: "without a forecast it keeps some of its time",
            final_ms: NOW_MS + 1_000,
            decision: wait(NOW_MS + 600),
            ..BASE
        },
        Case {
            what: "the wait counts from its start",
            started_ms: NOW_MS - 500,
            decision: wait(NOW_MS + 3_500),
            ..BASE
        },
        Case {
            what: "a load that is planned within its time is waited for",
            forecast: Some((ready(NOW_MS + 6_000), 0, SETTLED)),
            decision: wait(NOW_MS + 6_500),
            ..BASE
        },
        Case {
            what: "also if the forecast is old",
            forecast: Some((ready(NOW_MS + 6_000), 5_000, SETTLED)),
            decision: wait(NOW_MS + 6_500),
            ..BASE
        },
        Case {
            what: "a load that is done just in time is waited for",
            forecast: Some((ready(NOW_MS + 7_939), 0, SETTLED)),
            decision: wait(NOW_MS + 7_940),
            ..BASE
        },
        Case {
            what: "a load that is done too late isn't waited for",
            forecast: Some((ready(NOW_MS + 7_940), 0, SETTLED)),
            decision: refuse(7_940),
            ..BASE
        },
        Case {
            what: "a load that an old forecast plans too late refuses nobody",
            forecast: Some((ready(NOW_MS + 9_000), 1_001, SETTLED)),
            ..BASE
        },
        Case {
            what: "a load that should be done by now is waited for as without a forecast",
            forecast: Some((ready(NOW_MS - 300), 800, SETTLED)),
            ..BASE
        },
        BASE,
    ];
    check(&cases);
}

/// Guards against requests that wait for a model that can't be loaded, and against requests that an
/// outdated or uncertain forecast refuses.
#[test]
fn a_request_that_nothing_can_be_loaded_for_is_refused_if_that_is_certain() {
    let cases = [
        Case {
            what: "nothing can be loaded",
            forecast: Some((not_before(NOW_MS + 2_000), 0, SETTLED)),
            decision: refuse(2_000),
            ..BASE
        },
        Case {
            what: "something can be loaded before its objective is over",
            forecast: Some((not_before(NOW_MS + 1_999), 0, SETTLED)),
            ..BASE
        },
        Case {
            what: "an objective that is shorter than what it waits for without a forecast",
            forecast: Some((not_before(NOW_MS + 300), 0, SETTLED)),
            objective_ms: 300,
            decision: refuse(300),
            ..BASE
        },
        Case {
            what: "nothing could be loaded a second ago",
            forecast: Some((not_before(NOW_MS + 2_000), 1_000, SETTLED)),
            decision: refuse(2_000),
            ..BASE
        },
        Case {
            what: "nothing could be loaded more than a second ago",
            forecast: Some((not_before(NOW_MS + 2_000), 1_001, SETTLED)),
            ..BASE
        },
        Case {
            what: "nothing can be loaded, says a new holder",
            forecast: Some((not_before(NOW_MS + 2_000), 0, Some(999))),
            ..BASE
        },
        Case {
            what: "nothing could be loaded before a time that has passed",
            forecast: Some((not_before(NOW_MS), 900, SETTLED)),
            ..BASE
        },
    ];
    check(&cases);
}
