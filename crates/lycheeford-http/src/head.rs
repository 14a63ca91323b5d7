use std::str::{self, FromStr};

use http_types::Method;

use crate::error::{Code, malformed};
use crate::{Error, Header, is_sendable};

/// Headers that one head may hold; async-h1 takes no more than 128.
const HEADERS_MAX: usize = 100;
/// The digits of a length that can't overflow.
const LENGTH_DIGITS_MAX: usize = 18;
/// The bytes of the longest method, `UPDATEREDIRECTREF`.
const METHOD_BYTES_MAX: usize = 17;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;

/// Where the body of a message ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is a series of chunks.
    Chunked,
    /// The body ends with its connection; only an answer may have it.
    UntilClose,
}

/// Whether an answer without a length and without chunks is read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Unframed {
    /// It is refused, since one that was cut looks like a whole one.
    #[default]
    Refuse,
    /// It ends with its connection, and is cut if the connection is reset.
    EndWithConnection,
}

/// Whether the connection may carry another message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Persistence {
    /// It may.
    KeepAlive,
    /// The sender closes it after this message.
    Close,
}

/// The head of a request that passed every check.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The target as it stands in the request line.
    pub target: String,
    /// The headers, with names in lower case.
    pub headers: Vec<Header>,
    /// Where the body ends.
    pub framing: Framing,
    /// Whether another request may follow.
    pub persistence: Persistence,
}

impl RequestHead {
    /// Reads a head that ends with its empty line.
    ///
    /// # Errors
    ///
    /// Fails on whatever could be read in two ways: bare line feeds, folded
    /// lines, two lengths, an unknown transfer encoding, no host or several.
    pub fn parse(bytes: &[u8]) -> Result<RequestHead, Error> {
        check_line_ends(bytes)?;
        let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Request::new(&mut slots);
        expect_whole(parsed.parse(bytes), bytes.len())?;
        if parsed.version != Some(1) {
            return Err(malformed("the version isn't HTTP/1.1; send HTTP/1.1"));
        }
        let method = served_method(parsed.method.unwrap_or_default())?;
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
        Ok(RequestHead { method, target, headers, framing, persistence })
    }

    /// Returns the values of the header called `name`, which is in lower case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        values(&self.headers, name)
    }
}

/// The head of an answer that passed every check.
#[derive(Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<Header>,
    /// Where the body ends.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub persistence: Persistence,
}

impl ResponseHead {
    /// Reads the head of an answer to a request with `method`.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed, or if its body has neither a length nor
    /// chunks, so that a cut answer couldn't be told from a whole one.
    pub fn parse(bytes: &[u8], method: Method) -> Result<ResponseHead, Error> {
        ResponseHead::parse_with(bytes, method, Unframed::Refuse)
    }

    /// Reads the head of an answer to a request with `method`, as `unframed` says.
    ///
    /// # Errors
    ///
    /// Fails as [`ResponseHead::parse`] does, less what `unframed` lets pass.
    pub fn parse_with(
        bytes: &[u8],
        method: Method,
        unframed: Unframed,
    ) -> Result<ResponseHead, Error> {
        check_line_ends(bytes)?;
        let mut slots = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut slots);
        expect_whole(parsed.parse(bytes), bytes.len())?;
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

    /// Returns whether this is an interim answer, which another one follows.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }
}

/// Checks what has come of a request's head, which may not be whole.
///
/// What can't become a request is refused at once: its sender may wait for an
/// answer in another protocol, and never send the end of a head.
pub(crate) fn check_request_start(bytes: &[u8]) -> Result<(), Error> {
    let method_bytes = bytes.iter().position(|byte| !is_token_byte(*byte));
    match method_bytes.map(|length_bytes| bytes.split_at(length_bytes)) {
        None if bytes.len() <= METHOD_BYTES_MAX => Ok(()),
        // It may be the begin of an empty line.
        Some((b"", b"\r")) => Ok(()),
        Some((method, [b' ', ..])) if !method.is_empty() => {
            served_method(&String::from_utf8_lossy(method)).map(|_| ())
        }
        _ => Err(malformed("the bytes don't begin a request; send HTTP/1.1 without encryption")),
    }
}

/// Returns whether a method may have the byte, by RFC 9110, section 5.6.2.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn served_method(name: &str) -> Result<Method, Error> {
    let method = Method::from_str(name)
        .map_err(|_| malformed("the method is unknown; use one of HTTP's"))?;
    // `PRI` begins the preface of HTTP/2.
    if matches!(method, Method::Connect | Method::Trace | Method::Pri) {
        return Err(malformed("the method isn't served; use another one"));
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

fn expect_whole(status: httparse::Result<usize>, length_bytes: usize) -> Result<(), Error> {
    match status {
        Ok(httparse::Status::Complete(parsed_bytes)) if parsed_bytes == length_bytes => Ok(()),
        Ok(_) => Err(malformed("the head isn't one whole head; send it by the protocol")),
        Err(httparse::Error::HeaderName) => Err(malformed("a header name is invalid; correct it")),
        Err(httparse::Error::HeaderValue) => {
            Err(malformed("a header value is invalid or folded; send it on one line"))
        }
        Err(httparse::Error::TooManyHeaders) => {
            Err(Code::TooManyHeaders { headers_max: HEADERS_MAX }.into())
        }
        Err(_) => Err(malformed("the first line is invalid; send it by the protocol")),
    }
}

fn owned_headers(parsed: &[httparse::Header<'_>]) -> Result<Vec<Header>, Error> {
    parsed.iter().map(owned_header).collect()
}

fn owned_header(header: &httparse::Header<'_>) -> Result<Header, Error> {
    let value = str::from_utf8(header.value).unwrap_or("\0");
    if !is_sendable(header.name, value) {
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
        return Err(malformed("content-length or transfer-encoding repeats; send one of them"));
    }
    Ok(Some(framing))
}

fn parse_length(text: &str) -> Result<u64, Error> {
    let is_plain =
        text.len() <= LENGTH_DIGITS_MAX && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(length_bytes) if is_plain => Ok(length_bytes),
        _ => Err(malformed("content-length isn't a number; send the bytes of the body")),
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
