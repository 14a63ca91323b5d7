//! Answers that end with their connection before their target has read the whole request.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use lycheeford_target::{Connection, Method, TargetClient, TargetLimits, TargetRequest, Unframed};

use crate::common::{get, target};

const UPLOAD_BYTES: usize = 3 << 20;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nchart";
/// Far longer than the check for a reset lasts.
const LIMIT: Duration = Duration::from_secs(5);

struct Case {
    name: &'static str,
    /// Whether the target reads the rest of the request after its answer.
    reads_on: bool,
    /// How long each wait for the next bytes lasts before it is given up and begun again.
    patience: Duration,
}

/// Guards against a wait for the end that can't be given up: going on with it must neither panic nor
/// begin anew.
#[test]
fn the_wait_for_a_reset_goes_on_after_it_was_given_up() {
    let patience = Duration::from_millis;
    let cases = [
        Case { name: "read, at once", reads_on: true, patience: LIMIT },
        Case { name: "read, in short waits", reads_on: true, patience: patience(7) },
        Case { name: "read, without waiting", reads_on: true, patience: patience(0) },
        Case { name: "unread, in short waits", reads_on: false, patience: patience(7) },
        Case { name: "unread, without waiting", reads_on: false, patience: patience(0) },
    ];
    for case in cases {
        let reads_on = case.reads_on;
        let address = target(move |_, stream| answer_early(stream, reads_on));
        let limits =
            TargetLimits { unframed: Unframed::EndWithConnection, ..TargetLimits::default() };
        let client = TargetClient::new(limits);
        let request = TargetRequest {
            method: Method::Post,
            body: vec![b'x'; UPLOAD_BYTES].into(),
            ..get("/", Connection::Fresh)
        };
        let start = Instant::now();
        let (received, is_whole) = task::block_on(async {
            let mut body = client.call(address, &request).await.expect(case.name).body;
            let mut received = Vec::new();
            loop {
                match timeout(case.patience, body.next_chunk()).await {
                    Ok(Ok(Some(chunk))) => received.extend(chunk),
                    Ok(Ok(None)) => break (received, true),
                    Ok(Err(_)) => break (received, false),
                    Err(_) => task::sleep(Duration::from_millis(1)).await,
                }
            }
        });
        assert_eq!(received, b"chart", "{}", case.name);
        assert_eq!(is_whole, case.reads_on, "{}", case.name);
        assert!(start.elapsed() < LIMIT, "{}", case.name);
    }
}

/// Answers once the head has come, and closes the sending side or, with unread bytes, all of it.
fn answer_early(mut stream: TcpStream, reads_on: bool) {
    let mut bytes = [0; 8_192];
    let _ = stream.read(&mut bytes);
    let _ = stream.write_all(ANSWER);
    if !reads_on {
        // The end comes before the reset.
        let _ = stream.shutdown(Shutdown::Write);
        return std::thread::sleep(Duration::from_millis(20));
    }
    let _ = stream.shutdown(Shutdown::Write);
    while matches!(stream.read(&mut bytes), Ok(1..)) {}
}
