//! Heads that are taken, and those that could be read in two ways and aren't.

use lycheeford_http::{Framing, Method, Persistence, RequestHead, ResponseHead};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

struct RequestCase {
    head: &'static [u8],
    expected: Result<(Framing, Persistence), &'static str>,
}

#[test]
fn request_heads() {
    let cases = [
        RequestCase {
            head: b"GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n",
            expected: Ok((Framing::Empty, Persistence::KeepAlive)),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 07\r\nConnection: x, Close\r\n\r\n",
            expected: Ok((Framing::Length(7), Persistence::Close)),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n",
            expected: Ok((Framing::Chunked, Persistence::KeepAlive)),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            expected: Err("both content-length"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
            expected: Err("repeats"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\n",
            expected: Err("isn't a number"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n",
            expected: Err("isn't a number"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
            expected: Err("isn't a number"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999999999999999\r\n\r\n",
            expected: Err("isn't a number"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
            expected: Err("isn't a number"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            expected: Err("isn't chunked"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
            expected: Err("repeats"),
        },
        RequestCase {
            head: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n",
            expected: Err("header name"),
        },
        RequestCase {
            head: b"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
            expected: Err("header name"),
        },
        RequestCase { head: b"GET / HTTP/1.1\nHost: h\n\r\n\r\n", expected: Err("CR LF") },
        RequestCase { head: b"GET / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n", expected: Err("CR LF") },
        RequestCase {
            head: b"GET / HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n",
            expected: Err("header value"),
        },
        RequestCase {
            head: "GET / HTTP/1.1\r\nHost: h\r\nX: \u{e9}\r\n\r\n".as_bytes(),
            expected: Err("ASCII"),
        },
        RequestCase {
            head: "GET /\u{e9} HTTP/1.1\r\nHost: h\r\n\r\n".as_bytes(),
            expected: Err("ASCII"),
        },
        RequestCase { head: b"GET / HTTP/1.1\r\n\r\n", expected: Err("host") },
        RequestCase { head: b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", expected: Err("host") },
        RequestCase { head: b"GET / HTTP/1.0\r\nHost: h\r\n\r\n", expected: Err("version") },
        RequestCase { head: b"GET / HTTP/2.0\r\nHost: h\r\n\r\n", expected: Err("first line") },
        RequestCase { head: b"GET /\r\nHost: h\r\n\r\n", expected: Err("first line") },
        RequestCase { head: b"G@T / HTTP/1.1\r\nHost: h\r\n\r\n", expected: Err("first line") },
        RequestCase { head: b"ICE / HTTP/1.1\r\nHost: h\r\n\r\n", expected: Err("method") },
        RequestCase { head: b"TRACE / HTTP/1.1\r\nHost: h\r\n\r\n", expected: Err("method") },
        RequestCase { head: b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", expected: Err("method") },
        RequestCase { head: b"\x16\x03\x01\r\n\r\n", expected: Err("first line") },
    ];
    for case in cases {
        let parsed = RequestHead::parse(case.head);
        let seen = parsed.map(|head| (head.framing, head.persistence));
        check(case.head, seen, case.expected);
    }
}

struct ResponseCase {
    head: &'static [u8],
    method: Method,
    expected: Result<(u16, Framing), &'static str>,
}

#[test]
fn response_heads() {
    let cases = [
        ResponseCase {
            head: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
            method: Method::Get,
            expected: Ok((200, Framing::Length(3))),
        },
        ResponseCase {
            head: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
            method: Method::Head,
            expected: Ok((200, Framing::Empty)),
        },
        ResponseCase {
            head: b"HTTP/1.1 204 No Content\r\n\r\n",
            method: Method::Get,
            expected: Ok((204, Framing::Empty)),
        },
        ResponseCase {
            head: b"HTTP/1.1 100 Continue\r\n\r\n",
            method: Method::Get,
            expected: Ok((100, Framing::Empty)),
        },
        ResponseCase {
            head: b"HTTP/1.1 200 OK\r\n\r\n",
            method: Method::Get,
            expected: Err("no length and no chunks"),
        },
        ResponseCase {
            head: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            method: Method::Get,
            expected: Err("both content-length"),
        },
        ResponseCase {
            head: b"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n",
            method: Method::Get,
            expected: Err("version"),
        },
        ResponseCase {
            head: b"HTTP/1.1 999 Odd\r\nContent-Length: 3\r\n\r\n",
            method: Method::Get,
            expected: Err("status code"),
        },
        ResponseCase {
            head: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX: \u{e9}\r\n\r\n".as_bytes(),
            method: Method::Get,
            expected: Err("ASCII"),
        },
    ];
    for case in cases {
        let parsed = ResponseHead::parse(case.head, case.method);
        check(case.head, parsed.map(|head| (head.status, head.framing)), case.expected);
    }
}

fn check<T: std::fmt::Debug + PartialEq>(
    head: &[u8],
    seen: Result<T, lycheeford_http::Error>,
    expected: Result<T, &str>,
) {
    let head = String::from_utf8_lossy(head);
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
