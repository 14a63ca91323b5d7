//! A stalled store, bursts of callers and pauses of daemons get no target or peer marked as down.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::join_all;
use lycheeford_fakes::{Call, CallFault, PlatformFaults};

use crate::support::{Fleet, until};

const MODEL: &str = "model-001";
/// Connections that callers open concurrently to each daemon, repeatedly.
const BURST_CALLERS: usize = 60;
const FAULT_PERIOD: Duration = Duration::from_secs(5);
/// Longer than any silence after which a target is marked as down.
const PAUSE: Duration = Duration::from_secs(4);

/// Longer than the silence after which a peer counts as unreachable.
const PEER_PAUSE: Duration = Duration::from_secs(2);

/// What a daemon logs when it marks a target as down.
const VERDICT_LOGGED: &str = "\"verdict\":\"Down\"";

#[async_std::test]
async fn a_stalled_store_and_reconnecting_callers_get_nothing_marked_down() {
    let fleet = Fleet::start("health-load").await;
    until("all targets and peers are healthy", async || is_all_healthy(&fleet).await).await;
    let stalled = PlatformFaults { calls: CallFault::Stall, ..PlatformFaults::default() };
    fleet.set_faults(fleet.deployment.platform, &stalled).await;
    let stop = Arc::new(AtomicBool::new(false));
    let bursts: Vec<_> = (0..fleet.daemons.len())
        .map(|daemon| {
            let address = fleet.caller_address(daemon);
            let (key, stop) = (fleet.keys[0].clone(), stop.clone());
            task::spawn(async move {
                let call = Call::completion(&key, MODEL, "p", 1);
                while !stop.load(Ordering::SeqCst) {
                    join_all((0..BURST_CALLERS).map(|_| call.send(address))).await;
                }
            })
        })
        .collect();
    let start = Instant::now();
    let mut checks = 0;
    while start.elapsed() < FAULT_PERIOD {
        assert!(is_all_healthy(&fleet).await, "an engine or peer was marked as down");
        checks += 1;
        task::sleep(Duration::from_millis(50)).await;
    }
    stop.store(true, Ordering::SeqCst);
    fleet.set_faults(fleet.deployment.platform, &PlatformFaults::default()).await;
    for burst in bursts {
        burst.await;
    }
    println!("checked every daemon {checks} times");
    assert_eq!(down_verdicts(&fleet), Vec::<String>::new());
}

#[async_std::test]
async fn resumed_daemons_mark_nothing_down() {
    let fleet = Fleet::start("health-pause").await;
    until("all targets and peers are healthy", async || is_all_healthy(&fleet).await).await;
    let daemons = fleet.daemons.len();
    // All are paused, since any one of them may be the daemon that probes the targets.
    for daemon in &fleet.daemons {
        daemon.pause();
    }
    task::sleep(PAUSE).await;
    for daemon in &fleet.daemons {
        daemon.resume();
    }
    for daemon in 0..daemons {
        fleet.await_daemon(daemon).await;
    }
    task::sleep(PAUSE).await;
    assert_eq!(down_verdicts(&fleet), Vec::<String>::new());
    assert!(is_all_healthy(&fleet).await, "an engine or peer was marked as down");
}

#[async_std::test]
async fn a_resumed_daemon_counts_no_peer_as_unreachable() {
    let fleet = Fleet::start("health-peers").await;
    for daemon in 0..fleet.daemons.len() {
        fleet.daemons[daemon].pause();
        task::sleep(PEER_PAUSE).await;
        fleet.daemons[daemon].resume();
        let hosts = fleet.operator(daemon).hosts().await.expect("the daemon answers");
        let lost: Vec<_> = hosts.iter().filter(|host| !host.reachable).collect();
        assert!(lost.is_empty(), "daemon {daemon} lost {} peers after its pause", lost.len());
    }
}

#[async_std::test]
async fn a_silent_engine_is_down_until_it_answers() {
    let fleet = Fleet::start("health-silent").await;
    until("all targets and peers are healthy", async || is_all_healthy(&fleet).await).await;
    fleet.engines[0].pause();
    until("the engine is marked as down", async || !down_verdicts(&fleet).is_empty()).await;
    until("the daemons list the engine as unhealthy", async || !is_all_healthy(&fleet).await).await;
    fleet.engines[0].resume();
    until("all targets and peers are healthy again", async || is_all_healthy(&fleet).await).await;
    let name = &fleet.deployment.engines[0].name;
    let verdicts = down_verdicts(&fleet);
    assert!(verdicts.iter().all(|line| line.contains(name.as_str())), "{verdicts:?}");
}

/// Returns whether every daemon lists all daemons as reachable and all engines as healthy.
async fn is_all_healthy(fleet: &Fleet) -> bool {
    for daemon in 0..fleet.daemons.len() {
        let operator = fleet.operator(daemon);
        let hosts = operator.hosts().await.unwrap_or_default();
        let targets = operator.targets().await.unwrap_or_default();
        let engines = targets.iter().filter(|target| target.memory_bytes > 0);
        if hosts.is_empty()
            || !hosts.iter().all(|host| host.reachable)
            || engines.filter(|target| target.healthy).count() != fleet.engines.len()
        {
            return false;
        }
    }
    true
}

/// Returns the log lines in which daemons marked a target as down.
fn down_verdicts(fleet: &Fleet) -> Vec<String> {
    let log = |daemon| fleet.log_of_daemon(daemon);
    let lines = (0..fleet.daemons.len())
        .flat_map(|daemon| log(daemon).lines().map(str::to_owned).collect::<Vec<_>>());
    lines.filter(|line| line.contains(VERDICT_LOGGED)).collect()
}
