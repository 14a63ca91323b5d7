//! The platform's store stalls, refuses or drops connections while callers keep calling.

mod support;

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use lycheeford_fakes::{Call, CallError, CallFault, PlatformFaults, expected_text};
use serde_json::json;

use crate::support::{Fleet, WAIT_TIMEOUT, until};

const MODEL: &str = "model-001";
const PROMPT: &str = "Is the lead still open?";
const TOKENS: u64 = 8;

/// Longer than any time for which a daemon trusts its keys without confirmation by the store.
const OUTAGE: Duration = Duration::from_secs(6);

#[async_std::test]
async fn warm_requests_are_served_and_charges_are_refused_as_not_run() {
    let fleet = Fleet::start("store-outage").await;
    let key = &fleet.keys[0];
    let completion = Call::completion(key, MODEL, PROMPT, TOKENS);
    until("the model is warm for every daemon", async || {
        for daemon in 0..fleet.daemons.len() {
            let answer = completion.send(fleet.caller_address(daemon)).await;
            if !answer.is_ok_and(|answer| answer.status == 200) {
                return false;
            }
        }
        true
    })
    .await;

    for calls in [CallFault::Stall, CallFault::Refuse, CallFault::Reset] {
        let faults = PlatformFaults { calls, ..PlatformFaults::default() };
        fleet.set_faults(fleet.deployment.platform, &faults).await;
        let start = Instant::now();
        let mut served = 0;
        while start.elapsed() < OUTAGE {
            for daemon in 0..fleet.daemons.len() {
                let answer = completion.send(fleet.caller_address(daemon)).await.unwrap();
                assert_eq!(answer.status, 200, "{calls:?}: {}", answer.body);
                assert_eq!(answer.streamed_text(), Some(expected_text(MODEL, PROMPT, TOKENS)));
                served += 1;
            }
        }
        let id = format!("{calls:?}");
        let charge =
            Call::post("/charges", key, &json!({ "id": id })).header("idempotency-key", &id);
        let refused = charge.send(fleet.caller_address(1)).await.unwrap();
        assert_eq!(refused.json()["error"]["ran"], "not_run", "{calls:?}: {}", refused.body);
        println!("{calls:?}: {served} served, charge refused after {} ms", refused.total_ms);
        fleet.set_faults(fleet.deployment.platform, &PlatformFaults::default()).await;
        let ran: u64 = fleet.runs().await.iter().map(|runs| runs.runs_of_id(&id)).sum();
        assert_eq!(ran, 0, "{calls:?}");
        until("charges are served again", async || {
            let answer = charge.send(fleet.caller_address(2)).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        let ran: u64 = fleet.runs().await.iter().map(|runs| runs.runs_of_id(&id)).sum();
        assert_eq!(ran, 1, "{calls:?}");
    }
}

#[async_std::test]
async fn a_daemon_that_starts_without_the_platform_refuses_connections() {
    let mut fleet = Fleet::start("start-in-outage").await;
    fleet.daemons[0].terminate();
    fleet.daemons[0].ended(WAIT_TIMEOUT).await.expect("the daemon drains");
    fleet.platform.kill();
    fleet.daemons[0].start();
    until("the daemon waits for the platform", async || {
        fleet.log_of_daemon(0).contains("waits for the platform")
    })
    .await;
    let completion = Call::completion(&fleet.keys[0], MODEL, PROMPT, TOKENS);
    let answer = completion.send(fleet.caller_address(0)).await;
    assert_matches!(answer, Err(CallError::Connect { .. }));
}
