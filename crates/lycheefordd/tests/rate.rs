//! A customer gets no more than its rate and burst over all daemons, whatever fails.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use lycheeford_fakes::{Call, CallFault, PlatformFaults, prompt_tokens};

use crate::support::{Fleet, until};

/// The customer with its rate and burst, from the deployment.
const CUSTOMER: usize = 3;

const MODEL: &str = "model-001";
const PROMPT: &str = "Is the lead still open?";
const TOKENS: u64 = 40;

/// Enough to ask for several times the rate.
const CALLERS: usize = 24;

/// Tokens that a customer got, between a request's start and its end.
#[derive(Debug, Clone, Copy)]
struct Served {
    from: Duration,
    to: Duration,
    tokens: u64,
}

async fn keep_calling(
    caller: usize,
    daemons: Vec<SocketAddr>,
    key: String,
    epoch: Instant,
    stop: Arc<AtomicBool>,
) -> (Vec<Served>, u64) {
    let call = Call::completion(&key, MODEL, PROMPT, TOKENS);
    let call = Call { timeout: Duration::from_secs(5), ..call };
    let (mut served, mut refused) = (Vec::new(), 0);
    let mut turn = caller;
    while !stop.load(Ordering::SeqCst) {
        turn += 1;
        let from = epoch.elapsed();
        match call.send(daemons[turn % daemons.len()]).await {
            Ok(answer) if answer.status == 200 => {
                let events = answer.body.matches("\"finish_reason\":null").count() as u64;
                let tokens = prompt_tokens(PROMPT) + events;
                served.push(Served { from, to: epoch.elapsed(), tokens });
            }
            Ok(_) => {
                refused += 1;
                task::sleep(Duration::from_millis(10)).await;
            }
            Err(_) => task::sleep(Duration::from_millis(10)).await,
        }
    }
    (served, refused)
}

/// Checks every window from a request's start to a request's end.
fn assert_within(mut served: Vec<Served>, rate_tokens_per_s: u64, burst_tokens: u64) -> f64 {
    served.sort_unstable_by_key(|served| served.to);
    let mut fullest: f64 = 0.0;
    for first in &served {
        let mut tokens = 0;
        for last in served.iter().filter(|last| last.from >= first.from) {
            tokens += last.tokens;
            let window = last.to.saturating_sub(first.from);
            let allowed = rate_tokens_per_s as f64 * window.as_secs_f64() + burst_tokens as f64;
            assert!(tokens as f64 <= allowed, "{tokens} tokens in {window:?}, {allowed} allowed");
            fullest = fullest.max(tokens as f64 / allowed);
        }
    }
    fullest
}

#[async_std::test]
async fn rate_and_burst_hold_over_all_daemons() {
    let mut fleet = Fleet::start("rate").await;
    let customer = fleet.deployment.base.customers[CUSTOMER].clone();
    let (rate, burst) = (customer.rate_tokens_per_s.unwrap(), customer.burst_tokens.unwrap());
    let key = fleet.keys[CUSTOMER].clone();
    let warm = Call::completion(&fleet.keys[0], MODEL, PROMPT, TOKENS);
    until("the model is warm", async || {
        let answer = warm.send(fleet.caller_address(0)).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let daemons: Vec<SocketAddr> =
        (0..fleet.daemons.len()).map(|daemon| fleet.caller_address(daemon)).collect();
    let (epoch, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let callers: Vec<JoinHandle<(Vec<Served>, u64)>> = (0..CALLERS)
        .map(|caller| {
            let calling = keep_calling(caller, daemons.clone(), key.clone(), epoch, stop.clone());
            task::spawn(calling)
        })
        .collect();

    let platform = fleet.deployment.platform;
    task::sleep(Duration::from_secs(3)).await;
    for round in 0..fleet.daemons.len() {
        fleet.daemons[round].kill();
        fleet.daemons[round].start();
        let other = (round + 2) % 6;
        fleet.isolate(other);
        task::sleep(Duration::from_secs(1)).await;
        fleet.mend(other);
        let paused = (round + 4) % 6;
        fleet.daemons[paused].pause();
        task::sleep(Duration::from_secs(1)).await;
        fleet.daemons[paused].resume();
        let calls = if round % 2 == 0 { CallFault::Stall } else { CallFault::Refuse };
        fleet.set_faults(platform, &PlatformFaults { calls, ..Default::default() }).await;
        task::sleep(Duration::from_secs(1)).await;
        fleet.set_faults(platform, &PlatformFaults::default()).await;
    }
    stop.store(true, Ordering::SeqCst);
    let (mut served, mut refused) = (Vec::new(), 0);
    for caller in callers {
        let (by_caller, refused_by_caller) = caller.await;
        served.extend(by_caller);
        refused += refused_by_caller;
    }
    let tokens: u64 = served.iter().map(|served| served.tokens).sum();
    let allowed = rate as f64 * epoch.elapsed().as_secs_f64() + burst as f64;
    let share = tokens as f64 / allowed;
    let answers = served.len();
    let fullest = assert_within(served, rate, burst);
    println!(
        "{answers} answers, {refused} refusals, {tokens} tokens, {share:.3} of what was allowed, \
         {fullest:.3} in the fullest window"
    );
    assert!(tokens > 0);
}
