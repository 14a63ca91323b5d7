/// The name and the value of a header.
pub type Header = (String, String);

/// Headers that apply to one connection or to the framing of one message.
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

/// Removes the headers that must not be forwarded to another connection.
///
/// These are the hop-by-hop headers, those that a `connection` header lists,
/// and those that describe the framing, which the sender of the forwarded
/// message sets itself. Names must be in lower case.
pub fn strip_connection_headers(headers: &mut Vec<Header>) {
    let listed: Vec<String> = headers
        .iter()
        .filter(|(name, _)| name == "connection")
        .flat_map(|(_, value)| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect();
    headers
        .retain(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()) && !listed.contains(name));
}

/// Returns whether a header can be written without altering the rest of the message.
///
/// ```
/// use lycheeford_http::is_valid_header;
///
/// assert!(is_valid_header("x-priority", "0"));
/// assert!(!is_valid_header("x-priority", "0\r\nx-other: 1"));
/// ```
pub fn is_valid_header(name: &str, value: &str) -> bool {
    !name.is_empty() && name.bytes().all(is_name_byte) && value.bytes().all(is_value_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_value_byte(byte: u8) -> bool {
    byte == b'\t' || byte == b' ' || byte.is_ascii_graphic()
}
