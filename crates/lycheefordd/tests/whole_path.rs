//! Requests from end to end through separate processes.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use futures_util::future::join_all;
use lycheeford_fakes::{Answer, Call, EngineAudit, expected_text, max_concurrent_replicas};
use serde_json::json;

use crate::support::Fleet;

const PROMPT: &str = "Is the lead still open?";
const TOKENS: u64 = 20;

/// Sends a completion, and resends it while it is refused as over rate, as may happen just after
/// the start.
async fn complete(address: SocketAddr, key: &str, model: &str) -> Answer {
    let call = Call::completion(key, model, PROMPT, TOKENS);
    loop {
        let answer = call.send(address).await.expect("the answer is whole");
        if answer.refusal_code() != "over_rate" {
            return answer;
        }
        let retry_after_ms = answer.json()["error"]["retry_after_ms"].as_u64();
        task::sleep(Duration::from_millis(retry_after_ms.unwrap_or(100))).await;
    }
}

fn assert_whole(answer: &Answer, model: &str) {
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.streamed_text(), Some(expected_text(model, PROMPT, TOKENS)));
    assert!(answer.request_id.is_some());
}

fn assert_within_memory_without_keys(audits: &[EngineAudit]) {
    for audit in audits {
        assert!(audit.memory_used_bytes_max <= audit.memory_total_bytes, "{audit:?}");
        assert!(!audit.marker_seen, "an engine saw a caller's key");
    }
}

fn loads(audits: &[EngineAudit], name: &str) -> usize {
    let orders = audits.iter().flat_map(|audit| &audit.orders);
    orders.filter(|order| order.action == "load" && order.name == name).count()
}

#[async_std::test]
async fn requests_go_through_every_daemon() {
    let fleet = Fleet::start("whole-path").await;
    let key = &fleet.keys[0];
    let addresses = Call::get("/v1/addresses").send(fleet.caller_address(3)).await.unwrap();
    assert_eq!(addresses.json()["addresses"].as_array().unwrap().len(), 6);

    let cold = complete(fleet.caller_address(0), key, "model-001").await;
    assert_whole(&cold, "model-001");
    let warm = complete(fleet.caller_address(5), key, "model-001").await;
    assert_whole(&warm, "model-001");
    let adapter = complete(fleet.caller_address(2), key, "adapter-001").await;
    assert_whole(&adapter, "adapter-001");
    println!(
        "first line: cold {} ms, warm {} ms, adapter {} ms",
        cold.first_line_ms, warm.first_line_ms, adapter.first_line_ms
    );

    let charge =
        Call::post("/charges", key, &json!({ "id": "charge-1" })).header("idempotency-key", "once");
    let first = charge.send(fleet.caller_address(1)).await.unwrap();
    assert_eq!(first.status, 200, "{}", first.body);
    let again = charge.send(fleet.caller_address(4)).await.unwrap();
    assert!(again.status == 200 || again.refusal_code() == "outcome_unknown", "{}", again.body);
    let runs: u64 = fleet.runs().await.iter().map(|runs| runs.runs_of_id("charge-1")).sum();
    assert_eq!(runs, 1);

    assert_within_memory_without_keys(&fleet.audits().await);
    assert!(fleet.runs().await.iter().all(|runs| !runs.marker_seen), "a service saw a key");
}

#[async_std::test]
async fn refused_requests_reach_no_target() {
    struct Case {
        name: &'static str,
        call: Call,
        status: u16,
        code: &'static str,
    }
    let fleet = Fleet::start("wrong-requests").await;
    let key = &fleet.keys[0];
    let completion = |key: &str, model: &str| Call::completion(key, model, PROMPT, TOKENS);
    let cases = [
        Case {
            name: "no key",
            call: Call { key: None, ..completion(key, "model-001") },
            status: 401,
            code: "bad_key",
        },
        Case {
            name: "unknown key",
            call: completion("lf_0123456789abcdef_00", "model-001"),
            status: 401,
            code: "bad_key",
        },
        Case {
            name: "unknown model",
            call: completion(key, "model-999"),
            status: 404,
            code: "not_found",
        },
        Case {
            name: "no idempotency key",
            call: Call::post("/charges", key, &json!({ "id": "charge-2" })),
            status: 400,
            code: "bad_request",
        },
        Case { name: "no route", call: Call::get("/nowhere"), status: 404, code: "not_found" },
    ];
    for case in cases {
        let answer = case.call.send(fleet.caller_address(2)).await.unwrap();
        assert_eq!(answer.status, case.status, "{}: {}", case.name, answer.body);
        assert_eq!(answer.refusal_code(), case.code, "{}", case.name);
        assert_eq!(answer.json()["error"]["ran"], "not_run", "{}", case.name);
    }
    let audits = fleet.audits().await;
    assert!(audits.iter().all(|audit| audit.orders.is_empty() && audit.completions_started == 0));
    assert!(fleet.runs().await.iter().all(|runs| runs.total == 0));
}

#[async_std::test]
async fn a_burst_on_every_daemon_loads_the_model_once() {
    let fleet = Fleet::start("burst").await;
    let key = &fleet.keys[0];
    // An engine runs 16 requests at once, so a second replica would serve no request sooner.
    let callers =
        (0..12).map(|caller| complete(fleet.caller_address(caller % 6), key, "model-003"));
    for answer in join_all(callers).await {
        assert_whole(&answer, "model-003");
    }
    let audits = fleet.audits().await;
    assert_within_memory_without_keys(&audits);
    assert_eq!(loads(&audits, "model-003"), 1);
    assert_eq!(max_concurrent_replicas(&audits, "model-003"), 1);
}
