//! Callers that disconnect or stop reading, and handlers that abort a response.

mod common;

use std::io::{Read, Write};

use async_std::future::timeout;
use async_std::task;
use lycheeford_caller::{Bounds, chunk_channel};

use crate::common::{Server, TEST_TIMEOUT, half_close, read_to_close, read_until, start};

struct Case {
    name: &'static str,
    request: &'static [u8],
    /// Bytes of further requests that are sent behind it.
    pipelined_bytes: usize,
    until: Option<&'static str>,
}

#[test]
fn a_disconnect_cancels_the_request() {
    let cases = [
        Case {
            name: "while the request waits",
            request: b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n",
            pipelined_bytes: 0,
            until: None,
        },
        Case {
            name: "behind a pipelined request",
            request: b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n",
            pipelined_bytes: 1,
            until: None,
        },
        Case {
            name: "behind more pipelined requests than are read ahead",
            request: b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n",
            pipelined_bytes: 64 * 1024,
            until: None,
        },
        Case {
            name: "in a stream",
            request: b"GET /stream HTTP/1.1\r\nhost: h\r\n\r\n",
            pipelined_bytes: 0,
            until: Some("first\r\n"),
        },
        Case {
            name: "in a stream, behind more pipelined requests than are read ahead",
            request: b"GET /stream HTTP/1.1\r\nhost: h\r\n\r\n",
            pipelined_bytes: 64 * 1024,
            until: Some("first\r\n"),
        },
    ];
    for case in cases {
        let server = start(Bounds::default());
        let mut stream = server.connect();
        stream.write_all(case.request).unwrap();
        let pipelined = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        for _ in 0..case.pipelined_bytes.div_ceil(pipelined.len()) {
            stream.write_all(pipelined).unwrap();
        }
        if let Some(until) = case.until {
            read_until(&mut stream, until);
        }
        while server.calls() == 0 {
            std::thread::yield_now();
        }
        drop(stream);
        assert_cancelled(&server, case.name);
        assert_eq!(server.calls(), 1, "{}", case.name);
    }
}

#[test]
fn a_caller_that_stops_reading_is_dropped() {
    let server = start(Bounds { write_ms_max: 200, ..Bounds::default() });
    let mut stream = server.connect();
    stream.write_all(b"GET /stream HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
    read_until(&mut stream, "first\r\n");
    // Far more than the socket buffers of both sides can hold.
    for _ in 0..1_000 {
        server.proceed.try_send(()).unwrap();
    }
    assert_cancelled(&server, "stopped reading");
    assert!(
        !server.proceed.is_empty(),
        "all chunks were accepted though the caller stopped reading"
    );
}

fn assert_cancelled(server: &Server, name: &str) {
    let cancelled = task::block_on(timeout(TEST_TIMEOUT, server.cancelled.recv()));
    assert!(matches!(cancelled, Ok(Ok(()))), "{name}: the request wasn't cancelled");
}

#[test]
fn a_caller_that_closes_its_sending_side_gets_an_answer_and_its_request_is_cancelled() {
    let server = start(Bounds::default());
    let mut stream = server.connect();
    stream.write_all(b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
    while server.calls() == 0 {
        std::thread::yield_now();
    }
    half_close(&stream);
    let answer = read_to_close(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer:?}");
    assert!(answer.contains("\"ran\":\"unknown\""), "{answer}");
    assert_cancelled(&server, "a closed sending side");
}

#[test]
fn a_handler_that_panics_ends_its_request_with_an_answer() {
    let server = start(Bounds::default());
    let request = b"GET /panic HTTP/1.1\r\nhost: h\r\n\r\n";
    // More than the threads that run the connections.
    for number in 0..64 {
        let answer = server.exchange(request);
        assert!(answer.starts_with("HTTP/1.1 502 "), "request {number}: {answer:?}");
        assert!(answer.contains("\"ran\":\"unknown\""), "request {number}: {answer}");
    }
    let answer = server.exchange(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
}

#[test]
fn an_aborted_stream_never_ends_cleanly() {
    let server = start(Bounds::default());
    let mut stream = server.connect();
    stream.write_all(b"GET /abandon HTTP/1.1\r\nhost: h\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("\r\n4\r\npart\r\n"), "{answer}");
}

#[test]
fn a_full_channel_makes_its_sender_wait() {
    let (sender, receiver) = chunk_channel();
    let mut queued = 0;
    while let Some(sent) = futures_util::FutureExt::now_or_never(sender.send(vec![1])) {
        sent.unwrap();
        queued += 1;
        assert!(queued < 100, "the channel has no bound");
    }
    drop(receiver);
    assert!(task::block_on(sender.send(vec![1])).is_err());
}
