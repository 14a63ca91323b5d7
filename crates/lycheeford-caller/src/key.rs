use std::fmt::{self, Debug};

use http_types::Url;
use lycheeford_http::Header;
use lycheeford_policy::{Refusal, RefusalCode};
use percent_encoding::percent_decode;

/// Names of query parameters and cookies that hold an API key, with dashes as underscores.
const KEY_NAMES: [&str; 4] = ["access_token", "api_key", "key", "x_api_key"];
const KEY_HEADERS: [&str; 2] = ["api-key", "x-api-key"];
const BEARER: &str = "bearer ";
/// The shortest key that is searched for outside the places where a key is expected.
const SEARCHED_BYTES_MIN: usize = 8;

/// An API key as the caller presented it.
///
/// The type has no `Display`, and its `Debug` hides the text, so that no log
/// line shows a key by accident.
///
/// ```
/// use lycheeford_caller::PresentedKey;
///
/// let key = PresentedKey::from("id.secret".to_owned());
/// assert_eq!(format!("{key:?}"), "PresentedKey(..)");
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct PresentedKey(String);

impl PresentedKey {
    /// Returns the text of the key, to be checked against the digests of known keys.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether `text` contains the key, plain or percent-encoded.
    pub(crate) fn occurs_in(&self, text: &[u8]) -> bool {
        let key = self.0.as_bytes();
        if key.len() < SEARCHED_BYTES_MIN {
            return false;
        }
        if contains(text, key) {
            return true;
        }
        text.contains(&b'%') && contains(&percent_decode(text).collect::<Vec<u8>>(), key)
    }
}

impl From<String> for PresentedKey {
    fn from(text: String) -> PresentedKey {
        PresentedKey(text)
    }
}

impl Debug for PresentedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PresentedKey(..)")
    }
}

/// Removes the API key from the headers and the query, and returns it.
///
/// Every place where a key can be is removed, whatever it contains, so that no
/// target sees a key even if the caller sent it in two places.
///
/// # Errors
///
/// Refuses a request with two different keys, since it is unclear which
/// customer sent it.
pub(crate) fn extract_key(
    headers: &mut Vec<Header>,
    url: &mut Url,
) -> Result<Option<PresentedKey>, Refusal> {
    let mut found = Vec::new();
    headers.retain(|(name, value)| !extract_from_header(name, value, &mut found));
    extract_from_query(url, &mut found);
    found.retain(|key| !key.is_empty());
    found.sort();
    found.dedup();
    let mut found = found.into_iter();
    let key = found.next();
    if found.next().is_some() {
        let message = "the request has two different API keys; send only one";
        return Err(Refusal::not_run(RefusalCode::BadRequest, message, None));
    }
    Ok(key.map(PresentedKey))
}

fn extract_from_header(name: &str, value: &str, found: &mut Vec<String>) -> bool {
    if KEY_HEADERS.contains(&name) {
        found.push(value.trim().to_owned());
        return true;
    }
    match name {
        "authorization" => found.extend(bearer_token(value)),
        "cookie" => found.extend(value.split(';').filter_map(cookie_key)),
        "cookie2" => {}
        _ => return false,
    }
    true
}

fn bearer_token(value: &str) -> Option<String> {
    let (scheme, token) = value.split_at_checked(BEARER.len())?;
    scheme.eq_ignore_ascii_case(BEARER).then(|| token.trim().to_owned())
}

fn cookie_key(cookie: &str) -> Option<String> {
    let (name, value) = cookie.split_once('=')?;
    is_key_name(name.trim()).then(|| value.trim().trim_matches('"').to_owned())
}

fn extract_from_query(url: &mut Url, found: &mut Vec<String>) {
    let Some(query) = url.query() else { return };
    let mut kept = Vec::new();
    // Some servers also split parameters at semicolons.
    for parameter in query.split(['&', ';']) {
        let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        if is_key_name(&decode_parameter(name)) {
            found.push(decode_parameter(value));
        } else {
            kept.push(parameter);
        }
    }
    if kept.len() == query.split(['&', ';']).count() {
        return;
    }
    let kept = kept.join("&");
    url.set_query((!kept.is_empty()).then_some(kept.as_str()));
}

fn decode_parameter(text: &str) -> String {
    percent_decode(text.replace('+', " ").as_bytes()).decode_utf8_lossy().trim().to_owned()
}

fn is_key_name(name: &str) -> bool {
    KEY_NAMES.contains(&name.to_ascii_lowercase().replace('-', "_").as_str())
}

fn contains(text: &[u8], key: &[u8]) -> bool {
    // Comparing the first byte alone rules out nearly every position.
    text.windows(key.len()).any(|window| window[0] == key[0] && window == key)
}
