//! Valid heads, and heads that are refused because parsers interpret them differently.

use lycheeford_http::{Framing, Method, Persistence, RequestHead, ResponseHead};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

struct RequestCase {
    first_line: &'static str,
    headers: &'static str,
    expected: Result<(Framing, Persistence), &'static str>,
}

const GET: &str = "GET / HTTP/1.1";
const POST: &str = "POST / HTTP/1.1";

#[test]
fn request_heads() {
    use Framing::{Chunked, Empty, Length};
    use Persistence::{Close, KeepAlive};

    let case = |first_line, headers, expected| RequestCase { first_line, headers, expected };
    let cases = [
        case("GET /a?b HTTP/1.1", "Host: h", Ok((Empty, KeepAlive))),
        case(POST, "Host: h|Content-Length: 07|Connection: x, Close", Ok((Length(7), Close))),
        case(POST, "Host: h|Transfer-Encoding: Chunked", Ok((Chunked, KeepAlive))),
        case(POST, "Host: h|Content-Length: 1|Transfer-Encoding: chunked", Err("both content-l")),
        case(POST, "Host: h|Content-Length: 1|Content-Length: 1", Err("repeats")),
        case(POST, "Host: h|Content-Length: 1, 1", Err("isn't a number")),
        case(POST, "Host: h|Content-Length: +1", Err("isn't a number")),
        case(POST, "Host: h|Content-Length: -1", Err("isn't a number")),
        case(POST, "Host: h|Content-Length: 9999999999999999999", Err("isn't a number")),
        case(POST, "Host: h|Content-Length:", Err("isn't a number")),
        case(POST, "Host: h|Transfer-Encoding: gzip, chunked", Err("isn't chunked")),
        case(POST, "Host: h|Transfer-Encoding: chunked|Transfer-Encoding: chunked", Err("repeats")),
        case(POST, "Host: h|Transfer-Encoding : chunked", Err("header name")),
        case(GET, "Host: h|X: a| b", Err("header name")),
        case(GET, "Host: h\n|X: a", Err("CR LF")),
        case("GET / HTTP/1.1\nHost: h", "X: a", Err("CR LF")),
        case(GET, "Host: h|X: a\rb", Err("CR LF")),
        case(GET, "Host: h|X: a\0b", Err("header value")),
        case(GET, "Host: h|X: \u{e9}", Err("ASCII")),
        case("GET /\u{e9} HTTP/1.1", "Host: h", Err("ASCII")),
        case(GET, "X: a", Err("host")),
        case(GET, "Host: a|Host: b", Err("host")),
        case("GET / HTTP/1.0", "Host: h", Err("version")),
        case("GET / HTTP/2.0", "Host: h", Err("first line")),
        case("GET /", "Host: h", Err("first line")),
        case("G@T / HTTP/1.1", "Host: h", Err("first line")),
        case("ICE / HTTP/1.1", "Host: h", Err("method")),
        case("TRACE / HTTP/1.1", "Host: h", Err("method")),
        case("CONNECT h:1 HTTP/1.1", "Host: h", Err("method")),
        case("\x16\x03\x01", "", Err("first line")),
    ];
    for case in cases {
        let head = head(case.first_line, case.headers);
        let seen = RequestHead::parse(head.as_bytes());
        check(&head, seen.map(|head| (head.framing, head.persistence)), case.expected);
    }
}

struct ResponseCase {
    first_line: &'static str,
    headers: &'static str,
    method: Method,
    expected: Result<(u16, Framing), &'static str>,
}

#[test]
fn response_heads() {
    use Framing::{Empty, Length};
    use Method::{Get, Head};

    let case = |first_line, headers, method, expected| ResponseCase {
        first_line,
        headers,
        method,
        expected,
    };
    let ok = "HTTP/1.1 200 OK";
    let both = "Content-Length: 3|Transfer-Encoding: chunked";
    let cases = [
        case(ok, "Content-Length: 3", Get, Ok((200, Length(3)))),
        case(ok, "Content-Length: 3", Head, Ok((200, Empty))),
        case("HTTP/1.1 204 No Content", "X: a", Get, Ok((204, Empty))),
        case("HTTP/1.1 100 Continue", "X: a", Get, Ok((100, Empty))),
        case(ok, "X: a", Get, Err("no length and no chunks")),
        case(ok, both, Get, Err("both content-length")),
        case("HTTP/1.0 200 OK", "Content-Length: 3", Get, Err("version")),
        case("HTTP/1.1 999 Odd", "Content-Length: 3", Get, Err("status code")),
        case(ok, "Content-Length: 3|X: \u{e9}", Get, Err("ASCII")),
        case("HTTP/1.1 503 FulHTTP/1.1 200 OK", "Content-Length: 3", Get, Err("another response")),
        case(ok, "X: HTTP/1.1 500 Error|Content-Length: 3", Get, Err("another response")),
        case(ok, "Via: HTTP/1.1 proxy|Content-Length: 3", Get, Ok((200, Length(3)))),
    ];
    for case in cases {
        let head = head(case.first_line, case.headers);
        let seen = ResponseHead::parse(head.as_bytes(), case.method);
        check(&head, seen.map(|head| (head.status, head.framing)), case.expected);
    }
}

/// Returns a head whose `headers` are separated by vertical bars.
fn head(first_line: &str, headers: &str) -> String {
    format!("{first_line}\r\n{}\r\n\r\n", headers.replace('|', "\r\n"))
}

fn check<T: std::fmt::Debug + PartialEq>(
    head: &str,
    seen: Result<T, lycheeford_http::Error>,
    expected: Result<T, &str>,
) {
    match (seen, expected) {
        (Ok(seen), Ok(expected)) => assert_eq!(seen, expected, "{head}"),
        (Err(error), Err(part)) => assert!(error.to_string().contains(part), "{head}: {error}"),
        (seen, expected) => panic!("{head}: {seen:?}, expected {expected:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_heads_never_panic(
        pieces in prop::collection::vec(prop::sample::select(PIECES.to_vec()), 0..12),
        noise in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let mut bytes = pieces.concat();
        bytes.extend(noise);
        let _ = RequestHead::parse(&bytes);
        let _ = ResponseHead::parse(&bytes, Method::Get);
        bytes.extend(b"\r\n\r\n");
        let _ = RequestHead::parse(&bytes);
        let _ = ResponseHead::parse(&bytes, Method::Get);
    }
}

const PIECES: [&[u8]; 14] = [
    b"GET / HTTP/1.1\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"Host: h\r\n",
    b"Content-Length: ",
    b"Transfer-Encoding: chunked",
    b"18446744073709551616",
    b"\r\n",
    b"\n",
    b"\r",
    b" ",
    b":",
    b"\0",
    b"\xc3\xa9",
    b"x",
];
