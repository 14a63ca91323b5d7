use std::str::{self, FromStr};

use http_types::Method;

use crate::error::{Code, malformed};
use crate::{Error, Header, is_valid_header};

/// The most headers in one head; async-h1 accepts no more than 128.
const HEADERS_MAX: usize = 100;
/// The most digits of a content length; a number of so many digits can't overflow.
const LENGTH_DIGITS_MAX: usize = 18;
/// The length of the longest method, `UPDATEREDIRECTREF`.
const METHOD_BYTES_MAX: usize = 17;
/// How a status line begins; `0` stands for any digit.
const STATUS_LINE_START: &[u8] = b"HTTP/0.0 000";
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;

/// Where the body of a message ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body has chunked transfer encoding.
    Chunked,
    /// The body ends when the connection is closed; only a response may end like this.
    UntilClose,
}

/// How a response with neither a length nor chunked transfer encoding is handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Unframed {
    /// It is refused, since a truncated response can't be told from a complete one.
    #[default]
    Refuse,
    /// Its body ends when the connection is closed, and is truncated if the connection is reset.
    EndWithConnection,
}

/// Whether the connection may be used for another message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Persistence {
    /// The connection may be used again.
    KeepAlive,
    /// The sender closes the connection after this message.
    Close,
}

/// The validated head of a request.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, which is never `CONNECT`, `TRACE` or `PRI`.
    pub method: Method,
    /// The request target as sent in the request line, in ASCII.
    pub request_target: String,
    /// The headers, with names in lower case.
    pub headers: Vec<Header>,
    /// Where the body ends.
    pub framing: Framing,
    /// Whether another request may follow on the connection.
    pub persistence: Persistence,
}

impl RequestHead {
    /// Parses a head that ends with its empty line.
    ///
    /// # Errors
    ///
    /// Fails on everything that parsers interpret differently: bare line feeds,
    /// folded lines, two lengths, an unknown transfer encoding, and no or
    /// several hosts. Also fails on text that isn't ASCII, another version than
    /// HTTP/1.1, and an unsupported method.
    pub fn parse(bytes: &[u8]) -> Result<RequestHead, Error> {
        check_line_ends(bytes)?;
        let mut header_buffer = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Request::new(&mut header_buffer);
        check_complete(parsed.parse(bytes), bytes.len())?;
        if parsed.version != Some(1) {
            return Err(malformed("the version isn't HTTP/1.1; send HTTP/1.1"));
        }
        let method = supported_method(parsed.method.unwrap_or_default())?;
        let target = parsed.path.unwrap_or_default().to_owned();
        if !target.is_ascii() {
            return Err(malformed("the request target isn't ASCII; percent-encode it"));
        }
        let headers = owned_headers(parsed.headers)?;
        if values(&headers, "host").count() != 1 {
            return Err(malformed("there must be one host header; send one"));
        }
        let framing = declared_framing(&headers)?.unwrap_or(Framing::Empty);
        let persistence = persistence(&headers);
        Ok(RequestHead { method, request_target: target, headers, framing, persistence })
    }

    /// Returns the values of the header `name`, which must be in lower case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        values(&self.headers, name)
    }
}

/// The validated head of a response.
#[derive(Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code, from 100 to 599.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<Header>,
    /// Where the body ends.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub persistence: Persistence,
}

impl ResponseHead {
    /// Parses the head of the response to a request with `method`.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, or if its body has neither a length nor
    /// chunked transfer encoding, since a truncated response couldn't be told
    /// from a complete one.
    pub fn parse(bytes: &[u8], method: Method) -> Result<ResponseHead, Error> {
        ResponseHead::parse_with(bytes, method, Unframed::Refuse)
    }

    /// Parses the head of the response to a request with `method`.
    ///
    /// `unframed` selects how a response with neither a length nor chunked
    /// transfer encoding is handled.
    ///
    /// # Errors
    ///
    /// Fails as [`ResponseHead::parse`] does, except for responses that `unframed` accepts.
    pub fn parse_with(
        bytes: &[u8],
        method: Method,
        unframed: Unframed,
    ) -> Result<ResponseHead, Error> {
        check_line_ends(bytes)?;
        check_single_status_line(bytes)?;
        let mut header_buffer = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut header_buffer);
        check_complete(parsed.parse(bytes), bytes.len())?;
        if parsed.version != Some(1) {
            return Err(malformed("the version isn't HTTP/1.1; answer with HTTP/1.1"));
        }
        let status = parsed.code.unwrap_or_default();
        if !(100..600).contains(&status) {
            return Err(malformed("the status code is out of range; use 100 to 599"));
        }
        let headers = owned_headers(parsed.headers)?;
        let declared = declared_framing(&headers)?;
        let framing = match declared {
            _ if is_bodiless(status, method) => Framing::Empty,
            Some(framing) => framing,
            None if unframed == Unframed::EndWithConnection => Framing::UntilClose,
            None => return Err(malformed("the body has no length and no chunks; send either")),
        };
        let persistence = match framing {
            Framing::UntilClose => Persistence::Close,
            _ => persistence(&headers),
        };
        Ok(ResponseHead { status, headers, framing, persistence })
    }

    /// Returns whether this is an interim response (1xx), which another response follows.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// Checks the bytes received so far of a request head, which may be incomplete.
///
/// Bytes that can't become a request are refused at once: their sender may be
/// waiting for a response in another protocol and never complete a head.
pub(crate) fn check_request_start(bytes: &[u8]) -> Result<(), Error> {
    let method_bytes = bytes.iter().position(|byte| !is_token_byte(*byte));
    match method_bytes.map(|length_bytes| bytes.split_at(length_bytes)) {
        None if bytes.len() <= METHOD_BYTES_MAX => Ok(()),
        // The bytes may be the start of an empty line.
        Some((b"", b"\r")) => Ok(()),
        Some((method, [b' ', ..])) if !method.is_empty() => {
            supported_method(&String::from_utf8_lossy(method)).map(|_| ())
        }
        _ => Err(malformed("the bytes don't start an HTTP/1.1 request; send HTTP/1.1 without TLS")),
    }
}

/// Returns whether a method may contain the byte, see RFC 9110, section 5.6.2.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn supported_method(name: &str) -> Result<Method, Error> {
    let method = Method::from_str(name)
        .map_err(|_| malformed("the method is unknown; use a standard HTTP method"))?;
    // `PRI` starts the connection preface of HTTP/2.
    if matches!(method, Method::Connect | Method::Trace | Method::Pri) {
        return Err(malformed("the method isn't supported; use another one"));
    }
    Ok(method)
}

fn is_bodiless(status: u16, method: Method) -> bool {
    method == Method::Head
        || status < 200
        || status == STATUS_NO_CONTENT
        || status == STATUS_NOT_MODIFIED
}

fn check_line_ends(bytes: &[u8]) -> Result<(), Error> {
    let mut previous = 0;
    for &byte in bytes {
        if (byte == b'\n') != (previous == b'\r') {
            return Err(malformed("a line doesn't end with CR LF; end each line with both"));
        }
        previous = byte;
    }
    Ok(())
}

/// Checks that no other response begins within the head of a response.
///
/// A sender that breaks off inside a head and sends another response on the same connection would
/// join the status and the first headers of one with the other headers and the body of the other.
fn check_single_status_line(bytes: &[u8]) -> Result<(), Error> {
    let mut later_starts = bytes.windows(STATUS_LINE_START.len()).skip(1);
    if later_starts.any(is_status_line_start) {
        return Err(malformed("another response begins inside the head; complete the first one"));
    }
    Ok(())
}

fn is_status_line_start(bytes: &[u8]) -> bool {
    bytes.iter().zip(STATUS_LINE_START).all(|(byte, expected)| match expected {
        b'0' => byte.is_ascii_digit(),
        _ => byte == expected,
    })
}

fn check_complete(status: httparse::Result<usize>, length_bytes: usize) -> Result<(), Error> {
    match status {
        Ok(httparse::Status::Complete(parsed_bytes)) if parsed_bytes == length_bytes => Ok(()),
        Ok(_) => Err(malformed("the bytes aren't exactly one message head; follow HTTP/1.1")),
        Err(httparse::Error::HeaderName) => Err(malformed("a header name is invalid; correct it")),
        Err(httparse::Error::HeaderValue) => {
            Err(malformed("a header value is invalid or folded; send it on one line"))
        }
        Err(httparse::Error::TooManyHeaders) => {
            Err(Code::TooManyHeaders { headers_max: HEADERS_MAX }.into())
        }
        Err(_) => Err(malformed("the first line is invalid; follow HTTP/1.1")),
    }
}

fn owned_headers(parsed: &[httparse::Header<'_>]) -> Result<Vec<Header>, Error> {
    parsed.iter().map(owned_header).collect()
}

fn owned_header(header: &httparse::Header<'_>) -> Result<Header, Error> {
    let value = str::from_utf8(header.value).unwrap_or("\0");
    if !is_valid_header(header.name, value) {
        return Err(malformed("a header isn't plain ASCII; encode its value"));
    }
    Ok((header.name.to_ascii_lowercase(), value.to_owned()))
}

fn declared_framing(headers: &[Header]) -> Result<Option<Framing>, Error> {
    let mut lengths = values(headers, "content-length");
    let mut encodings = values(headers, "transfer-encoding");
    let framing = match (lengths.next(), encodings.next()) {
        (None, None) => return Ok(None),
        (Some(_), Some(_)) => {
            return Err(malformed("both content-length and transfer-encoding; send one of them"));
        }
        (Some(length), None) => Framing::Length(parse_length(length)?),
        (None, Some(encoding)) if encoding.eq_ignore_ascii_case("chunked") => Framing::Chunked,
        (None, Some(_)) => {
            return Err(malformed("the transfer encoding isn't chunked; send chunked"));
        }
    };
    if lengths.next().is_some() || encodings.next().is_some() {
        return Err(malformed("content-length or transfer-encoding repeats; send only one header"));
    }
    Ok(Some(framing))
}

fn parse_length(text: &str) -> Result<u64, Error> {
    let is_decimal =
        text.len() <= LENGTH_DIGITS_MAX && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(length_bytes) if is_decimal => Ok(length_bytes),
        _ => Err(malformed("content-length isn't a number; send the body length in bytes")),
    }
}

fn persistence(headers: &[Header]) -> Persistence {
    let closes = values(headers, "connection")
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes { Persistence::Close } else { Persistence::KeepAlive }
}

fn values<'a>(headers: &'a [Header], name: &'a str) -> impl Iterator<Item = &'a str> {
    headers.iter().filter(move |header| header.0 == name).map(|header| header.1.as_str())
}
