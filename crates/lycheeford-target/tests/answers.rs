//! Tests the client with complete and broken answers of a target.

mod common;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::mpsc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use lycheeford_target::{
    Category, Connection, Method, TargetClient, TargetError, TargetLimits, TargetRequest,
};
use rustix::net;

use crate::common::{answer_and_hold, get, read_request, short_limits, target};

/// What the target does after its answer.
#[derive(Debug, Clone, Copy)]
enum AfterAnswer {
    Close,
    Hold,
}

struct Case {
    answer: &'static str,
    after_answer: AfterAnswer,
    expected: Result<&'static str, Category>,
}

#[test]
fn answers_are_whole_or_an_error() {
    use AfterAnswer::{Close, Hold};
    use Category::{Broken, Malformed, Silent, Truncated};

    let case = |answer, after_answer, expected| Case { answer, after_answer, expected };
    // "200" abbreviates the status line of that status, and "C" the header of chunked encoding.
    let cases = [
        case("200content-length: 3\r\n\r\nice", Hold, Ok("ice")),
        case("HTTP/1.1 100 Continue\r\n\r\n200C3\r\nice\r\n0\r\n\r\n", Hold, Ok("ice")),
        case("HTTP/1.1 204 No Content\r\n\r\n", Hold, Ok("")),
        case("", Close, Err(Broken)),
        case("200conte", Close, Err(Broken)),
        case("", Hold, Err(Silent)),
        case("200conte", Hold, Err(Silent)),
        case("200content-length: 3\r\n\r\nic", Close, Err(Truncated)),
        case("200content-length: 3\r\n\r\nic", Hold, Err(Silent)),
        case("200C3\r\nice\r\n", Close, Err(Truncated)),
        case("200C3\r\nice\r\n0\r\n", Close, Err(Truncated)),
        case("200C3\r\nicecap", Close, Err(Malformed)),
        case("200\r\nice", Close, Err(Malformed)),
        case("200content-length: 3\r\nC3\r\nice\r\n0\r\n\r\n", Hold, Err(Malformed)),
        case("200content-length: 3\r\nx: \u{e9}\r\n\r\nice", Hold, Err(Malformed)),
        case("HTTP/1.1 101 Switching Protocols\r\n\r\n", Hold, Err(Malformed)),
        case("nonsense\r\n\r\n", Hold, Err(Malformed)),
        case(TOO_LARGE, Hold, Err(Malformed)),
    ];
    for case in cases {
        let answer = case.answer.replacen("200", "HTTP/1.1 200 OK\r\n", 1);
        let answer = answer.replacen("C3", "transfer-encoding: chunked\r\n\r\n3", 1);
        let (script, after_answer) = (answer.clone(), case.after_answer);
        let address = target(move |_, mut stream| match after_answer {
            AfterAnswer::Hold => answer_and_hold(&mut stream, script.as_bytes()),
            AfterAnswer::Close => {
                read_request(&mut stream);
                stream.write_all(script.as_bytes()).unwrap();
            }
        });
        // Only the cases that test a time-out get short ones.
        let limits = match case.expected {
            Err(Category::Silent) => short_limits(),
            _ => TargetLimits { answer_bytes_max: 64, ..TargetLimits::default() },
        };
        let seen = read_answer(address, &get("/", Connection::Pooled), limits);
        let seen = match &seen {
            Ok(body) => Ok(body.as_str()),
            Err(error) => {
                assert!(error.may_have_run(), "{answer:?}: {error}");
                Err(error.category())
            }
        };
        assert_eq!(seen, case.expected, "{answer:?}, then {after_answer:?}");
    }
}

/// An answer whose body is one byte larger than the limit of the test.
const TOO_LARGE: &str = "200content-length: 65\r\n\r\n01234567890123456789012345678901234567890123456789012345678901234";

#[test]
fn endless_heads_are_cut_off() {
    let address = target(|_, mut stream| {
        read_request(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nx: ");
        while stream.write_all(&[b'a'; 1024]).is_ok() {}
    });
    let error =
        read_answer(address, &get("/", Connection::Pooled), TargetLimits::default()).unwrap_err();
    assert_eq!(error.category(), Category::Malformed, "{error}");
}

#[test]
fn only_unsent_requests_are_reported_as_not_run() {
    let (closed, _port) = refusing_address();
    let open = target(|_, mut stream| {
        read_request(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    });
    let mut split = get("/", Connection::Fresh);
    split.headers.push(("x".to_owned(), "a\r\nb: c".to_owned()));
    let cases = [
        ("refused", closed, get("/", Connection::Pooled)),
        ("split header", open, split),
        ("dot segments", open, get("/a/../b", Connection::Fresh)),
        ("fragment", open, get("/a#b", Connection::Fresh)),
        ("space", open, get("/a b", Connection::Fresh)),
        ("another host", open, get("@127.0.0.1/", Connection::Fresh)),
    ];
    for (name, address, request) in cases {
        let error = read_answer(address, &request, TargetLimits::default()).expect_err(name);
        assert_eq!((error.category(), error.may_have_run()), (Category::NotSent, false), "{name}");
    }
}

/// Returns an address that refuses connections while the socket is held.
///
/// The socket is bound and doesn't listen, so that no other listener can get its port.
fn refusing_address() -> (SocketAddr, OwnedFd) {
    let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None).unwrap();
    net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = SocketAddr::try_from(net::getsockname(&socket).unwrap()).unwrap();
    (address, socket)
}

#[test]
fn the_target_gets_the_request_as_given() {
    let (sender, receiver) = mpsc::channel();
    let address = target(move |_, mut stream| {
        sender.send(read_request(&mut stream).unwrap()).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n").unwrap();
    });
    let mut request = get("/v1/x?a=%20b&c", Connection::Fresh);
    request.method = Method::Post;
    request.headers.push(("Transfer-Encoding".to_owned(), "chunked".to_owned()));
    request.body = b"ice".to_vec().into();
    let client = TargetClient::new(TargetLimits::default());
    let response = task::block_on(client.call(address, &request)).unwrap();
    assert_eq!(response.headers, [("x-a".to_owned(), "b".to_owned())]);
    let expected = format!(
        "POST /v1/x?a=%20b&c HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: 3\r\nx-priority: 0\r\n\r\nice"
    );
    assert_eq!(receiver.recv().unwrap(), expected);
}

#[test]
fn dropping_an_answer_or_a_call_closes_the_connection() {
    let (sender, closed) = mpsc::channel();
    let address = target(move |_, mut stream| {
        read_request(&mut stream);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n")
            .unwrap();
        sender.send(false).unwrap();
        let _ = stream.read(&mut [0]);
        sender.send(true).unwrap();
    });
    let client = TargetClient::new(TargetLimits::default());
    let request = get("/", Connection::Pooled);
    let mut response = task::block_on(client.call(address, &request)).unwrap();
    assert_eq!(task::block_on(response.body.next_chunk()).unwrap(), Some(b"a".to_vec()));
    assert!(!closed.recv().unwrap());
    drop(response);
    assert!(closed.recv_timeout(Duration::from_secs(20)).unwrap());
}

fn read_answer(
    address: SocketAddr,
    request: &TargetRequest,
    limits: TargetLimits,
) -> Result<String, TargetError> {
    let client = TargetClient::new(limits);
    task::block_on(async {
        let response = client.call(address, request).await?;
        let body = response.body.collect(1_000).await?;
        Ok(String::from_utf8(body).unwrap())
    })
}

#[test]
fn the_pause_limit_holds_across_cancelled_reads() {
    let address = target(|_, mut stream| {
        answer_and_hold(&mut stream, b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\ni");
    });
    let client = TargetClient::new(short_limits());
    let error = task::block_on(async {
        let request = get("/", Connection::Pooled);
        let mut body = client.call(address, &request).await.unwrap().body;
        assert_eq!(body.next_chunk().await.unwrap(), Some(b"i".to_vec()));
        let mut waits = (0..1_000).map(|_| Duration::from_millis(20));
        loop {
            let wait = waits.next().expect("the limit on the pause never took effect");
            if let Ok(received) = timeout(wait, body.next_chunk()).await {
                return received.unwrap_err();
            }
        }
    });
    assert_eq!(error.category(), Category::Silent);
}
