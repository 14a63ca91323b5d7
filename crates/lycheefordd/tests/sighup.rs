//! A SIGHUP, which says that the settings file has changed, cuts no request.

mod support;

use std::time::Duration;

use async_std::task;
use lycheeford_fakes::{Call, ServiceFaults, expected_text};
use serde_json::json;

use crate::support::{EngineLinks, Fleet, until};

const MODEL: &str = "model-001";
const TOKENS: u64 = 40;
/// How long the target of the call takes: longer than the signals go on.
const CALL_MS: u64 = 1_500;
const SIGNALS: usize = 3;
/// The pause before each signal.
const SIGNAL_PAUSE: Duration = Duration::from_millis(200);

#[async_std::test]
async fn no_request_is_cut_after_a_sighup() {
    let mut fleet = Fleet::start_with("sighup", EngineLinks::Direct, |_| ()).await;
    let (key, address) = (fleet.keys[0].clone(), fleet.caller_address(0));
    let warm = Call::completion(&key, MODEL, "warm", 1);
    until("the model is ready", async || {
        warm.send(address).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let slow = ServiceFaults { answer_delay_ms: CALL_MS, ..ServiceFaults::default() };
    for service in &fleet.deployment.services {
        fleet.set_faults(service.address, &slow).await;
    }
    let charge = Call::post("/charges", &key, &json!({ "id": "charge" }));
    let charge = charge.header("idempotency-key", "charge");
    let charged = task::spawn(async move { charge.send(address).await });
    let stream = Call::completion(&key, MODEL, "prompt", TOKENS);
    let streamed = task::spawn(async move { stream.send(address).await });
    for _ in 0..SIGNALS {
        task::sleep(SIGNAL_PAUSE).await;
        fleet.daemons[0].reload();
    }
    assert_eq!(charged.await.expect("an answer").status, 200);
    let streamed = streamed.await.expect("an answer");
    assert_eq!(streamed.streamed_text(), Some(expected_text(MODEL, "prompt", TOKENS)));
    assert_eq!(fleet.daemons[0].ended(SIGNAL_PAUSE).await, None);
    assert!(fleet.log_of_daemon(0).contains("settings_reread"));
}
