//! Responses of a daemon that end after any of their bytes.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use lycheeford_operator::{ClientCategory, OperatorClient};

const METRICS: &str = "lycheeford_events 3\n";

struct Form {
    what: &'static str,
    response: &'static str,
    /// Whether the complete response states its end.
    is_framed: bool,
}

const FORMS: &[Form] = &[
    Form {
        what: "a length",
        response: "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nlycheeford_events 3\n",
        is_framed: true,
    },
    Form {
        what: "chunks",
        response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                   14\r\nlycheeford_events 3\n\r\n0\r\n\r\n",
        is_framed: true,
    },
    Form {
        what: "neither",
        response: "HTTP/1.1 200 OK\r\nx: y\r\n\r\nlycheeford_events 3\n",
        is_framed: false,
    },
];

#[async_std::test]
async fn a_response_that_is_cut_at_any_byte_is_not_taken_for_whole() {
    let mut violations = Vec::new();
    for Form { what, response, is_framed } in FORMS {
        for written in 0..=response.len() {
            let client = OperatorClient::new(start_daemon(&response[..written]));
            let received = client.metrics().await;
            let is_right = match &received {
                Ok(text) => text == METRICS && *is_framed && written == response.len(),
                Err(error) => {
                    error.category() == ClientCategory::Unreachable
                        && !(*is_framed && written == response.len())
                }
            };
            if !is_right {
                violations.push(format!("{what}, {written} bytes: {received:?}"));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Starts a daemon that answers one call with `response` and closes the connection.
fn start_daemon(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
        lines.find(|line| line.as_ref().is_ok_and(String::is_empty));
        let _ = stream.write_all(response.as_bytes());
    });
    address
}
