use std::fmt::{self, Debug};

use futures_util::io::Cursor;
use http_types::{Method, Url};
use lycheeford_http::{Header, RequestHead, strip_connection_headers};
use lycheeford_policy::{Name, Refusal, RefusalCode};
use percent_encoding::percent_decode_str;

use crate::PresentedKey;
use crate::key::extract_key;

const DEADLINE_HEADER: &str = "x-deadline-ms";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Headers that are replaced by fields of [`CallerRequest`].
const REPLACED_HEADERS: [&str; 3] = [DEADLINE_HEADER, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER];
/// The longest request target together with its host; async-h1 accepts heads of up to 8 KiB.
const REQUEST_TARGET_BYTES_MAX: usize = 7 * 1024;
const DEADLINE_MS_MAX: u64 = 24 * 60 * 60 * 1_000;
const IDEMPOTENCY_KEY_BYTES_MAX: usize = 256;

/// A validated request of a caller.
///
/// Neither `headers` nor `query` contains the API key: every place where a key
/// can be is removed, as are all cookies and all headers that concern one
/// connection only. Its `Debug` shows neither headers nor body, so that no log line
/// contains what a caller wrote.
pub struct CallerRequest {
    /// The request id, generated here at random; the response carries it as `x-request-id`.
    pub id: Name,
    /// The HTTP method, which is never `CONNECT`, `TRACE` or `PRI`.
    pub method: Method,
    /// The path, with dot segments resolved.
    pub path: String,
    /// The query without key parameters, still percent-encoded.
    pub query: Option<String>,
    /// The remaining headers, with names in lower case, in the order of arrival.
    pub headers: Vec<(String, String)>,
    /// The API key, if the caller presented one.
    pub key: Option<PresentedKey>,
    /// The value of the header `idempotency-key`, if the caller sent one.
    pub idempotency_key: Option<Name>,
    /// How long the caller waits for the response, if it sent the header `x-deadline-ms`.
    pub deadline_ms: Option<u64>,
    /// The complete body, without chunk framing.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Validates a head and its body, and moves the API key out of the head.
    pub(crate) async fn new(
        id: Name,
        head: RequestHead,
        body: Vec<u8>,
    ) -> Result<CallerRequest, Refusal> {
        let mut url = resolve_request_target(&head).await?;
        check_path(url.path())?;
        let RequestHead { method, mut headers, .. } = head;
        let deadline_ms =
            single_header(&headers, DEADLINE_HEADER)?.map(parse_deadline).transpose()?;
        let idempotency_key =
            single_header(&headers, IDEMPOTENCY_HEADER)?.map(parse_idempotency_key).transpose()?;
        let key = extract_key(&mut headers, &mut url)?;
        strip_connection_headers(&mut headers);
        headers.retain(|(name, _)| !REPLACED_HEADERS.contains(&name.as_str()));
        let request = CallerRequest {
            id,
            method,
            path: url.path().to_owned(),
            query: url.query().map(str::to_owned),
            headers,
            key,
            idempotency_key,
            deadline_ms,
            body,
        };
        request.check_for_second_key()?;
        Ok(request)
    }

    fn check_for_second_key(&self) -> Result<(), Refusal> {
        let Some(key) = &self.key else { return Ok(()) };
        let is_second = key.occurs_in(self.path.as_bytes())
            || key.occurs_in(self.query.as_deref().unwrap_or_default().as_bytes())
            || self.headers.iter().any(|(_, value)| key.occurs_in(value.as_bytes()))
            || key.occurs_in(&self.body);
        if is_second {
            return Err(bad_request(
                "the API key also appears in a second place; send it in one header only",
            ));
        }
        Ok(())
    }
}

impl Debug for CallerRequest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallerRequest")
            .field("id", &self.id)
            .field("method", &self.method)
            .field("path", &self.path)
            .field("key", &self.key)
            .field("deadline_ms", &self.deadline_ms)
            .field("body_bytes", &self.body.len())
            .finish_non_exhaustive()
    }
}

/// Resolves the request target against the `host` header, with the parser of async-h1.
async fn resolve_request_target(head: &RequestHead) -> Result<Url, Refusal> {
    let host = head.values("host").next().unwrap_or_default();
    if host.len() + head.request_target.len() > REQUEST_TARGET_BYTES_MAX {
        let message = format!(
            "the request target is over {REQUEST_TARGET_BYTES_MAX} bytes; send a body instead"
        );
        return Err(Refusal::not_run(RefusalCode::TooLarge, message, None));
    }
    let replay =
        format!("{} {} HTTP/1.1\r\nhost: {host}\r\n\r\n", head.method, head.request_target);
    match async_h1::server::decode(Cursor::new(replay.into_bytes())).await {
        Ok(Some((request, _))) => Ok(request.url().clone()),
        _ => Err(bad_request("the request target or the host isn't valid; correct the URL")),
    }
}

/// Refuses a path that a target could resolve differently from the router.
fn check_path(path: &str) -> Result<(), Refusal> {
    let decoded = percent_decode_str(path).decode_utf8_lossy();
    let is_dotted = decoded.split(['/', '\\']).any(|part| part == "." || part == "..");
    if is_dotted || decoded.contains(|character: char| character.is_ascii_control()) {
        return Err(bad_request(
            "the path contains encoded dot segments or control characters; send a plain path",
        ));
    }
    Ok(())
}

fn single_header<'a>(headers: &'a [Header], name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.iter().filter(|header| header.0 == name);
    let value = values.next();
    if values.next().is_some() {
        return Err(bad_request(format!("the header {name} appears more than once; send it once")));
    }
    Ok(value.map(|header| header.1.as_str()))
}

fn parse_deadline(text: &str) -> Result<u64, Refusal> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(deadline_ms) if is_decimal && (1..=DEADLINE_MS_MAX).contains(&deadline_ms) => {
            Ok(deadline_ms)
        }
        _ => Err(bad_request("x-deadline-ms isn't a number of milliseconds; send 1 to 86400000")),
    }
}

fn parse_idempotency_key(text: &str) -> Result<Name, Refusal> {
    if text.is_empty() || text.len() > IDEMPOTENCY_KEY_BYTES_MAX {
        return Err(bad_request("idempotency-key is empty or over 256 bytes; send a short one"));
    }
    Ok(Name::from(text))
}

pub(crate) fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message, None)
}
