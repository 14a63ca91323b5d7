//! Tests how a target sees dropped calls, and which bytes are still delivered.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::sync::mpsc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use lycheeford_target::{Connection, TargetClient, TargetLimits};

use crate::common::{get, read_request, target};

/// How long the client waits for the answer before it drops the call.
const WAIT_MS: u64 = 200;

/// How a connection ended, as the target saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

struct Case {
    name: &'static str,
    connection: Connection,
    /// What the target sends before it stops responding.
    answer: &'static str,
    end: End,
}

/// Guards against calls that reach a target after they were given up.
///
/// Closing a connection still delivers the written bytes, however late; a reset discards them.
#[test]
fn a_revocable_call_that_is_dropped_is_never_delivered_later() {
    let whole = "HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\nok";
    let part = "HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\no";
    let case = |name, connection, answer, end| Case { name, connection, answer, end };
    let cases = [
        case("no answer", Connection::Revocable, "", End::Reset),
        case("a part of the answer", Connection::Revocable, part, End::Reset),
        case("the whole answer", Connection::Revocable, whole, End::Closed),
        case("no answer, another kind", Connection::Fresh, "", End::Reset),
    ];
    for Case { name, connection, answer, end } in cases {
        let (ended, ends) = mpsc::channel();
        let address = target(move |_, mut stream| {
            read_request(&mut stream);
            stream.write_all(answer.as_bytes()).unwrap();
            let end = match stream.read(&mut [0]) {
                Ok(_) => End::Closed,
                Err(error) if error.kind() == ErrorKind::ConnectionReset => End::Reset,
                Err(error) => panic!("{error}"),
            };
            ended.send(end).unwrap();
        });
        let client = TargetClient::new(TargetLimits::default());
        let request = get("/orders", connection);
        let exchange =
            async { client.call(address, &request).await.unwrap().body.collect(100).await };
        let _ = task::block_on(timeout(Duration::from_millis(WAIT_MS), exchange));
        assert_eq!(ends.recv().unwrap(), end, "{name}");
    }
}
