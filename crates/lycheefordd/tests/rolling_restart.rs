//! Every daemon is restarted in turn while callers keep calling.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use lycheeford_fakes::{Call, expected_text};

use crate::support::{Fleet, WAIT_TIMEOUT};

const CALLERS: usize = 12;
const MODEL: &str = "model-001";
const TOKENS: u64 = 60;

/// The outcomes of the callers' requests.
#[derive(Debug, Default)]
struct Outcomes {
    whole: AtomicU64,
    /// Refusals as not run.
    refused: AtomicU64,
    faults: Mutex<Vec<String>>,
}

/// Sends requests as a caller does: fetches the addresses of daemons, keeps them for the stated
/// time, and connects to them directly.
async fn keep_calling(
    caller: usize,
    known: Vec<SocketAddr>,
    key: String,
    stop: Arc<AtomicBool>,
    outcomes: Arc<Outcomes>,
) {
    let mut addresses = known;
    let mut kept_until = Instant::now();
    let mut turn = caller;
    while !stop.load(Ordering::SeqCst) {
        if Instant::now() >= kept_until {
            (addresses, kept_until) = fetch_addresses(&addresses).await;
        }
        turn += 1;
        let address = addresses[turn % addresses.len()];
        let prompt = format!("caller {caller} turn {turn}");
        let call = Call::completion(&key, MODEL, &prompt, TOKENS);
        let started = Instant::now();
        let fault = match call.send(address).await {
            Ok(answer) if answer.status == 200 => {
                let text = answer.streamed_text();
                if text == Some(expected_text(MODEL, &prompt, TOKENS)) {
                    outcomes.whole.fetch_add(1, Ordering::SeqCst);
                    continue;
                }
                format!("incomplete or wrong answer: {text:?}")
            }
            Ok(answer) if answer.json()["error"]["ran"] == "not_run" => {
                outcomes.refused.fetch_add(1, Ordering::SeqCst);
                let retry_after_ms = answer.json()["error"]["retry_after_ms"].as_u64();
                task::sleep(Duration::from_millis(retry_after_ms.unwrap_or(100))).await;
                println!("refused by {address}: {}", answer.body);
                continue;
            }
            Ok(answer) => format!("{} {}", answer.status, answer.body),
            Err(error) => error.to_string(),
        };
        let after = started.elapsed();
        outcomes.faults.lock().unwrap().push(format!("{address} after {after:?}: {fault}"));
    }
}

/// Returns the addresses that the first daemon to answer gives, and how long to keep them.
async fn fetch_addresses(known: &[SocketAddr]) -> (Vec<SocketAddr>, Instant) {
    for address in known {
        let asked_at = Instant::now();
        let Ok(answer) = Call::get("/v1/addresses").send(*address).await else { continue };
        let answer = answer.json();
        let given = answer["addresses"].as_array().cloned().unwrap_or_default();
        let addresses: Vec<SocketAddr> =
            given.iter().filter_map(|entry| entry["address"].as_str()?.parse().ok()).collect();
        if !addresses.is_empty() {
            let keep = Duration::from_millis(answer["keep_ms"].as_u64().unwrap_or(0));
            return (addresses, asked_at + keep);
        }
    }
    panic!("no daemon gave an address");
}

#[async_std::test]
async fn a_rolling_restart_cuts_no_request() {
    let mut fleet = Fleet::start("rolling-restart").await;
    let known: Vec<SocketAddr> =
        (0..fleet.daemons.len()).map(|daemon| fleet.caller_address(daemon)).collect();
    let (stop, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::new(Outcomes::default()));
    let callers: Vec<JoinHandle<()>> = (0..CALLERS)
        .map(|caller| {
            let mut known = known.clone();
            known.rotate_left(caller % 6);
            let key = fleet.keys[0].clone();
            task::spawn(keep_calling(caller, known, key, stop.clone(), outcomes.clone()))
        })
        .collect();

    for daemon in 0..fleet.daemons.len() {
        fleet.daemons[daemon].terminate();
        let status = fleet.daemons[daemon].ended(WAIT_TIMEOUT).await.expect("the daemon drains");
        assert!(status.success(), "daemon {daemon} ended with {status}");
        fleet.daemons[daemon].start();
        for other in 0..fleet.daemons.len() {
            fleet.await_daemon(other).await;
        }
    }

    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await;
    }
    let (whole, refused) =
        (outcomes.whole.load(Ordering::SeqCst), outcomes.refused.load(Ordering::SeqCst));
    println!("{whole} whole, {refused} refused as not run");
    let faults = outcomes.faults.lock().unwrap();
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(whole > 0);
}

#[async_std::test]
async fn a_draining_daemon_serves_as_long_as_its_address_may_be_kept() {
    let mut fleet = Fleet::start("drain").await;
    for draining in 0..fleet.daemons.len() {
        let address = fleet.caller_address(draining);
        fleet.daemons[draining].terminate();
        let mut last_listed = None;
        let mut turn = 0;
        let start = Instant::now();
        // Longer than a daemon takes to learn that another one drains.
        while start.elapsed() < Duration::from_millis(1_500) {
            turn += 1;
            let other = (draining + 1 + turn % 5) % 6;
            let asked_at = Instant::now();
            let answer = Call::get("/v1/addresses").send(fleet.caller_address(other)).await;
            let answer = answer.expect("the others answer").json();
            let listed = answer["addresses"].to_string().contains(&address.to_string());
            if listed {
                let keep_ms = answer["keep_ms"].as_u64().expect("addresses are kept for a time");
                last_listed = Some((asked_at, Duration::from_millis(keep_ms)));
            }
        }
        if let Some((asked_at, keep)) = last_listed {
            println!(
                "daemon {draining} was last listed {:?} after its drain began",
                asked_at - start
            );
            // A caller may connect at the last moment of that time.
            let last = keep.saturating_sub(Duration::from_millis(5));
            task::sleep(last.saturating_sub(asked_at.elapsed())).await;
            let answer = Call::get("/v1/models").send(address).await;
            assert!(answer.is_ok_and(|answer| answer.status == 200), "daemon {draining} is gone");
        }
        let status = fleet.daemons[draining].ended(WAIT_TIMEOUT).await.expect("the daemon drains");
        assert!(status.success());
        fleet.daemons[draining].start();
        for other in 0..fleet.daemons.len() {
            fleet.await_daemon(other).await;
        }
    }
}
