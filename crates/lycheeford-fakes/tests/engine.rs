//! Tests of the fake engine's protocol and injected faults.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use http_types::{Body, Method, Request, Url};
use lycheeford_fakes::{
    EngineAudit, EngineFaults, EngineOptions, FakeEngine, FakeWeightStore, FenceCheck,
    MemoryPeriod, WeightStoreOptions, expected_text, max_concurrent_replicas,
};
use serde_json::{Value, json};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const WAIT_MAX: Duration = Duration::from_secs(20);

async fn send(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Value,
) -> http_types::Result<(u16, String)> {
    let url = Url::parse(&format!("http://{address}{path}"))?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(Body::from_json(&body)?);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    let stream = TcpStream::connect(address).await?;
    let mut response = async_h1::connect(stream, request).await?;
    let text = response.body_string().await?;
    Ok((u16::from(response.status()), text))
}

async fn order(engine: &FakeEngine, id: &str, fence: u64, action: &str, bytes: u64) -> u16 {
    let order = json!({
        "order_id": id, "fence": fence, "action": action, "name": "m", "base": null,
        "memory_bytes": bytes,
    });
    send(engine.address(), "/orders", &[], order).await.unwrap().0
}

fn outcome(engine: &FakeEngine, id: &str) -> String {
    let status = engine.status();
    let orders = status["orders"].as_array().unwrap();
    let order = orders.iter().find(|order| order["order_id"] == id).unwrap();
    order["outcome"].as_str().unwrap().to_owned()
}

async fn wait_until_done(engine: &FakeEngine, id: &str) {
    let start = Instant::now();
    while outcome(engine, id) != "done" {
        assert!(start.elapsed() < WAIT_MAX, "{id} is {}", outcome(engine, id));
        task::sleep(Duration::from_millis(2)).await;
    }
}

fn streamed_text(events: &str) -> String {
    let data = events.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    data.filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

#[async_std::test]
async fn orders_keep_to_memory_and_fences() {
    struct Case {
        name: &'static str,
        fence_check: FenceCheck,
        trusting: bool,
        fence: u64,
        bytes: u64,
        status: u16,
    }
    let case = |name, fence_check, trusting, fence, bytes, status| Case {
        name,
        fence_check,
        trusting,
        fence,
        bytes,
        status,
    };
    let cases = [
        case("fits", FenceCheck::Refuse, false, 9, 100, 202),
        case("too large", FenceCheck::Refuse, false, 9, 101, 507),
        case("too large, trusting", FenceCheck::Refuse, true, 9, 101, 202),
        case("old fence, checked", FenceCheck::Refuse, false, 4, 100, 409),
        case("old fence, ignored", FenceCheck::Ignore, false, 4, 100, 202),
    ];
    for case in cases {
        let options = EngineOptions {
            memory_bytes: 100,
            fence_check: case.fence_check,
            trusting: case.trusting,
            ..EngineOptions::default()
        };
        let engine = FakeEngine::start(ANY_PORT, options).await.unwrap();
        order(&engine, "first", 5, "unload", 0).await;
        let status = order(&engine, "second", case.fence, "load", case.bytes).await;
        assert_eq!(status, case.status, "{}", case.name);
        if status == 202 {
            wait_until_done(&engine, "second").await;
        }
        let audit = engine.audit();
        assert_eq!(audit.orders.len(), 2, "{}", case.name);
        let overcommitted = audit.memory_used_bytes_max > audit.memory_total_bytes;
        assert_eq!(overcommitted, case.trusting, "{}", case.name);
    }
}

#[async_std::test]
async fn answers_are_whole_and_resume() {
    let store = FakeWeightStore::start(ANY_PORT, WeightStoreOptions::default()).await.unwrap();
    let options = EngineOptions {
        weight_store: Some(store.address()),
        markers: vec!["s3cret".to_owned()],
        ..EngineOptions::default()
    };
    let engine = FakeEngine::start(ANY_PORT, options).await.unwrap();
    let path = "/v1/completions";
    let body = json!({ "model": "m", "prompt": "is it open?", "max_tokens": 9, "stream": true });
    let cold = send(engine.address(), path, &[], body.clone()).await.unwrap();
    assert_eq!(cold.0, 404);
    assert!(cold.1.contains("model_not_loaded"));
    assert_eq!(order(&engine, "load", 1, "load", 100_000_000).await, 202);
    wait_until_done(&engine, "load").await;
    assert_eq!(store.peak_model_loads(), 1);

    let whole = expected_text("m", "is it open?", 9);
    let (_, events) = send(engine.address(), path, &[], body.clone()).await.unwrap();
    assert_eq!(streamed_text(&events), whole);
    assert!(events.ends_with("data: [DONE]\n\n"));
    assert!(events.contains("\"completion_tokens\":9"));
    let resume = [("x-resume-from-token", "4")];
    let (_, events) = send(engine.address(), path, &resume, body.clone()).await.unwrap();
    assert_eq!(expected_text("m", "is it open?", 4) + &streamed_text(&events), whole);
    assert!(!engine.audit().marker_seen);
    let cookie = [("cookie", "a=b; key=s3cret")];
    send(engine.address(), path, &cookie, body.clone()).await.unwrap();
    assert!(engine.audit().marker_seen);

    let faults = EngineFaults { truncate_after_tokens: Some(3), ..EngineFaults::default() };
    engine.set_faults(faults);
    assert!(send(engine.address(), path, &[], body).await.is_err());
}

#[async_std::test]
async fn a_hang_up_cancels_even_a_silent_answer() {
    let engine = FakeEngine::start(ANY_PORT, EngineOptions::default()).await.unwrap();
    order(&engine, "load", 1, "load", 1).await;
    wait_until_done(&engine, "load").await;
    engine.set_faults(EngineFaults { silent_after_tokens: Some(1), ..EngineFaults::default() });
    let body = json!({ "model": "m", "prompt": "p", "stream": true });
    let sent = send(engine.address(), "/v1/completions", &[], body);
    let cut = async_std::future::timeout(Duration::from_millis(100), sent).await;
    assert!(cut.is_err());
    let start = Instant::now();
    while engine.audit().completions_cancelled == 0 {
        assert!(start.elapsed() < WAIT_MAX);
        task::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(engine.status()["running"], 0);
}

#[test]
fn replicas_are_counted_over_engines() {
    let audit = |spans: &[(u64, Option<u64>)]| EngineAudit {
        held: spans
            .iter()
            .map(|&(from_us, until_us)| MemoryPeriod { name: "m".to_owned(), from_us, until_us })
            .collect(),
        ..EngineAudit::default()
    };
    let apart = [audit(&[(1, Some(5)), (9, None)]), audit(&[(5, Some(9))])];
    assert_eq!(max_concurrent_replicas(&apart, "m"), 1);
    let together = [audit(&[(1, Some(6))]), audit(&[(5, None)])];
    assert_eq!(max_concurrent_replicas(&together, "m"), 2);
    assert_eq!(max_concurrent_replicas(&together, "other"), 0);
}
