/// A header as name and value.
pub type Header = (String, String);

/// The headers that concern one connection or the framing of one message.
const CONNECTION_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that must not be passed on to another connection.
///
/// These are the hop-by-hop headers, those that a `connection` header names,
/// and those that describe the framing, which the sender of the next message
/// sets anew. Names must be in lower case.
pub fn strip_connection_headers(headers: &mut Vec<Header>) {
    let nominated: Vec<String> = headers
        .iter()
        .filter(|(name, _)| name == "connection")
        .flat_map(|(_, value)| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect();
    headers.retain(|(name, _)| {
        !CONNECTION_HEADERS.contains(&name.as_str()) && !nominated.contains(name)
    });
}

/// Returns whether a header can be written without changing the message around it.
///
/// ```
/// use lycheeford_http::is_sendable;
///
/// assert!(is_sendable("x-priority", "0"));
/// assert!(!is_sendable("x-priority", "0\r\nx-other: 1"));
/// ```
pub fn is_sendable(name: &str, value: &str) -> bool {
    !name.is_empty() && name.bytes().all(is_token) && value.bytes().all(is_value)
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_value(byte: u8) -> bool {
    byte == b'\t' || byte == b' ' || byte.is_ascii_graphic()
}
