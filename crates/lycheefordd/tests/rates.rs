//! One customer sends several times its rate through six daemons while they fail.
//!
//! A daemon counts a token at some time between its sending by the engine and its receipt by the
//! caller. Both times are known by the machine's clock, since the engine stamps each event. So a
//! window certainly contains the tokens that were sent and received within it, and their number is
//! checked against the limit for every window. No allowance is made for the time that a token took.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use async_std::task::{self, JoinHandle};
use lycheeford_fakes::{Call, CallFault, PlatformFaults};
use serde_json::Value;

use crate::support::{EngineLinks, Fleet, until};

const MODEL: &str = "model-001";
const TOKENS: u64 = 60;
const RATE_TOKENS_PER_S: u64 = 400;
const BURST_TOKENS: u64 = 1_200;
/// Callers of the greedy customer, each of which sends its next request right after an answer.
const GREEDY_CALLERS: usize = 12;
/// The resolution of the daemons' clocks, by which a refill may be early.
const CLOCK_TICK_US: u64 = 1_000;

const GREEDY: usize = 4;
const MODEST: usize = 0;

/// A token, or the prompt's tokens, as a caller received them.
#[derive(Debug, Clone, Copy)]
struct Received {
    tokens: u64,
    sent_us: u64,
    receipt_us: u64,
}

#[derive(Debug, Default)]
struct Observations {
    received: Mutex<Vec<Received>>,
    /// The code of each refusal.
    refusals: Mutex<Vec<String>>,
}

#[async_std::test]
async fn no_customer_receives_more_than_its_rate_and_burst() {
    let mut fleet = Fleet::start_with("rates", EngineLinks::Direct, |deployment| {
        let customer = &mut deployment.base.customers[GREEDY];
        customer.rate_tokens_per_s = Some(RATE_TOKENS_PER_S);
        customer.burst_tokens = Some(BURST_TOKENS);
    })
    .await;
    await_warm(&fleet).await;
    await_full_shares(&fleet).await;
    let stop = Arc::new(AtomicBool::new(false));
    let (greedy, modest) = (Arc::new(Observations::default()), Arc::new(Observations::default()));
    let mut callers: Vec<JoinHandle<()>> = (0..GREEDY_CALLERS)
        .map(|caller| keep_calling(&fleet, GREEDY, caller, Duration::ZERO, &stop, &greedy))
        .collect();
    callers.push(keep_calling(&fleet, MODEST, 0, Duration::from_millis(50), &stop, &modest));

    inject_faults(&mut fleet).await;

    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await;
    }
    let received = greedy.received.lock().unwrap().clone();
    let total: u64 = received.iter().map(|received| received.tokens).sum();
    let refused = greedy.refusals.lock().unwrap().len();
    println!("greedy: {total} tokens, {refused} refusals");
    assert!(total > BURST_TOKENS && refused > 0, "the customer didn't reach its limit");
    let fullest = fullest_window(&received);
    let Window { length_us, tokens, allowed_tokens } = fullest;
    println!("fullest window: {tokens} of {allowed_tokens} tokens in {length_us} us");
    assert!(tokens <= allowed_tokens, "{tokens} of {allowed_tokens} tokens in {length_us} us");
    let refusals = modest.refusals.lock().unwrap();
    println!("modest: {} events, refused {refusals:?}", modest.received.lock().unwrap().len());
    assert!(!refusals.iter().any(|code| code == "over_rate"), "{refusals:?}");
}

/// Injects faults into daemons and the store, one by one and two at a time.
async fn inject_faults(fleet: &mut Fleet) {
    let pause = || task::sleep(Duration::from_millis(1_200));
    pause().await;
    fleet.daemons[1].kill();
    fleet.daemons[2].pause();
    pause().await;
    fleet.daemons[1].start();
    fleet.isolate(3);
    pause().await;
    fleet.daemons[2].resume();
    let stalled = PlatformFaults { calls: CallFault::Stall, ..PlatformFaults::default() };
    fleet.set_faults(fleet.deployment.platform, &stalled).await;
    fleet.daemons[4].kill();
    pause().await;
    fleet.reconnect(3);
    fleet.daemons[4].start();
    pause().await;
    fleet.set_faults(fleet.deployment.platform, &PlatformFaults::default()).await;
    pause().await;
}

async fn await_warm(fleet: &Fleet) {
    let call = Call::completion(&fleet.keys[1], MODEL, "warm", 1);
    until("the model is warm for every daemon", async || {
        for daemon in 0..fleet.daemons.len() {
            let answer = call.send(fleet.caller_address(daemon)).await;
            if !answer.is_ok_and(|answer| answer.status == 200) {
                return false;
            }
        }
        true
    })
    .await;
}

/// Waits until the shares of the greedy customer are full.
async fn await_full_shares(fleet: &Fleet) {
    let customer = fleet.deployment.customers()[GREEDY].clone();
    until("the customer's burst is available", async || {
        let mut available_tokens = 0;
        for daemon in 0..fleet.daemons.len() {
            let reports = fleet.operator(daemon).customers().await.unwrap_or_default();
            let report = reports.iter().find(|report| report.name == customer);
            available_tokens += report.map_or(0, |report| report.available_tokens);
        }
        // Each share is rounded down.
        available_tokens + fleet.daemons.len() as u64 >= BURST_TOKENS
    })
    .await;
}

fn keep_calling(
    fleet: &Fleet,
    customer: usize,
    caller: usize,
    pause_between: Duration,
    stop: &Arc<AtomicBool>,
    observations: &Arc<Observations>,
) -> JoinHandle<()> {
    let daemons: Vec<SocketAddr> =
        (0..fleet.daemons.len()).map(|daemon| fleet.caller_address(daemon)).collect();
    let key = fleet.keys[customer].clone();
    let (stop, observations) = (stop.clone(), observations.clone());
    task::spawn(async move {
        let mut turn = caller;
        while !stop.load(Ordering::SeqCst) {
            turn += 1;
            let prompt = format!("caller {caller} turn {turn}");
            let mut call = Call::completion(&key, MODEL, &prompt, TOKENS);
            // Callers don't wait for a paused daemon.
            call.timeout = Duration::from_secs(1);
            let address = daemons[turn % daemons.len()];
            let answer =
                call.stream_lines(address, |line| record_tokens(&observations, line)).await;
            match answer {
                Ok(answer) if answer.status != 200 => {
                    observations.refusals.lock().unwrap().push(answer.refusal_code());
                    task::sleep(Duration::from_millis(10)).await;
                }
                Ok(_) => task::sleep(pause_between).await,
                Err(_) => task::sleep(Duration::from_millis(10)).await,
            }
        }
    })
}

fn record_tokens(observations: &Observations, line: &str) {
    let receipt_us = unix_us();
    let Some(data) = line.strip_prefix("data: ") else { return };
    let Ok(event) = serde_json::from_str::<Value>(data) else { return };
    let Some(sent_us) = event["sent_us"].as_u64() else { return };
    let token =
        u64::from(event["choices"][0]["text"].as_str().is_some_and(|text| !text.is_empty()));
    let tokens = token + event["usage"]["prompt_tokens"].as_u64().unwrap_or(0);
    observations.received.lock().unwrap().push(Received { tokens, sent_us, receipt_us });
}

/// A window with the tokens that were certainly received in it and the most that may be received.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    length_us: u64,
    tokens: u64,
    allowed_tokens: u64,
}

impl Window {
    /// Returns how many more tokens may be received; negative if the limit was exceeded.
    fn left_tokens(&self) -> i64 {
        self.allowed_tokens.cast_signed() - self.tokens.cast_signed()
    }
}

/// Returns the window with the least allowance left.
fn fullest_window(received: &[Received]) -> Window {
    let mut by_receipt = received.to_vec();
    by_receipt.sort_unstable_by_key(|received| received.receipt_us);
    let mut fullest = Window { allowed_tokens: BURST_TOKENS, ..Window::default() };
    for first in received {
        let mut tokens = 0;
        for last in by_receipt.iter().filter(|last| last.sent_us >= first.sent_us) {
            tokens += last.tokens;
            let length_us = last.receipt_us - first.sent_us;
            let refilled_tokens = RATE_TOKENS_PER_S * (length_us + CLOCK_TICK_US) / 1_000_000;
            let allowed_tokens = BURST_TOKENS + refilled_tokens;
            let window = Window { length_us, tokens, allowed_tokens };
            if window.left_tokens() < fullest.left_tokens() {
                fullest = window;
            }
        }
    }
    fullest
}

fn unix_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
