//! Replicas of models and memory of engines stay within their limits while daemons and engines
//! fail.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use async_std::task::{self, JoinHandle};
use lycheeford_fakes::{
    Call, EngineAudit, WeightStoreFaults, expected_text, max_concurrent_replicas,
};

use crate::support::{EngineLinks, Fleet, until};

const MODELS: usize = 8;
const TOKENS: u64 = 6;
const CALLERS: usize = 10;

/// Holds a few models, so that all of them together don't fit.
const ENGINE_MEMORY_BYTES: u64 = 40_000_000_000;

/// Longer than any time after which other daemons take over the work of a paused one.
const PAUSE: Duration = Duration::from_secs(4);

#[derive(Debug, Default)]
struct Outcomes {
    whole: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
}

/// Requests one model after the other, so that models are loaded and unloaded all the time.
async fn keep_calling(
    caller: usize,
    daemons: Vec<std::net::SocketAddr>,
    key: String,
    stop: Arc<AtomicBool>,
    outcomes: Arc<Outcomes>,
) {
    let mut turn = caller;
    while !stop.load(Ordering::SeqCst) {
        turn += 1;
        let model = format!("model-{:03}", (turn * 5 + caller) % MODELS);
        let prompt = format!("caller {caller} turn {turn}");
        let call = Call {
            timeout: Duration::from_secs(8),
            ..Call::completion(&key, &model, &prompt, TOKENS).header("x-deadline-ms", "4000")
        };
        match call.send(daemons[(turn + caller) % daemons.len()]).await {
            Ok(answer) if answer.status == 200 => {
                if let Some(text) = answer.streamed_text() {
                    assert_eq!(text, expected_text(&model, &prompt, TOKENS));
                    outcomes.whole.fetch_add(1, Ordering::SeqCst);
                } else {
                    outcomes.broken.fetch_add(1, Ordering::SeqCst);
                }
            }
            Ok(_) => drop(outcomes.refused.fetch_add(1, Ordering::SeqCst)),
            Err(_) => drop(outcomes.broken.fetch_add(1, Ordering::SeqCst)),
        }
        task::sleep(Duration::from_millis(20)).await;
    }
}

/// Kills an engine and restarts it; adds its audit up to the kill to `past_audits`.
async fn kill_engine(fleet: &mut Fleet, engine: usize, past_audits: &mut Vec<EngineAudit>) {
    let mut audit = fleet.audits().await.swap_remove(engine);
    fleet.engines[engine].kill();
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    for held in audit.held.iter_mut().filter(|held| held.until_us.is_none()) {
        held.until_us = Some(now.as_micros() as u64);
    }
    past_audits.push(audit);
    task::sleep(Duration::from_millis(300)).await;
    fleet.engines[engine].start_stand_in();
}

fn assert_within_limits(audits: &[EngineAudit], fleet: &Fleet) {
    for audit in audits {
        let (used, total) = (audit.memory_used_bytes_max, audit.memory_total_bytes);
        assert!(used <= total, "{used} bytes of {total} were in use");
    }
    for model in &fleet.deployment.base.models {
        let (most, allowed) =
            (max_concurrent_replicas(audits, &model.name), model.replicas_max.unwrap());
        assert!(most <= allowed as usize, "{} had {most} of {allowed} replicas", model.name);
    }
}

#[async_std::test]
async fn limits_hold_while_lease_holders_pause_and_engines_die() {
    let mut fleet = Fleet::start_with("replicas", EngineLinks::Direct, |deployment| {
        for engine in &mut deployment.engines {
            engine.memory_bytes = ENGINE_MEMORY_BYTES;
        }
    })
    .await;
    let (stop, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::new(Outcomes::default()));
    let daemons: Vec<_> =
        (0..fleet.daemons.len()).map(|daemon| fleet.caller_address(daemon)).collect();
    let callers: Vec<JoinHandle<()>> = (0..CALLERS)
        .map(|caller| {
            let key = fleet.keys[0].clone();
            task::spawn(keep_calling(caller, daemons.clone(), key, stop.clone(), outcomes.clone()))
        })
        .collect();
    let mut past_audits = Vec::new();
    let store = fleet.deployment.weight_store;

    // Each daemon is paused in turn, so that the coordinator is, too, and resumes after another
    // daemon has taken over.
    for round in 0..fleet.daemons.len() {
        task::sleep(Duration::from_millis(500)).await;
        fleet.daemons[round].pause();
        let slowdown = 1 + (round as u64 % 2) * 4;
        fleet.set_faults(store, &WeightStoreFaults { slowdown }).await;
        task::sleep(PAUSE / 2).await;
        kill_engine(&mut fleet, round % 4, &mut past_audits).await;
        task::sleep(PAUSE / 2).await;
        fleet.daemons[round].resume();
    }
    for daemon in [1, 4] {
        fleet.daemons[daemon].kill();
        task::sleep(Duration::from_millis(500)).await;
        fleet.daemons[daemon].start();
        fleet.await_daemon(daemon).await;
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await;
    }

    let audits = [past_audits, fleet.audits().await].concat();
    let loads: usize = audits.iter().map(|audit| audit.held.len()).sum();
    println!("{loads} loads, {outcomes:?}");
    assert_within_limits(&audits, &fleet);
    assert!(outcomes.whole.load(Ordering::SeqCst) > 0);

    fleet.set_faults(store, &WeightStoreFaults::default()).await;
    for model in 0..MODELS {
        let name = format!("model-{model:03}");
        let call = Call::completion(&fleet.keys[0], &name, "after", TOKENS);
        until(&format!("{name} is served again"), async || {
            let answer = call.send(fleet.caller_address(model % 6)).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }
    assert_within_limits(&fleet.audits().await, &fleet);
}
