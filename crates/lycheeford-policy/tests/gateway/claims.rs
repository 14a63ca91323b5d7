//! Which of the requests that compete for a resource are turned away, and in which order the others
//! are served.

use lycheeford_policy::{Claim, Supply, forecast_grants, select_rejected};

use crate::world::at;

/// One slot that is freed every 100 ms.
const SLOTS: Supply = Supply { available: 0.0, per_ms: 0.01, grant_units: 1.0 };

fn claim(id: u64, arrived_ms: u64, objective_ms: u64, deadline_ms: u64) -> Claim {
    Claim {
        id,
        arrived_at: at(arrived_ms),
        order_at: at(arrived_ms + objective_ms),
        due_at: at(arrived_ms + objective_ms),
        latest_at: at(arrived_ms + deadline_ms),
        priority: 0,
        work: 1.0,
    }
}

fn urgent(id: u64) -> Claim {
    claim(id, 0, 400, 400)
}

fn patient(id: u64) -> Claim {
    claim(id, 0, 2_000, 13_000)
}

fn in_order(mut claims: Vec<Claim>) -> Vec<Claim> {
    claims.sort_by_key(Claim::sort_key);
    claims
}

struct RejectCase {
    what: &'static str,
    now_ms: u64,
    claims: Vec<Claim>,
    rejected: Vec<u64>,
}

/// Guards against refusals of the requests that cost callers most, such as patient ones that could
/// wait, and against starvation of old, small or large ones.
#[test]
fn what_costs_callers_least_is_turned_away() {
    let cases = [
        RejectCase { what: "nothing waits", now_ms: 0, claims: vec![], rejected: vec![] },
        RejectCase {
            what: "all can be served in time",
            now_ms: 0,
            claims: vec![urgent(1), urgent(2), urgent(3), urgent(4), patient(5)],
            rejected: vec![],
        },
        RejectCase {
            what: "a patient request waits for as long as urgent ones come",
            now_ms: 0,
            claims: (1..=4).map(urgent).chain([patient(5), patient(6)]).collect(),
            rejected: vec![],
        },
        RejectCase {
            what: "of equal requests the last one gives way",
            now_ms: 0,
            claims: (1..=5).map(urgent).collect(),
            rejected: vec![5],
        },
        RejectCase {
            what: "a less urgent priority gives way to a newcomer",
            now_ms: 0,
            claims: vec![
                Claim { priority: 1, latest_at: at(1_950), ..claim(1, 0, 400, 400) },
                Claim { priority: 0, ..claim(2, 0, 1_950, 1_950) },
                urgent(3),
                urgent(4),
                urgent(5),
                urgent(6),
            ],
            rejected: vec![],
        },
        RejectCase {
            what: "a large request gives way to several small ones",
            now_ms: 0,
            claims: vec![Claim { work: 3.0, ..urgent(1) }, urgent(2), urgent(3), urgent(4)],
            rejected: vec![1],
        },
        RejectCase {
            what: "a large request doesn't give way to one small one of the same value",
            now_ms: 0,
            claims: vec![Claim { work: 4.0, ..urgent(1) }, urgent(2)],
            rejected: vec![2],
        },
        RejectCase {
            what: "a request that is late already gives way to one that can be in time",
            now_ms: 1_000,
            claims: vec![claim(1, 990, 5, 410), claim(2, 1_000, 100, 110)],
            rejected: vec![1],
        },
        RejectCase {
            what: "an old request doesn't give way to one of the next priority that has just come",
            now_ms: 10_000,
            claims: vec![
                Claim { priority: 1, ..claim(1, 0, 10_100, 10_100) },
                claim(2, 10_000, 1_700, 1_700),
            ],
            rejected: vec![],
        },
    ];
    for case in cases {
        let claims = in_order(case.claims);
        assert_eq!(
            select_rejected(at(case.now_ms), &SLOTS, &claims),
            case.rejected,
            "{}",
            case.what
        );
    }
}

#[test]
fn a_claim_on_a_rate_may_take_the_level_below_zero() {
    let rate = Supply { available: 10.0, per_ms: 1.0, grant_units: 0.0 };
    let claims = [
        Claim { work: 100.0, ..patient(1) },
        Claim { work: 5.0, ..patient(2) },
        Claim { work: 5.0, ..patient(3) },
    ];
    let granted = forecast_grants(at(1_000), &rate, &claims);
    assert_eq!(granted, [Some(at(1_000)), Some(at(1_090)), Some(at(1_095))]);
    let nothing = Supply { available: -1.0, per_ms: 0.0, grant_units: 0.0 };
    assert_eq!(forecast_grants(at(0), &nothing, &claims[..1]), [None]);
    assert_eq!(select_rejected(at(0), &nothing, &claims), [1, 2, 3]);
}
