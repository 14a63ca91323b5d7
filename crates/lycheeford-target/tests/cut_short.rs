//! Answers of which a target writes only the first bytes, for each number of bytes: no call gets an
//! answer that looks whole unless all of it was written.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use async_std::task;
use lycheeford_target::{
    Connection, Echo, Method, TargetClient, TargetError, TargetLimits, TargetRequest, Unframed,
};
use rustix::net::sockopt::set_socket_linger;

use crate::common::{get, read_request, target};

const ECHO: &str = "request-id";
/// More than the buffers of a connection hold.
const LARGE_BODY_BYTES: usize = 8 << 20;
/// How often, and how many times, a target looks whether the other end has left.
const LEFT_CHECK: Duration = Duration::from_millis(2);
const LEFT_CHECKS_MAX: usize = 100;

/// What a target does after the first bytes of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// Closes its sending side while the request is still being sent.
    CloseSendingSide,
}

/// How the end of an answer is stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Declared,
    Connection,
}

#[derive(Debug, Clone, Copy)]
struct Form {
    what: &'static str,
    answer: &'static str,
    body: &'static str,
    framing: Framing,
}

const LENGTH: Form = Form {
    what: "a length",
    answer: "HTTP/1.1 200 OK\r\nrequest-id: 7\r\ncontent-length: 12\r\n\r\nchart of ice",
    body: "chart of ice",
    framing: Framing::Declared,
};
const UNFRAMED: Form = Form {
    what: "neither",
    answer: "HTTP/1.1 200 OK\r\nrequest-id: 7\r\n\r\nchart of ice",
    framing: Framing::Connection,
    ..LENGTH
};
const FORMS: &[Form] = &[
    LENGTH,
    Form {
        what: "the length first",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 12\r\nrequest-id: 7\r\n\r\nchart of ice",
        ..LENGTH
    },
    Form {
        what: "chunks",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nrequest-id: 7\r\n\r\n\
                 6\r\nchart \r\n006;part=2\r\nof ice\r\n0\r\n\r\n",
        ..LENGTH
    },
    Form {
        what: "trailers",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nrequest-id: 7\r\n\r\n\
                 c\r\nchart of ice\r\n0\r\nmade: yes\r\ncosts: 3\r\n\r\n",
        ..LENGTH
    },
    UNFRAMED,
    Form {
        what: "interim heads",
        answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\ncontent-length: 0\r\n\
                 request-id: 7\r\n\r\n\
                 HTTP/1.1 200 OK\r\nrequest-id: 7\r\ncontent-length: 12\r\n\r\nchart of ice",
        ..LENGTH
    },
    Form {
        what: "an answer to another call before it",
        answer: "HTTP/1.1 200 OK\r\nrequest-id: 6\r\ncontent-length: 5\r\n\r\nother\
                 HTTP/1.1 200 OK\r\nrequest-id: 7\r\ncontent-length: 12\r\n\r\nchart of ice",
        ..LENGTH
    },
    Form {
        what: "a chunked answer to another call before it",
        answer: "HTTP/1.1 200 OK\r\nrequest-id: 6\r\ntransfer-encoding: chunked\r\n\r\n\
                 5\r\nother\r\n0\r\n\r\n\
                 HTTP/1.1 200 OK\r\nrequest-id: 7\r\ncontent-length: 12\r\n\r\nchart of ice",
        ..LENGTH
    },
];

#[test]
fn an_answer_that_is_cut_at_any_byte_is_not_taken_for_whole() {
    let mut violations = Vec::new();
    for form in FORMS {
        for end in [End::Close, End::Reset] {
            violations.extend(check_form(form, end, Vec::new()));
        }
    }
    for form in [LENGTH, UNFRAMED] {
        violations.extend(check_form(&form, End::CloseSendingSide, vec![b'x'; LARGE_BODY_BYTES]));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Sends a request for each number of bytes that the target writes; returns what was wrong.
fn check_form(form: &Form, end: End, request_body: Vec<u8>) -> Vec<String> {
    let address = cutting_target(form.answer, end);
    let limits = TargetLimits { unframed: Unframed::EndWithConnection, ..TargetLimits::default() };
    let client = TargetClient::new(limits);
    let mut request = get("", Connection::Pooled);
    request.echo = Some(Echo { header: ECHO.to_owned(), id: Some("7".to_owned()) });
    if !request_body.is_empty() {
        request.method = Method::Post;
        request.body = request_body.into();
    }
    let mut violations = Vec::new();
    for written in 0..=form.answer.len() {
        request.path_and_query = format!("/{written}");
        let received = collect(&client, address, &request);
        let is_right = match &received {
            Ok(body) => may_be_whole(form, end, written, body),
            // A target that was reset may have been reset before its answer was read.
            Err(error) => {
                error.may_have_run()
                    && (end == End::Reset || !may_be_whole(form, end, written, form.body))
            }
        };
        if !is_right {
            let what = form.what;
            violations.push(format!("{what}, {end:?} after {written} bytes: {received:?}"));
        }
    }
    violations
}

/// Returns whether a body may be received as whole after so many bytes of the answer.
fn may_be_whole(form: &Form, end: End, written: usize, body: &str) -> bool {
    let body_starts_at = form.answer.len() - form.body.len();
    match form.framing {
        Framing::Declared => written == form.answer.len() && body == form.body,
        // Only a reset shows that the end of the connection isn't that of the body.
        Framing::Connection if end == End::Reset || written < body_starts_at => false,
        Framing::Connection => body == &form.body[..written - body_starts_at],
    }
}

fn collect(
    client: &TargetClient,
    address: SocketAddr,
    request: &TargetRequest,
) -> Result<String, TargetError> {
    task::block_on(async {
        let answer = client.call(address, request).await?;
        assert_eq!(answer.status, 200);
        Ok(String::from_utf8(answer.body.collect(1_000).await?).unwrap())
    })
}

/// Starts a target that writes as many bytes of the answer as the path of a request says.
fn cutting_target(answer: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || cut(stream, answer, end));
        }
    });
    address
}

fn cut(mut stream: TcpStream, answer: &str, end: End) {
    let head = match end {
        End::Close | End::Reset => read_request(&mut stream),
        End::CloseSendingSide => read_head(&mut stream),
    };
    let Some(head) = head else { return };
    let path = head.split(' ').nth(1).unwrap_or_default();
    let written: usize = path.trim_start_matches('/').parse().unwrap();
    let _ = stream.write_all(&answer.as_bytes()[..written]);
    match end {
        End::Close => {}
        End::Reset => set_socket_linger(&stream, Some(Duration::ZERO)).unwrap(),
        End::CloseSendingSide => {
            let _ = stream.shutdown(Shutdown::Write);
            // Reads no more of the request until the other end resets the connection.
            for _ in 0..LEFT_CHECKS_MAX {
                if !matches!(stream.take_error(), Ok(None)) {
                    break;
                }
                thread::sleep(LEFT_CHECK);
            }
        }
    }
}

/// Reads the head of a request, and none of its body.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8(head).unwrap())
}

struct JoinedCase {
    what: &'static str,
    /// An answer to the first call, a part of which is written again before the second answer.
    first: &'static str,
    second: &'static str,
    status: u16,
    body: &'static str,
}

/// Guards against a head that is joined from the start of one answer and the head of the next: it
/// has the status and the promises of the first, and the id of the second.
#[test]
fn a_part_of_an_earlier_head_is_not_joined_with_the_next_one() {
    const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nserver: s\r\n\
                        request-id: 6\r\ncontent-length: 0\r\n\r\n";
    const OTHER_TARGET: &str = "HTTP/1.1 421 Misdirected Request\r\nserver: s\r\n\
                                request-id: 6\r\ncontent-length: 0\r\n\r\n";
    const SUCCESS: &str = "HTTP/1.1 200 OK\r\nserver: s\r\nrequest-id: 6\r\n\
                           content-length: 5\r\n\r\nother";
    const OWN: &str = "HTTP/1.1 200 OK\r\nrequest-id: 7\r\ncontent-length: 12\r\n\r\n\
                       chart of ice";
    const OWN_CHUNKED: &str = "HTTP/1.1 200 OK\r\nrequest-id: 7\r\n\
                               transfer-encoding: chunked\r\n\r\n\
                               c\r\nchart of ice\r\n0\r\n\r\n";
    const FAILURE: &str = "HTTP/1.1 500 Error\r\nrequest-id: 7\r\ncontent-length: 2\r\n\r\noh";

    let success =
        |what, first, second| JoinedCase { what, first, second, status: 200, body: "chart of ice" };
    let failure =
        |what, first| JoinedCase { what, first, second: FAILURE, status: 500, body: "oh" };
    let cases = [
        success("a rejection, then a success", FULL, OWN),
        success("a rejection, then a chunked success", FULL, OWN_CHUNKED),
        success("421, then a success", OTHER_TARGET, OWN),
        success("a success, then another", SUCCESS, OWN),
        failure("a success, then a failure", SUCCESS),
        failure("a rejection, then a failure", FULL),
    ];
    let mut violations = Vec::new();
    for case in cases {
        let what = case.what;
        for repeated in 0..=case.first.len() {
            let address = target_that_repeats_a_part(case.first, repeated, case.second);
            let client = TargetClient::new(TargetLimits::default());
            let call = |id: &str| {
                let mut request = get("/", Connection::Pooled);
                request.echo = Some(Echo { header: ECHO.to_owned(), id: Some(id.to_owned()) });
                task::block_on(async {
                    let answer = client.call(address, &request).await?;
                    let status = answer.status;
                    Ok::<_, TargetError>((status, answer.body.collect(1_000).await?))
                })
            };
            call("6").unwrap();
            match call("7") {
                Ok((status, body)) if status != case.status || body != case.body.as_bytes() => {
                    violations.push(format!("{what}, {repeated} bytes again: {status}"));
                }
                Ok(_) => {}
                Err(error) => assert!(error.may_have_run(), "{what}, {repeated}: {error}"),
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

fn target_that_repeats_a_part(
    first: &'static str,
    repeated: usize,
    second: &'static str,
) -> SocketAddr {
    target(move |_, mut stream| {
        read_request(&mut stream);
        let _ = stream.write_all(first.as_bytes());
        if read_request(&mut stream).is_some() {
            let answer = [&first.as_bytes()[..repeated], second.as_bytes()].concat();
            let _ = stream.write_all(&answer);
        }
    })
}
