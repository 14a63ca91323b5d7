//! At-most-once requests (charges) run at most once while daemons are cut off and paused, and a
//! charge that is reported as not run didn't run.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use lycheeford_fakes::{
    Call, CallError, CallFault, LostWrites, PlatformFaults, ServiceFaults, ServiceRuns,
};
use serde_json::json;

use crate::support::Fleet;

const CALLERS: usize = 12;
const ATTEMPTS_MAX: usize = 4;

/// What the caller learnt of one charge.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Charge {
    id: String,
    /// An attempt was answered.
    answered: bool,
    /// Every attempt was refused as not run, or never sent.
    never_run: bool,
}

/// Sends a charge, and resends it through other daemons until it is answered, `attempts` times at
/// most.
async fn charge(
    id: String,
    key: &str,
    daemons: &[SocketAddr],
    first: usize,
    attempts: usize,
) -> Charge {
    let call = Call::post("/charges", key, &json!({ "id": id })).header("idempotency-key", &id);
    let call = Call { timeout: Duration::from_secs(4), ..call };
    let mut charge = Charge { id, answered: false, never_run: true };
    for attempt in 0..attempts {
        match call.send(daemons[(first + attempt) % daemons.len()]).await {
            Ok(answer) if answer.status == 200 => {
                charge.answered = true;
                charge.never_run = false;
                return charge;
            }
            Ok(answer) => charge.never_run &= answer.json()["error"]["ran"] == "not_run",
            Err(CallError::Connect { .. }) => {}
            Err(_) => charge.never_run = false,
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    charge
}

async fn keep_charging(
    caller: usize,
    key: String,
    daemons: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<Charge> {
    let mut charges = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let id = format!("charge-{caller}-{}", charges.len());
        // Every other charge isn't resent, so that its only refusal has to be true.
        let attempts = if charges.len().is_multiple_of(2) { 1 } else { ATTEMPTS_MAX };
        let first = caller + charges.len();
        charges.push(charge(id, &key, &daemons, first, attempts).await);
    }
    charges
}

fn runs_of(runs: &[ServiceRuns], id: &str) -> u64 {
    runs.iter().map(|runs| runs.runs_of_id(id)).sum()
}

#[async_std::test]
async fn no_charge_runs_twice_during_cuts_and_pauses() {
    let mut fleet = Fleet::start("at-most-once-cuts").await;
    let daemons: Vec<SocketAddr> =
        (0..fleet.daemons.len()).map(|daemon| fleet.caller_address(daemon)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<JoinHandle<Vec<Charge>>> = (0..CALLERS)
        .map(|caller| {
            let key = fleet.keys[0].clone();
            task::spawn(keep_charging(caller, key, daemons.clone(), stop.clone()))
        })
        .collect();

    let platform = fleet.deployment.platform;
    let services: Vec<SocketAddr> =
        fleet.deployment.services.iter().map(|worker| worker.address).collect();
    let lost = |lose_answers, lose_requests| PlatformFaults {
        lose_answers,
        lose_requests,
        lost_kind: Some("ledger".to_owned()),
        ..PlatformFaults::default()
    };
    for round in 0..fleet.daemons.len() {
        let store = lost(LostWrites::Next(3), LostWrites::Next(2));
        fleet.set_faults(platform, &store).await;
        let service = ServiceFaults { drop_answers: 2, truncate_answers: 2, ..Default::default() };
        fleet.set_faults(services[round % 2], &service).await;
        task::sleep(Duration::from_millis(300)).await;
        fleet.daemons[round].kill();
        task::sleep(Duration::from_millis(300)).await;
        fleet.daemons[round].start();
        fleet.await_daemon(round).await;
        fleet.isolate(round);
        task::sleep(Duration::from_millis(700)).await;
        fleet.reconnect(round);
        let slow = ServiceFaults { answer_delay_ms: 200, ..Default::default() };
        fleet.set_faults(services[(round + 1) % 2], &slow).await;
        task::sleep(Duration::from_millis(300)).await;
        fleet.daemons[round].pause();
        task::sleep(Duration::from_millis(700)).await;
        fleet.daemons[round].resume();
        let calls = if round % 2 == 0 { CallFault::Refuse } else { CallFault::Reset };
        fleet.set_faults(platform, &PlatformFaults { calls, ..Default::default() }).await;
        task::sleep(Duration::from_millis(700)).await;
    }
    fleet.set_faults(platform, &PlatformFaults::default()).await;
    stop.store(true, Ordering::SeqCst);
    let mut charges = Vec::new();
    for caller in callers {
        charges.extend(caller.await);
    }

    // Requests that were sent before a pause may still run.
    task::sleep(Duration::from_secs(1)).await;
    let runs = fleet.runs().await;
    let answered = charges.iter().filter(|charge| charge.answered).count();
    let never_run = charges.iter().filter(|charge| charge.never_run).count();
    println!("{} charges, {answered} answered, {never_run} refused as not run", charges.len());
    for charge in &charges {
        let ran = runs_of(&runs, &charge.id);
        assert!(ran <= 1, "{charge:?} ran {ran} times");
        assert!(!charge.answered || ran == 1, "{charge:?} was answered and didn't run");
        assert!(!charge.never_run || ran == 0, "{charge:?} was refused as not run and ran");
    }
    assert!(answered > 0 && never_run > 0);
}
