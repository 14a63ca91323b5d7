//! At-most-once requests (charges) are sent and resent while daemons, the store's answers and
//! services fail.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle};
use lycheeford_fakes::{
    Answer, Call, CallError, CallFault, LostWrites, PlatformFaults, ServiceFaults,
};
use serde_json::json;

use crate::support::{Fleet, until};

/// Seeds the times of the kills and the choice of the processes.
const SEED: u64 = 20_261_203;
const CALLERS: usize = 12;
const ATTEMPTS: usize = 4;
const FAULT_PERIOD: Duration = Duration::from_secs(7);
/// How long the store refuses every call at the end, so that some charges are certainly refused.
///
/// A daemon continues a write that it has begun for three seconds.
const STORE_REFUSES_FOR: Duration = Duration::from_millis(3_500);

/// How long a charge is resent after a restore of the store.
const RESENT_FOR: Duration = Duration::from_secs(3);

/// Long enough that kills fall both before and after every step.
const STORE_DELAY_MS: u64 = 10;
const SERVICE_DELAY_MS: u64 = 30;

/// Codes of refusals by a daemon that couldn't read from the ledger whether an earlier request ran.
const LEDGER_UNREAD: [&str; 2] = ["configuration_stale", "platform_unavailable"];

/// What a caller knows of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Attempt {
    Answered,
    /// Refused as not run, with the request's id and the refusal's code.
    NotRun(String, String),
    Unknown,
    /// The daemon died, or wasn't running.
    Cut,
}

/// A charge with its attempts, the first two of which were made concurrently.
#[derive(Debug)]
struct Charge {
    id: String,
    attempts: Vec<Attempt>,
}

#[async_std::test]
async fn no_charge_runs_twice_and_none_that_ran_is_reported_as_not_run() {
    let mut fleet = Fleet::start("at-most-once").await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<JoinHandle<Vec<Charge>>> =
        (0..CALLERS).map(|caller| keep_charging(&fleet, caller, &stop)).collect();

    inject_faults(&mut fleet).await;

    stop.store(true, Ordering::SeqCst);
    let mut charges = Vec::new();
    for caller in callers {
        charges.extend(caller.await);
    }
    let runs = fleet.runs().await;
    let mut counts = [0; 4];
    for Charge { id, attempts } in &charges {
        let ran: u64 = runs.iter().map(|runs| runs.runs_of_id(id)).sum();
        assert!(ran <= 1, "{id} ran {ran} times: {attempts:?}");
        assert!(ran == 1 || !attempts.contains(&Attempt::Answered), "{id}: {attempts:?}");
        if let Some(Attempt::NotRun(_, code)) = attempts.last() {
            assert!(ran == 0 || LEDGER_UNREAD.contains(&code.as_str()), "{id} ran: {attempts:?}");
        }
        for attempt in attempts {
            counts[position(attempt)] += 1;
            let Attempt::NotRun(request, code) = attempt else { continue };
            assert_ne!(code, "not_found", "{id}: {attempts:?}");
            let ran: u64 = runs.iter().map(|runs| runs.runs_of_request(request)).sum();
            assert_eq!(ran, 0, "{request} of {id} ran: {attempts:?}");
        }
    }
    let [answered, not_run, unknown, cut] = counts;
    println!(
        "{} charges: {answered} answered, {not_run} not run, {unknown} unknown, {cut} cut",
        charges.len()
    );
    assert!(
        counts.iter().all(|count| *count > 0),
        "an outcome didn't occur, so a fault had no effect"
    );
}

#[async_std::test]
async fn a_charge_whose_service_died_is_never_run_again() {
    let mut fleet = Fleet::start("service-dies").await;
    for round in 0..2 {
        let dies = ServiceFaults { die_after_running: true, ..ServiceFaults::default() };
        for service in &fleet.deployment.services {
            fleet.set_faults(service.address, &dies).await;
        }
        let id = format!("dies-{round}");
        let charge = charge(&fleet.keys[0], &id);
        let first = charge.send(fleet.caller_address(0)).await.expect("the daemon answers");
        assert_eq!(first.json()["error"]["ran"], "unknown", "{}", first.body);

        // Only the service that ran the charge has died.
        let mut dead = None;
        until("a service has died", async || {
            dead = fleet.services.iter_mut().position(|service| !service.is_running());
            dead.is_some()
        })
        .await;
        let dead = dead.expect("a service has died");
        fleet.services[dead].start_stand_in();
        for service in &fleet.deployment.services {
            fleet.set_faults(service.address, &ServiceFaults::default()).await;
        }
        for daemon in 0..fleet.daemons.len() {
            let resent = charge.send(fleet.caller_address(daemon)).await.expect("an answer");
            assert_eq!(resent.json()["error"]["ran"], "unknown", "{}", resent.body);
        }
        let ran: u64 = fleet.runs().await.iter().map(|runs| runs.runs_of_id(&id)).sum();
        assert_eq!(ran, 0, "{id} ran again");
    }
}

/// The record of a charge is lost with what the store had acknowledged since the copy.
#[async_std::test]
async fn a_charge_whose_record_a_restore_has_lost_is_not_run_again() {
    let fleet = Fleet::start("restored-store").await;
    let before = fleet.revision().await;
    let charge = charge(&fleet.keys[0], "restored");
    let first = charge.send(fleet.caller_address(0)).await.expect("the daemon answers");
    assert_eq!(first.status, 200, "{}", first.body);
    fleet.restore(before).await;
    let start = Instant::now();
    while start.elapsed() < RESENT_FOR {
        for daemon in 0..fleet.daemons.len() {
            let resent = charge.send(fleet.caller_address(daemon)).await.expect("an answer");
            assert_ne!(resent.status, 200, "{}", resent.body);
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    let ran: u64 = fleet.runs().await.iter().map(|runs| runs.runs_of_id("restored")).sum();
    assert_eq!(ran, 1);
}

/// Kills daemons at random times and loses answers of the store and the services.
async fn inject_faults(fleet: &mut Fleet) {
    let mut random = SEED;
    let start = Instant::now();
    while start.elapsed() < FAULT_PERIOD {
        let lossy = PlatformFaults {
            answer_delay_ms: STORE_DELAY_MS,
            lose_answers: LostWrites::Next(1),
            lost_kind: Some("ledger".to_owned()),
            ..PlatformFaults::default()
        };
        fleet.set_faults(fleet.deployment.platform, &lossy).await;
        let losing = ServiceFaults {
            answer_delay_ms: SERVICE_DELAY_MS,
            drop_answers: 1,
            ..ServiceFaults::default()
        };
        let worker = next(&mut random) % fleet.services.len();
        fleet.set_faults(fleet.deployment.services[worker].address, &losing).await;
        let daemon = next(&mut random) % fleet.daemons.len();
        task::sleep(Duration::from_millis(next(&mut random) as u64 % 150)).await;
        fleet.daemons[daemon].kill();
        task::sleep(Duration::from_millis(next(&mut random) as u64 % 150)).await;
        fleet.daemons[daemon].start();
    }
    let refusing = PlatformFaults { calls: CallFault::Refuse, ..PlatformFaults::default() };
    fleet.set_faults(fleet.deployment.platform, &refusing).await;
    task::sleep(STORE_REFUSES_FOR).await;
    fleet.set_faults(fleet.deployment.platform, &PlatformFaults::default()).await;
    for service in &fleet.deployment.services {
        fleet.set_faults(service.address, &ServiceFaults::default()).await;
    }
}

fn keep_charging(fleet: &Fleet, caller: usize, stop: &Arc<AtomicBool>) -> JoinHandle<Vec<Charge>> {
    let daemons: Vec<SocketAddr> =
        (0..fleet.daemons.len()).map(|daemon| fleet.caller_address(daemon)).collect();
    let (key, stop) = (fleet.keys[0].clone(), stop.clone());
    task::spawn(async move {
        let mut charges = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let id = format!("{caller}-{}", charges.len());
            let call = charge(&key, &id);
            let address = |attempt: usize| daemons[(caller + charges.len() + attempt) % 6];
            let (first, second) = futures_util::join!(call.send(address(0)), call.send(address(1)));
            let mut attempts = vec![attempt(first), attempt(second)];
            while attempts.len() < ATTEMPTS && !attempts.contains(&Attempt::Answered) {
                attempts.push(attempt(call.send(address(attempts.len())).await));
            }
            charges.push(Charge { id, attempts });
        }
        charges
    })
}

fn charge(key: &str, id: &str) -> Call {
    Call::post("/charges", key, &json!({ "id": id })).header("idempotency-key", id)
}

fn attempt(answer: Result<Answer, CallError>) -> Attempt {
    let Ok(answer) = answer else { return Attempt::Cut };
    if answer.status == 200 {
        return Attempt::Answered;
    }
    let error = &answer.json()["error"];
    let text = |field: &str| error[field].as_str().unwrap_or_default().to_owned();
    match error["ran"].as_str() {
        Some("not_run") => Attempt::NotRun(text("request_id"), text("code")),
        _ => Attempt::Unknown,
    }
}

fn position(attempt: &Attempt) -> usize {
    match attempt {
        Attempt::Answered => 0,
        Attempt::NotRun(..) => 1,
        Attempt::Unknown => 2,
        Attempt::Cut => 3,
    }
}

/// Returns the next pseudo-random number (xorshift).
fn next(state: &mut u64) -> usize {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    (*state >> 16) as usize
}
