//! A stopping daemon answers every caller before its grace ends.

mod support;

use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task::{self, JoinHandle};
use lycheeford_fakes::{Call, EngineFaults, ServiceFaults, WeightStoreFaults};
use serde_json::{Value, json};

use crate::support::{EngineLinks, Fleet, WAIT_TIMEOUT, until};

const STOP_GRACE_MS: u64 = 8_000;
/// Far beyond the grace, for deadlines, loads and delays.
const LONG_MS: u64 = 60_000;
/// Time for requests to reach the state in which they wait.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Times after the signal at which the daemon drains and still accepts callers.
const INTO_DRAIN: Duration = Duration::from_secs(1);
const LATE_IN_DRAIN: Duration = Duration::from_secs(3);
/// A deadline that passes before the last answers of the grace, also of a request late in it.
const SHORT_MS: u64 = 1_000;

/// A model that is ready at an engine that stalls.
const READY_MODEL: &str = "model-001";
/// A model that loads far more slowly than declared.
const LOADING_MODEL: &str = "model-003";
/// A model that is declared with a load far longer than the grace.
const SLOW_MODEL: &str = "model-005";

/// When a caller sends its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    BeforeStop,
    WhileDraining,
    LateWhileDraining,
}

struct Case {
    name: &'static str,
    sent: Sent,
    call: Call,
    status: u16,
    ran: &'static str,
}

/// What a caller received, and how long after the signal.
#[derive(Debug)]
struct CallerOutcome {
    status: u16,
    error: Value,
    after: Duration,
}

#[async_std::test]
async fn every_request_is_answered_before_the_end_of_the_grace() {
    let mut fleet = start().await;
    let key = fleet.keys[0].clone();
    let completion = |model: &str, stream: bool| {
        let body = json!({ "model": model, "prompt": "p", "max_tokens": 40, "stream": stream });
        Call::post("/v1/completions", &key, &body)
    };
    let service = |path: &str, sent: Sent| {
        let id = format!("stopped {path} {sent:?}");
        Call::post(path, &key, &json!({ "id": id })).header("idempotency-key", &id)
    };
    let case = |name, sent, call: Call, status, ran| {
        let call = call.header("x-deadline-ms", &LONG_MS.to_string());
        Case { name, sent, call, status, ran }
    };
    let waits = "waits for a load";
    let too_late = ["waits for a load that ends too late", "taken while draining, for such a load"];
    let (before, late) = (Sent::BeforeStop, Sent::LateWhileDraining);
    let ends_in_time = Case {
        name: "late call with a short deadline",
        sent: late,
        call: service("/notes", late).header("x-deadline-ms", &SHORT_MS.to_string()),
        status: 502,
        ran: "unknown",
    };
    let cases = [
        case(waits, Sent::BeforeStop, completion(LOADING_MODEL, true), 503, "not_run"),
        case("streams", Sent::BeforeStop, completion(READY_MODEL, true), 200, "ran"),
        case("runs", Sent::BeforeStop, completion(READY_MODEL, false), 502, "unknown"),
        case("idempotent call", before, service("/notes", before), 502, "unknown"),
        case("at-most-once call", before, service("/charges", before), 502, "unknown"),
        case(too_late[0], Sent::BeforeStop, completion(SLOW_MODEL, true), 503, "not_run"),
        case(too_late[1], Sent::WhileDraining, completion(SLOW_MODEL, true), 503, "not_run"),
        case("late stream", late, completion(READY_MODEL, true), 503, "not_run"),
        case("late completion", late, completion(READY_MODEL, false), 503, "not_run"),
        case("late idempotent call", late, service("/notes", late), 503, "not_run"),
        case("late at-most-once call", late, service("/charges", late), 503, "not_run"),
        ends_in_time,
    ];
    let address = fleet.caller_address(0);
    let start_callers = |sent: Sent, signal: Instant| -> Vec<(usize, JoinHandle<CallerOutcome>)> {
        let due = cases.iter().enumerate().filter(|(_, case)| case.sent == sent);
        due.map(|(index, case)| (index, task::spawn(call(case.call.clone(), address, signal))))
            .collect()
    };

    let signal = Instant::now() + SETTLE_TIME;
    let mut callers = start_callers(Sent::BeforeStop, signal);
    let half_sent = task::spawn(send_half_a_body(address));
    task::sleep(signal.saturating_duration_since(Instant::now())).await;
    fleet.daemons[0].terminate();
    task::sleep(INTO_DRAIN).await;
    callers.extend(start_callers(Sent::WhileDraining, signal));
    task::sleep(LATE_IN_DRAIN.saturating_sub(signal.elapsed())).await;
    callers.extend(start_callers(Sent::LateWhileDraining, signal));

    // The supervisor of the daemon kills it after the grace.
    let grace = Duration::from_millis(STOP_GRACE_MS).saturating_sub(signal.elapsed());
    let status = fleet.daemons[0].ended(grace).await;
    println!("{status:?} after {:?}", signal.elapsed());
    fleet.daemons[0].kill();

    let mut waited = Vec::new();
    let mut faults = Vec::new();
    for (index, caller) in callers {
        let case = &cases[index];
        let outcome = caller.await;
        println!("{}: {outcome:?}", case.name);
        if (outcome.status, outcome.error["ran"].as_str()) != (case.status, Some(case.ran)) {
            faults.push(format!("{}: {outcome:?}", case.name));
        }
        if case.ran == "not_run" && outcome.error["retry_after_ms"].as_u64().is_none() {
            faults.push(format!("{}: no retry_after_ms: {outcome:?}", case.name));
        }
        waited.push((case.name, outcome.after));
    }
    let half_sent = half_sent.await;
    println!("sent half a body: {half_sent:?}");
    if !half_sent.starts_with("HTTP/1.1 503 ") || !half_sent.contains("\"ran\":\"not_run\"") {
        faults.push(format!("sent half a body: {half_sent:?}"));
    }
    if !status.is_some_and(|status| status.success()) {
        faults.push(format!("the daemon didn't end within its grace: {status:?}"));
    }
    let after = |name| waited.iter().find(|(of, _)| *of == name).map(|(_, after)| *after);
    for name in too_late {
        if after(name) >= after(waits) {
            faults.push(format!("{name}: not refused at once"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[async_std::test]
async fn an_unfinished_operator_call_doesnt_outlast_the_grace() {
    let mut fleet = Fleet::start_with("stop-operator", EngineLinks::Direct, |deployment| {
        deployment.stop_grace_ms = Some(STOP_GRACE_MS);
    })
    .await;
    let half_sent = TcpStream::connect(fleet.deployment.daemons[0].operator).await.unwrap();
    task::sleep(SETTLE_TIME).await;
    fleet.daemons[0].terminate();
    let status = fleet.daemons[0].ended(Duration::from_millis(STOP_GRACE_MS)).await;
    drop(half_sent);
    assert!(
        status.is_some_and(|status| status.success()),
        "the daemon didn't end within its grace"
    );
}

/// Starts a fleet in which no load or answer completes within the grace of the first daemon.
async fn start() -> Fleet {
    let fleet = Fleet::start_with("stop-grace", EngineLinks::Direct, |deployment| {
        deployment.stop_grace_ms = Some(STOP_GRACE_MS);
        for service in &mut deployment.base.services {
            service.timeout_ms = Some(LONG_MS);
        }
        let models = &mut deployment.base.models;
        let slow = models.iter_mut().find(|model| model.name.as_str() == SLOW_MODEL);
        slow.expect("the model is declared").load_remote_ms = Some(LONG_MS / 2);
    })
    .await;
    let warm = Call::completion(&fleet.keys[0], READY_MODEL, "warm", 1);
    until("the model is ready", async || {
        warm.send(fleet.caller_address(0)).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    // The calls before the stop are short.
    for path in ["/notes", "/charges"] {
        for number in 0..3 {
            let id = format!("before {path} {number}");
            let call = Call::post(path, &fleet.keys[0], &json!({ "id": id }));
            let answer = call.header("idempotency-key", &id).send(fleet.caller_address(0)).await;
            assert_eq!(answer.expect("an answer").status, 200, "{path}");
        }
    }
    let silent = EngineFaults { silent_after_tokens: Some(5), ..EngineFaults::default() };
    for engine in &fleet.deployment.engines {
        fleet.set_faults(engine.address, &silent).await;
    }
    let delayed = ServiceFaults { answer_delay_ms: LONG_MS, ..ServiceFaults::default() };
    for service in &fleet.deployment.services {
        fleet.set_faults(service.address, &delayed).await;
    }
    let slow = WeightStoreFaults { slowdown: 1_000 };
    fleet.set_faults(fleet.deployment.weight_store, &slow).await;
    fleet
}

async fn call(call: Call, address: std::net::SocketAddr, signal: Instant) -> CallerOutcome {
    let mut error = Value::Null;
    let answer = call
        .stream_lines(address, |line| {
            let json = line.strip_prefix("data: ").unwrap_or(line);
            let json: Value = serde_json::from_str(json).unwrap_or_default();
            if !json["error"].is_null() {
                error = json["error"].clone();
            }
        })
        .await;
    let after = signal.elapsed();
    // A stream that ends early closes the connection after its error event.
    let status = match answer {
        Ok(answer) => answer.status,
        Err(_) if error["ran"] == "ran" => 200,
        Err(failure) => {
            error = failure.to_string().into();
            0
        }
    };
    CallerOutcome { status, error, after }
}

/// Sends a request with an incomplete body and returns everything that it receives.
async fn send_half_a_body(address: std::net::SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the daemon listens");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.expect("the daemon reads");
    let mut answer = Vec::new();
    // Bytes received before a reset count.
    let _ = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}
