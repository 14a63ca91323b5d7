//! Tests which connections are reused, and which must not be.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_std::task;
use lycheeford_target::{Category, Connection, Echo, TargetClient, TargetLimits, TargetRequest};

use crate::common::{get, read_request, short_limits, target};

/// Answers each request with the index of its connection and the request's path.
fn echo(index: usize, mut stream: TcpStream, extra: &str) {
    while let Some(request) = read_request(&mut stream) {
        let path = request.split(' ').nth(1).unwrap();
        let body = format!("{index}{path}");
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n{extra}\r\n{body}");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Answers each request with its id and the index of its connection.
fn answer_with_id(index: usize, mut stream: TcpStream) {
    while let Some(request) = read_request(&mut stream) {
        let id = request.lines().find(|line| line.starts_with("x-id: ")).unwrap_or_default();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n{id}\r\n\r\n{index}");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

struct Case {
    name: &'static str,
    first: Connection,
    second: Connection,
    extra: &'static str,
    limits: TargetLimits,
    /// The answer to the second call, which starts with the index of its connection.
    expected: &'static str,
}

#[test]
fn connections_are_reused_only_when_clean() {
    use Connection::{Fresh, Pooled};

    let limits = TargetLimits::default();
    let case = |name, first, second, extra, limits, expected| Case {
        name,
        first,
        second,
        extra,
        limits,
        expected,
    };
    let cases = [
        case("pooled", Pooled, Pooled, "", limits, "0/b"),
        case("first fresh", Fresh, Pooled, "", limits, "1/b"),
        case("second fresh", Pooled, Fresh, "", limits, "1/b"),
        case("target closes", Pooled, Pooled, "connection: close\r\n", limits, "1/b"),
        case(
            "far time-out",
            Pooled,
            Pooled,
            "keep-alive: timeout=18446744073709551615\r\n",
            limits,
            "0/b",
        ),
        case(
            "no idle connections kept",
            Pooled,
            Pooled,
            "",
            TargetLimits { pool_per_target_max: 0, ..limits },
            "1/b",
        ),
        case("too old", Pooled, Pooled, "", TargetLimits { pool_idle_ms_max: 0, ..limits }, "1/b"),
    ];
    for case in cases {
        let extra = case.extra;
        let address = target(move |index, stream| echo(index, stream, extra));
        let client = TargetClient::new(case.limits);
        assert_eq!(call(&client, address, "/a", case.first), "0/a", "{}", case.name);
        assert_eq!(call(&client, address, "/b", case.second), case.expected, "{}", case.name);
    }
}

/// Guards against the answer to an earlier send of a request being taken for that to a later one:
/// both have the same id.
#[test]
fn a_connection_carries_no_request_twice() {
    let address = target(answer_with_id);
    let client = TargetClient::new(TargetLimits::default());
    let cases = [("a", "0"), ("a", "1"), ("b", "1"), ("b", "0"), ("a", "2"), ("c", "2")];
    for (step, (id, connection)) in cases.into_iter().enumerate() {
        assert_eq!(call_with_id(&client, address, id), connection, "step {step}, request {id}");
    }
}

#[test]
fn a_connection_is_replaced_after_as_many_requests_as_ids_are_kept() {
    const REQUESTS_PER_CONNECTION: usize = 64;
    let address = target(answer_with_id);
    let client = TargetClient::new(TargetLimits::default());
    for number in 0..3 * REQUESTS_PER_CONNECTION {
        let expected = (number / REQUESTS_PER_CONNECTION).to_string();
        assert_eq!(call_with_id(&client, address, &number.to_string()), expected, "{number}");
    }
}

#[test]
fn surplus_bytes_are_never_taken_for_the_next_answer() {
    for delay in [Duration::ZERO, Duration::from_millis(50)] {
        let (sent_sender, sent) = mpsc::channel();
        let address = target(move |index, mut stream| {
            read_request(&mut stream);
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{index}");
            stream.write_all(answer.as_bytes()).unwrap();
            thread::sleep(delay);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate");
            sent_sender.send(()).unwrap();
            read_request(&mut stream);
        });
        let client = TargetClient::new(TargetLimits::default());
        assert_eq!(call(&client, address, "/", Connection::Pooled), "0");
        sent.recv().unwrap();
        assert_eq!(call(&client, address, "/", Connection::Pooled), "1", "after {delay:?}");
    }
}

#[test]
fn a_connection_is_not_used_after_an_error() {
    let address = target(|index, mut stream| {
        read_request(&mut stream);
        let length = if index == 0 { 9 } else { 1 };
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{index}");
        stream.write_all(answer.as_bytes()).unwrap();
        read_request(&mut stream);
    });
    let client = TargetClient::new(short_limits());
    let request = get("/", Connection::Pooled);
    let mut response = task::block_on(client.call(address, &request)).unwrap();
    task::block_on(response.body.next_chunk()).unwrap();
    let error = task::block_on(response.body.next_chunk()).unwrap_err();
    assert_eq!(error.category(), Category::Silent);
    assert!(task::block_on(response.body.next_chunk()).is_err(), "an error looked like an end");
    assert_eq!(call(&client, address, "/", Connection::Pooled), "1");
}

#[test]
fn a_call_may_have_run_if_its_pooled_connection_fails() {
    let requests = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&requests);
    let address = target(move |_, mut stream| {
        read_request(&mut stream);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").unwrap();
        read_request(&mut stream);
        seen.fetch_add(1, Ordering::SeqCst);
    });
    let client = TargetClient::new(TargetLimits::default());
    assert_eq!(call(&client, address, "/", Connection::Pooled), "");
    let request = get("/", Connection::Pooled);
    let error = task::block_on(client.call(address, &request)).unwrap_err();
    assert_eq!((error.category(), error.may_have_run()), (Category::Broken, true));
    assert_eq!(requests.load(Ordering::SeqCst), 1, "the call was sent twice");
}

#[test]
fn a_connection_closed_while_idle_is_replaced() {
    let (sender, closed) = mpsc::channel();
    let address = target(move |index, mut stream| {
        read_request(&mut stream);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{index}");
        stream.write_all(answer.as_bytes()).unwrap();
        drop(stream);
        sender.send(()).unwrap();
    });
    let client = TargetClient::new(TargetLimits::default());
    assert_eq!(call(&client, address, "/", Connection::Pooled), "0");
    closed.recv().unwrap();
    assert_eq!(call(&client, address, "/", Connection::Pooled), "1");
}

#[test]
fn many_calls_each_get_their_own_answer() {
    let address = target(|index, stream| echo(index, stream, ""));
    let client = TargetClient::new(TargetLimits::default());
    let calls: Vec<_> = (0..32)
        .map(|caller| {
            let client = client.clone();
            task::spawn(async move {
                for round in 0..20 {
                    let path = format!("/{caller}/{round}");
                    let request = get(&path, Connection::Pooled);
                    let response = client.call(address, &request).await.unwrap();
                    // Every third answer is dropped unread, as when a caller disconnects.
                    if (caller + round) % 3 == 0 {
                        continue;
                    }
                    let body = response.body.collect(1_000).await.unwrap();
                    let body = String::from_utf8(body).unwrap();
                    assert!(body.ends_with(&path), "{path} got {body}");
                }
            })
        })
        .collect();
    for call in calls {
        task::block_on(call);
    }
}

fn call(client: &TargetClient, address: SocketAddr, path: &str, connection: Connection) -> String {
    body(client, address, &get(path, connection))
}

/// Calls the target with an id that it repeats in its answer.
fn call_with_id(client: &TargetClient, address: SocketAddr, id: &str) -> String {
    let mut request = get("/", Connection::Pooled);
    request.headers.push(("x-id".to_owned(), id.to_owned()));
    request.echo = Some(Echo { header: "x-id".to_owned(), id: Some(id.to_owned()) });
    body(client, address, &request)
}

fn body(client: &TargetClient, address: SocketAddr, request: &TargetRequest) -> String {
    task::block_on(async {
        let response = client.call(address, request).await.unwrap();
        String::from_utf8(response.body.collect(1_000).await.unwrap()).unwrap()
    })
}
