use http_types::Method;
use lycheeford_policy::Name;

use crate::PresentedKey;

/// A checked request of a caller.
///
/// Nothing in `headers` or `query` holds the key: every place where a key can
/// be is taken out, with all cookies and all headers that concern one
/// connection only.
#[derive(Debug)]
pub struct CallerRequest {
    /// The id, made here at random; the answer carries it as `x-request-id`.
    pub id: Name,
    /// The method.
    pub method: Method,
    /// The path, with dot segments resolved.
    pub path: String,
    /// The query without key parameters, still percent-encoded.
    pub query: Option<String>,
    /// The remaining headers with names in lower case, in the order of arrival.
    pub headers: Vec<(String, String)>,
    /// The key, if the caller presented one.
    pub key: Option<PresentedKey>,
    /// The value of the header `idempotency-key`, which also stays in `headers`.
    pub idempotency_key: Option<Name>,
    /// How long the caller waits, from the header `x-deadline-ms`.
    pub deadline_ms: Option<u64>,
    /// The whole body, without chunk framing.
    pub body: Vec<u8>,
}
