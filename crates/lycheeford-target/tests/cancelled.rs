//! Tests how soon a target learns that a call was cancelled.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use lycheeford_target::{Connection, TargetClient, TargetLimits};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::common::{get, read_request, target};

/// How long the client waits for the answer before it cancels the call.
const WAIT_MS: u64 = 100;
/// How long a target may go on with a request that another one has taken over.
const WORKS_ON_MS_MAX: u64 = 400;

struct Case {
    name: &'static str,
    connection: Connection,
    /// What the target sends before it falls silent.
    answer: &'static str,
}

/// Regression test: a target that was working and read nothing went on with a cancelled call.
#[test]
fn a_target_that_only_works_learns_at_once_that_its_call_was_cancelled() {
    let part = "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nid: 1\n";
    let cases = [
        Case { name: "before the answer", connection: Connection::Pooled, answer: "" },
        Case { name: "within the answer", connection: Connection::Pooled, answer: part },
        Case { name: "on a new connection", connection: Connection::Fresh, answer: "" },
    ];
    for Case { name, connection, answer } in cases {
        let (sender, reset_times) = mpsc::channel();
        let address = target(move |_, mut stream| {
            read_request(&mut stream);
            stream.write_all(answer.as_bytes()).unwrap();
            sender.send(wait_for_reset(&stream)).unwrap();
        });
        let client = TargetClient::new(TargetLimits::default());
        let request = get("/work", connection);
        let exchange =
            async { client.call(address, &request).await.unwrap().body.collect(100).await };
        let _ = task::block_on(timeout(Duration::from_millis(WAIT_MS), exchange));
        let cancelled_at = Instant::now();
        let noticed_at =
            reset_times.recv().unwrap().unwrap_or_else(|| panic!("{name}: not noticed"));
        let works_on = noticed_at.saturating_duration_since(cancelled_at);
        assert!(works_on < Duration::from_millis(WORKS_ON_MS_MAX), "{name}: {works_on:?}");
    }
}

/// A call that ended with its answer leaves the connection open for the next one.
#[test]
fn a_finished_call_resets_nothing() {
    let (ended, ends) = mpsc::channel();
    let address = target(move |_, mut stream| {
        for _ in 0..2 {
            read_request(&mut stream);
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
        }
        ended.send(stream.read(&mut [0]).map_err(|error| error.kind())).unwrap();
    });
    let client = TargetClient::new(TargetLimits::default());
    let request = get("/work", Connection::Pooled);
    for _ in 0..2 {
        let body =
            task::block_on(async { client.call(address, &request).await?.body.collect(100).await });
        assert_eq!(body.unwrap(), b"ok");
    }
    drop(client);
    assert_eq!(ends.recv().unwrap(), Ok(0));
}

/// Waits without reading until the connection is reset, as a target does that is busy.
fn wait_for_reset(stream: &TcpStream) -> Option<Instant> {
    let limit = Timespec { tv_sec: 2, tv_nsec: 0 };
    // Without requested events, only errors and a complete hang-up are reported.
    let mut polled = [PollFd::new(stream, PollFlags::empty())];
    (poll(&mut polled, Some(&limit)).unwrap() > 0).then(Instant::now)
}
