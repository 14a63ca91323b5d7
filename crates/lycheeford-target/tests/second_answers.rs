//! Another answer within a body that ends with its connection.

mod common;

use std::io::Write;
use std::thread;
use std::time::Duration;

use async_std::task;
use lycheeford_target::{Category, Connection, Echo, TargetClient, TargetLimits, Unframed};

use crate::common::{get, read_request, target};

const ECHO: &str = "request-id";
const HEAD: &str = "HTTP/1.1 200 OK\r\nserver: s\r\nrequest-id: 7\r\n\r\n";

struct Case {
    what: &'static str,
    /// What the target sends after the head; `HEAD` stands for another one.
    body: &'static str,
    is_whole: bool,
}

#[test]
fn a_body_that_ends_with_its_connection_holds_no_other_answer() {
    let long_head = "HTTP/1.1 200 OK\r\nx: y\r\n".to_owned() + &"a: b\r\n".repeat(400) + "\r\n";
    let cases = [
        Case { what: "a body", body: "ice", is_whole: true },
        Case { what: "the same answer again", body: "iceHEADice", is_whole: false },
        Case { what: "its head alone", body: "iceHEAD", is_whole: false },
        Case { what: "an answer in place of the body", body: "HEADice", is_whole: false },
        Case {
            what: "an answer to another request",
            body: "iceHTTP/1.1 503 Full\r\nRequest-Id: 8\r\n\r\n",
            is_whole: false,
        },
        Case {
            what: "a head that is cut behind the id",
            body: "iceHTTP/1.1 200 OK\r\nrequest-id: 7\r\nser",
            is_whole: false,
        },
        Case {
            what: "an answer behind what looks like the start of one",
            body: "HTTP/1.HTTP/1.1 200HTTP/1.1 20HEADice",
            is_whole: false,
        },
        Case {
            what: "a text about answers",
            body: "It sends HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nrequest-id: 7\r\n",
            is_whole: true,
        },
        Case { what: "a text that ends in a version", body: "ice over HTTP/1.1", is_whole: true },
        Case { what: "no status", body: "HTTP/1.1 many\r\nrequest-id: 7\r\n\r\n", is_whole: true },
        Case {
            what: "the same answer again without an id",
            body: "iceHTTP/1.1 200 OK\r\nserver: s\r\n\r\nice",
            is_whole: false,
        },
        Case {
            what: "an answer to another request without an id",
            body: "HTTP/1.1 500 Error\r\nServer: t\r\n\r\n",
            is_whole: false,
        },
        Case {
            what: "a text about answers with the same header and another",
            body: "It sends HTTP/1.1 200 OK\r\nserver: s\r\nvary: x\r\n\r\nand so on",
            is_whole: true,
        },
        Case { what: "a long head without an id", body: long_head.leak(), is_whole: true },
    ];
    for case in cases {
        for piece_bytes in [1, 5, 10_000] {
            check_body(&case, piece_bytes);
        }
    }
}

fn check_body(case: &Case, piece_bytes: usize) {
    let body: &'static str = case.body.replace("HEAD", HEAD).leak();
    // Only the first bytes are sent one by one, which is enough for each split of a short body.
    let pieces = body.len().div_ceil(piece_bytes).min(120);
    let address = target(move |_, mut stream| {
        read_request(&mut stream);
        stream.write_all(HEAD.as_bytes()).unwrap();
        let (slow, rest) = body.split_at((pieces * piece_bytes).min(body.len()));
        for piece in slow.as_bytes().chunks(piece_bytes) {
            let _ = stream.write_all(piece);
            thread::sleep(Duration::from_millis(1));
        }
        let _ = stream.write_all(rest.as_bytes());
    });
    let limits = TargetLimits { unframed: Unframed::EndWithConnection, ..TargetLimits::default() };
    let mut request = get("/", Connection::Pooled);
    request.echo = Some(Echo { header: ECHO.to_owned(), id: Some("7".to_owned()) });
    let received = task::block_on(async {
        let answer = TargetClient::new(limits).call(address, &request).await?;
        answer.body.collect(1 << 20).await
    });
    let what = format!("{}, {piece_bytes} bytes at once", case.what);
    match received {
        Ok(received) => {
            assert!(case.is_whole, "{what}: whole");
            assert_eq!(received, body.as_bytes(), "{what}");
        }
        Err(error) => {
            assert!(!case.is_whole, "{what}: {error}");
            assert_eq!(error.category(), Category::Malformed, "{what}: {error}");
        }
    }
}
