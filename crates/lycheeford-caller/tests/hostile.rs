//! Requests that are refused before they reach the handler.

mod common;

use std::io::Write;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use lycheeford_caller::Bounds;

use crate::common::{Server, TEST_TIMEOUT, half_close, read_to_close, read_until, start};

fn small_bounds() -> Bounds {
    Bounds {
        head_bytes_max: 1024,
        head_ms_max: 300,
        body_bytes_max: 64,
        body_ms_max: 300,
        ..Bounds::default()
    }
}

struct Case {
    request: String,
    status: u16,
    code: &'static str,
}

fn case(request: impl Into<String>, status: u16, code: &'static str) -> Case {
    Case { request: request.into(), status, code }
}

#[test]
fn hostile_requests_get_the_documented_refusal() {
    let long = "a".repeat(2_000);
    let headers = |count| "x: y\r\n".repeat(count);
    let secret = "id-of-key.secret-of-key";
    let cases = [
        case("nonsense\r\n\r\n", 400, "bad_request"),
        // None of these requests completes its head.
        case("\u{16}\u{3}\u{1}\u{2}\0\u{1}\0\u{1}", 400, "bad_request"),
        case("PRI * HTTP/2.0\r\n", 400, "bad_request"),
        case("SSH-2.0-client\r\n", 400, "bad_request"),
        case("\0\0\0\u{1}", 400, "bad_request"),
        case(" GET / HTTP/1.1\r\n", 400, "bad_request"),
        case("FETCH / HTTP/1.1\r\n", 400, "bad_request"),
        case("a".repeat(18), 400, "bad_request"),
        case("\r\n\u{16}\u{3}\u{1}", 400, "bad_request"),
        case("GE", 408, "too_slow"),
        case("\r", 408, "too_slow"),
        case("UPDATEREDIRECTREF", 408, "too_slow"),
        case("GET / HTTP/1.1\r\n\r\n", 400, "bad_request"),
        case("GET / HTTP/1.1\r\nhost: h\r\nx: a\r\n b\r\n\r\n", 400, "bad_request"),
        case("GET / HTTP/1.1\r\nhost: h\r\nx: \u{e9}\r\n\r\n", 400, "bad_request"),
        case("GET / HTTP/1.1\r\nhost: a b\r\nconnection: close\r\n\r\n", 400, "bad_request"),
        case("GET x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n", 400, "bad_request"),
        case(
            "GET /a%2f..%2fb HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
            400,
            "bad_request",
        ),
        case("GET /a%0ab HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n", 400, "bad_request"),
        case(post("content-length: 1\r\ntransfer-encoding: chunked", ""), 400, "bad_request"),
        case(post("content-length: 1\r\ncontent-length: 2", "a"), 400, "bad_request"),
        case(post("content-length: x", ""), 400, "bad_request"),
        case(post("transfer-encoding: chunked", "zz\r\n"), 400, "bad_request"),
        case(post("transfer-encoding: chunked", "1\r\nab\r\n"), 400, "bad_request"),
        case(post("transfer-encoding: chunked", "\r\n"), 400, "bad_request"),
        case(post("expect: miracles\r\ncontent-length: 1", "a"), 400, "bad_request"),
        case(post("content-length: 65", ""), 413, "too_large"),
        case(post("expect: 100-continue\r\ncontent-length: 65", ""), 413, "too_large"),
        case(
            post("transfer-encoding: chunked", &format!("41\r\n{}\r\n0\r\n\r\n", "a".repeat(65))),
            413,
            "too_large",
        ),
        case(format!("GET /{long} HTTP/1.1\r\nhost: h\r\n\r\n"), 431, "head_too_large"),
        case(format!("GET / HTTP/1.1\r\nhost: h\r\nx: {long}"), 431, "head_too_large"),
        case(get(&format!("x: {}", "a".repeat(1 << 20))), 431, "head_too_large"),
        case(format!("GET / HTTP/1.1\r\n{}\r\n", headers(101)), 431, "head_too_large"),
        case(format!("GET / HTTP/1.1\r\n{}\r\n", headers(10_000)), 431, "head_too_large"),
        case("GET / HTTP/1.1\r\nhost: h\r\nx: a", 408, "too_slow"),
        case(post("content-length: 2", "a"), 408, "too_slow"),
        case(post("transfer-encoding: chunked", "2\r\na"), 408, "too_slow"),
        case(get("x-deadline-ms: soon"), 400, "bad_request"),
        case(get("x-deadline-ms: 0"), 400, "bad_request"),
        case(get("x-deadline-ms: -5"), 400, "bad_request"),
        case(get("x-deadline-ms: 1\r\nx-deadline-ms: 1"), 400, "bad_request"),
        case(get("idempotency-key:"), 400, "bad_request"),
        case(get("x-api-key: one\r\nauthorization: Bearer two"), 400, "bad_request"),
        case(get("x-api-key: one\r\ncookie: api_key=two"), 400, "bad_request"),
        case(get(&format!("x-api-key: {secret}\r\nx-note: my {secret}")), 400, "bad_request"),
        case(
            get(&format!("x-api-key: {secret}\r\nreferer: /?k=id-of%2Dkey.secret-of-key")),
            400,
            "bad_request",
        ),
        case(
            post(&format!("x-api-key: {secret}\r\ncontent-length: 25"), &format!("[{secret}]")),
            400,
            "bad_request",
        ),
    ];
    let server = start(small_bounds());
    for case in &cases {
        let answer = server.exchange(case.request.as_bytes());
        let request = &case.request[..case.request.len().min(120)];
        let status = format!("HTTP/1.1 {} ", case.status);
        assert!(answer.starts_with(&status), "{request:?}: {answer}");
        let error = format!("\"code\":\"{}\"", case.code);
        assert!(answer.contains(&error), "{request:?}: {answer}");
        assert!(answer.contains("\"ran\":\"not_run\""), "{request:?}: {answer}");
        assert!(answer.contains("\r\nx-request-id: "), "{request:?}: {answer}");
        assert!(!answer.contains(secret), "{request:?}: {answer}");
    }
    assert_eq!(server.calls(), 0, "the handler was called");
    let well_formed = server.exchange(get("x: y").as_bytes());
    assert!(well_formed.starts_with("HTTP/1.1 200 "), "{well_formed}");
}

fn post(headers: &str, body: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}\r\n\r\n{body}")
}

fn get(headers: &str) -> String {
    format!("GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{headers}\r\n\r\n")
}

#[test]
fn a_long_request_target_is_refused_although_its_head_is_within_the_limit() {
    let server = start(Bounds::default());
    let answer = |bytes| {
        let target = "a".repeat(bytes);
        server.exchange(
            format!("GET /{target} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").as_bytes(),
        )
    };
    assert!(answer(7_000).starts_with("HTTP/1.1 200 "));
    assert!(answer(9_000).starts_with("HTTP/1.1 413 "));
}

#[test]
fn a_head_sent_byte_by_byte_is_refused_in_time() {
    let server = start(small_bounds());
    let mut stream = server.connect();
    for byte in "GET / HTTP/1.1\r\nhost: h\r\nx: ".bytes() {
        if stream.write_all(&[byte]).is_err() {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(read_to_close(&mut stream).starts_with("HTTP/1.1 408 "));
    assert_eq!(server.calls(), 0);
}

#[test]
fn an_empty_line_after_a_body_is_not_refused() {
    let server = start(small_bounds());
    let mut stream = server.connect();
    stream.write_all(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\na\r\n").unwrap();
    read_until(&mut stream, "body=a");
    std::thread::sleep(Duration::from_millis(2 * small_bounds().head_ms_max));
    stream.write_all(get("x: y").as_bytes()).unwrap();
    let answer = read_to_close(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[test]
fn empty_lines_dont_delay_the_shutdown() {
    let server = start(Bounds::default());
    let mut stream = server.connect();
    server.stop.trigger();
    let sender = std::thread::spawn(move || {
        while stream.write_all(b"\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    task::block_on(timeout(TEST_TIMEOUT, server.done)).expect("the server didn't shut down");
    sender.join().unwrap();
}

#[test]
fn a_request_cut_short_is_refused_and_not_run() {
    let server = start(Bounds::default());
    let mut stream = server.connect();
    stream.write_all(post("content-length: 5", "ice").as_bytes()).unwrap();
    half_close(&stream);
    assert!(read_to_close(&mut stream).starts_with("HTTP/1.1 400 "));
    assert_eq!(server.calls(), 0);
}

#[test]
fn the_memory_of_all_bodies_together_is_limited() {
    let over_budget_bytes = 65 * 1024 * 1024;
    let bounds = Bounds { body_bytes_max: 2 * over_budget_bytes, ..Bounds::default() };
    let server = start(bounds);
    let answer = exchange_body(&server, "/", over_budget_bytes);
    assert!(answer.contains("\"code\":\"overloaded\""), "{answer}");
    assert_eq!(server.calls(), 0);
    for _ in 0..2 {
        server.proceed.try_send(()).unwrap();
        let answer = exchange_body(&server, "/wait", over_budget_bytes / 2);
        assert!(answer.ends_with("waited"), "the memory of the bodies wasn't released: {answer}");
    }
}

fn exchange_body(server: &Server, path: &str, length_bytes: usize) -> String {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {length_bytes}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + length_bytes, b'a');
    server.exchange(&request)
}

#[test]
fn connections_over_the_limit_are_refused() {
    let server = start(Bounds { connections_max: 2, ..Bounds::default() });
    let kept: Vec<_> = (0..2)
        .map(|_| {
            let mut stream = server.connect();
            stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
            read_until(&mut stream, "body=");
            stream
        })
        .collect();
    let answer = server.exchange(get("x: y").as_bytes());
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("\"code\":\"overloaded\""), "{answer}");
    assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer}");
    assert_eq!(server.calls(), 2);
    drop(kept);
    server.stop.trigger();
    task::block_on(server.done);
}
