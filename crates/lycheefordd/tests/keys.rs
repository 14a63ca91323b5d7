//! Withdrawn keys stop working everywhere, also with daemons that are cut off and watches that are
//! silent.

mod support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use lycheeford_fakes::{Call, PlatformFaults, WatchFault};
use lycheeford_operator::WithdrawRequest;
use lycheeford_policy::Name;

use crate::support::{Fleet, until};

/// The time within which an accepted change is in force everywhere.
const IN_FORCE_MAX: Duration = Duration::from_secs(7);

/// Returns the code with which a daemon refuses a key in a call for an unknown model, which reaches
/// no target.
async fn key_code(fleet: &Fleet, daemon: usize, key: &str) -> String {
    let call = Call::completion(key, "model-999", "p", 1);
    let answer = call.send(fleet.caller_address(daemon)).await;
    answer.expect("a daemon answers").refusal_code()
}

/// The key was accepted, and the model is unknown.
const GOOD: &str = "not_found";
const WITHDRAWN: &str = "bad_key";
const STALE: &str = "configuration_stale";

async fn withdraw(fleet: &Fleet, daemon: usize, key: &str) {
    let id = key.split('_').nth(1).expect("a key has an id");
    let request = WithdrawRequest { id: Name::from(id) };
    fleet.operator(daemon).withdraw_key(&request).await.expect("the key is withdrawn");
}

/// Tokens of a stream that lasts about ten seconds.
const LONG_STREAM_TOKENS: u64 = 5_000;

#[async_std::test]
async fn a_withdrawn_key_ends_its_open_streams() {
    let fleet = Fleet::start("open-streams").await;
    let key = fleet.keys[0].clone();
    let events = Arc::new(Mutex::new(Vec::<String>::new()));
    let stream = {
        let (events, address) = (events.clone(), fleet.caller_address(1));
        let call = Call::completion(&key, "model-001", "p", LONG_STREAM_TOKENS);
        task::spawn(async move {
            call.stream_lines(address, |line| events.lock().unwrap().push(line.to_owned())).await
        })
    };
    until("the stream has begun", async || events.lock().unwrap().len() > 10).await;
    withdraw(&fleet, 0, &key).await;
    let ended = stream.await;
    let events = events.lock().unwrap();
    println!("{} lines before the end", events.len());
    assert!(ended.is_err(), "the stream ended like a complete one");
    assert!(events.iter().any(|line| line.contains("\"bad_key\"")), "{:?}", events.last());
    assert!((events.len() as u64) < LONG_STREAM_TOKENS, "the stream wasn't ended");
}

/// Waits until each daemon refuses the key with the code `wanted`, within the guaranteed time.
async fn assert_soon(fleet: &Fleet, daemons: &[usize], key: &str, wanted: &str, what: &str) {
    let start = Instant::now();
    for daemon in daemons {
        while key_code(fleet, *daemon, key).await != wanted {
            assert!(start.elapsed() < IN_FORCE_MAX, "{what}: daemon {daemon} isn't {wanted}");
            task::sleep(Duration::from_millis(5)).await;
        }
    }
    println!("{what}: {wanted} everywhere after {} ms", start.elapsed().as_millis());
}

#[async_std::test]
async fn a_withdrawn_key_stops_working() {
    struct Case {
        name: &'static str,
        faults: PlatformFaults,
    }
    let cases = [
        Case { name: "no fault", faults: PlatformFaults::default() },
        Case {
            name: "silent watches",
            faults: PlatformFaults { watches: WatchFault::Silent, ..PlatformFaults::default() },
        },
        Case {
            name: "slow store",
            faults: PlatformFaults { answer_delay_ms: 300, ..PlatformFaults::default() },
        },
    ];
    let fleet = Fleet::start("withdrawn-key").await;
    let all: Vec<usize> = (0..fleet.daemons.len()).collect();
    for (index, case) in cases.into_iter().enumerate() {
        let key = &fleet.keys[index];
        for daemon in &all {
            assert_eq!(key_code(&fleet, *daemon, key).await, GOOD, "{}", case.name);
        }
        fleet.set_faults(fleet.deployment.platform, &case.faults).await;
        withdraw(&fleet, index, key).await;
        assert_soon(&fleet, &all, key, WITHDRAWN, case.name).await;
        fleet.set_faults(fleet.deployment.platform, &PlatformFaults::default()).await;
    }
    let untouched = &fleet.keys[4];
    assert_soon(&fleet, &all, untouched, GOOD, "another key").await;
}

#[async_std::test]
async fn an_isolated_daemon_refuses_keys_until_it_is_reconnected() {
    let fleet = Fleet::start("cut-off").await;
    let (key, isolated) = (&fleet.keys[0], 4);
    let others: Vec<usize> = (0..fleet.daemons.len()).filter(|other| *other != isolated).collect();
    assert_eq!(key_code(&fleet, isolated, key).await, GOOD);
    fleet.isolate(isolated);
    withdraw(&fleet, 0, key).await;
    assert_soon(&fleet, &[isolated], key, STALE, "cut off").await;
    assert_soon(&fleet, &others, key, WITHDRAWN, "the others").await;
    let untouched = &fleet.keys[1];
    assert_soon(&fleet, &others, untouched, GOOD, "another key at the others").await;
    fleet.reconnect(isolated);
    until("the daemon is reconnected", async || {
        key_code(&fleet, isolated, untouched).await == GOOD
    })
    .await;
    assert_eq!(key_code(&fleet, isolated, key).await, WITHDRAWN);
}

#[async_std::test]
async fn a_resumed_daemon_accepts_no_withdrawn_key() {
    let fleet = Fleet::start("paused").await;
    let (key, paused) = (&fleet.keys[0], 3);
    assert_eq!(key_code(&fleet, paused, key).await, GOOD);
    fleet.daemons[paused].pause();
    withdraw(&fleet, 0, key).await;
    task::sleep(IN_FORCE_MAX).await;
    fleet.daemons[paused].resume();
    let first = key_code(&fleet, paused, key).await;
    assert!(first == WITHDRAWN || first == STALE, "the first answer after the pause is {first}");
    assert_soon(&fleet, &[paused], key, WITHDRAWN, "after the pause").await;
}
