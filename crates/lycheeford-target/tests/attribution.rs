//! Tests which answers are taken for the answer to a call.

mod common;

use std::io::Write;
use std::net::SocketAddr;

use async_std::task;
use lycheeford_target::{Connection, Echo, TargetClient, TargetError, TargetLimits, TargetRequest};

use crate::common::{get, read_request, target};

/// The answer of a target that repeats the id of the call.
const OWN: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 3\r\n\r\nown";
const OTHER: &str = "HTTP/1.1 503 Full\r\nx-id: first\r\ncontent-length: 5\r\n\r\nother";
const WITHOUT_ID: &str = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nwithout";
const TWO_IDS: &str = "HTTP/1.1 200 OK\r\nx-id: mine\r\nx-id: first\r\ncontent-length: 0\r\n\r\n";
const SAME_ID_TWICE: &str =
    "HTTP/1.1 200 OK\r\nx-id: mine\r\nX-Id: mine\r\ncontent-length: 0\r\n\r\n";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum History {
    /// The call opens the connection.
    New,
    /// The connection carried another call before.
    Used,
}

struct Case {
    name: &'static str,
    history: History,
    id: Option<&'static str>,
    /// What the target writes when the answer is due.
    answers: &'static [&'static str],
    /// The body that the call returns, or `None` if it fails.
    body: Option<&'static str>,
    /// Whether the next call uses the first connection.
    is_reused: bool,
}

#[test]
fn only_answers_that_provably_belong_to_a_call_are_returned() {
    use History::{New, Used};

    let case = |name, history, answers, body, is_reused| Case {
        name,
        history,
        id: Some("mine"),
        answers,
        body,
        is_reused,
    };
    let cases = [
        case("own", New, &[OWN], Some("own"), true),
        case("own, used", Used, &[OWN], Some("own"), true),
        case("without an id", New, &[WITHOUT_ID], Some("without"), false),
        case("without an id, used", Used, &[WITHOUT_ID], None, false),
        case("without an id, then own", Used, &[WITHOUT_ID, OWN], None, false),
        case("two ids", New, &[TWO_IDS], None, false),
        case("two ids, used", Used, &[TWO_IDS], None, false),
        case("the same id twice", Used, &[SAME_ID_TWICE], None, false),
        case("another, then own", Used, &[OTHER, OWN], Some("own"), false),
        case("another, then own, new", New, &[OTHER, OWN], Some("own"), false),
        case("two others, then own", Used, &[OTHER, OTHER, OWN], Some("own"), false),
        case("three others, then own", Used, &[OTHER, OTHER, OTHER, OWN], None, false),
        case("another, then without an id", Used, &[OTHER, WITHOUT_ID], None, false),
        // A call without an id never shares a connection, so that the first answer is its own unless
        // it names a call.
        Case { id: None, ..case("no call id", Used, &[WITHOUT_ID], Some("without"), true) },
        Case {
            id: None,
            ..case("no call id, another", Used, &[OTHER, WITHOUT_ID], Some("without"), true)
        },
    ];
    for Case { name, history, id, answers, body, is_reused } in cases {
        let address = target(move |index, mut stream| {
            while let Some(request) = read_request(&mut stream) {
                let id = request.lines().find_map(|line| line.strip_prefix("x-id: "));
                let answer = match id {
                    Some("first" | "last") => format!(
                        "HTTP/1.1 200 OK\r\nx-id: {}\r\ncontent-length: 1\r\n\r\n{index}",
                        id.unwrap()
                    ),
                    _ => answers.concat(),
                };
                let _ = stream.write_all(answer.as_bytes());
            }
        });
        let client = TargetClient::new(TargetLimits::default());
        if history == History::Used {
            assert_eq!(call(&client, address, &with_id(Some("first"))).unwrap(), "0", "{name}");
        }
        let returned = call(&client, address, &with_id(id));
        match (&returned, body) {
            (Ok(returned), Some(body)) => assert_eq!(returned, body, "{name}"),
            (Err(error), None) => {
                assert!(error.is_unattributed() && error.may_have_run(), "{name}: {error}");
            }
            _ => panic!("{name}: {returned:?}, expected {body:?}"),
        }
        let last = call(&client, address, &with_id(Some("last"))).unwrap();
        assert_eq!(last == "0", is_reused, "{name}: the next call used connection {last}");
    }
}

fn with_id(id: Option<&str>) -> TargetRequest {
    let mut request = get("/", Connection::Pooled);
    request.headers.extend(id.map(|id| ("x-id".to_owned(), id.to_owned())));
    request.echo = Some(Echo { header: "x-id".to_owned(), id: id.map(str::to_owned) });
    request
}

fn call(
    client: &TargetClient,
    address: SocketAddr,
    request: &TargetRequest,
) -> Result<String, TargetError> {
    task::block_on(async {
        let response = client.call(address, request).await?;
        Ok(String::from_utf8(response.body.collect(1_000).await?).unwrap())
    })
}
