//! Reading of request heads, and refusal of bytes that can't start a request.

use async_std::io::Cursor;
use async_std::task;
use lycheeford_http::{Category, MessageReader};

struct Case {
    input: &'static [u8],
    /// The length of the head in bytes.
    expected: Result<usize, Category>,
}

#[test]
fn bytes_that_cant_start_a_request_are_distinguished_from_a_truncated_request() {
    use Category::{Closed, Malformed, TooLarge, Truncated};

    let case = |input, expected| Case { input, expected };
    let cases = [
        case(b"GET / HTTP/1.1\r\n\r\nrest".as_slice(), Ok(18)),
        case(b"\r\n\r\nGET / HTTP/1.1\r\n\r\n", Ok(18)),
        case(b"", Err(Closed)),
        case(b"G", Err(Truncated)),
        case(b"get ", Err(Truncated)),
        case(b"VERSION-CONTROL /", Err(Truncated)),
        case(b"\r", Err(Truncated)),
        case(b"\n", Err(Malformed)),
        case(b"\r\r", Err(Malformed)),
        case(b" ", Err(Malformed)),
        case(b"\r\n GET /", Err(Malformed)),
        case(b"GET\t/", Err(Malformed)),
        case(b"GOT /", Err(Malformed)),
        case(b"TRACE /", Err(Malformed)),
        case(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", Err(Malformed)),
        case(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", Err(Malformed)),
        case(b"\x80\x2e\x01\x03", Err(Malformed)),
        case(b"\xe9", Err(Malformed)),
        case(&[b'A'; 17], Err(Truncated)),
        case(&[b'A'; 18], Err(Malformed)),
        case(b"GET /0123456789012345678901234567890123456789", Err(TooLarge)),
    ];
    for case in cases {
        let seen = task::block_on(async {
            let mut reader = MessageReader::new(Cursor::new(case.input));
            reader.request_head(40).await.map(|head| head.len())
        });
        let seen = seen.map_err(|error| error.category());
        assert_eq!(seen, case.expected, "{}", case.input.escape_ascii());
    }
}
