use std::borrow::Cow;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use snafu::ResultExt;

use super::{DecodeError, DeflateSnafu, FieldSnafu};

/// What the first byte of a datagram says of the rest.
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;
/// The message from which on it is deflated; a member's report is a few hundred bytes.
const DEFLATED_BYTES_MIN: usize = 600;
/// The largest message that a datagram may hold.
const MESSAGE_BYTES_MAX: u64 = 1 << 20;

/// Returns the datagram that holds an encoded message.
///
/// Reports repeat tags and hold numbers with many zero bits; those between relays of several
/// failure domains are most of the bytes that a large fleet sends between them.
pub(super) fn pack(message: &[u8]) -> Vec<u8> {
    if message.len() >= DEFLATED_BYTES_MIN
        && let Some(deflated) = deflate(message)
    {
        return deflated;
    }
    [&[PLAIN], message].concat()
}

/// Returns the encoded message that a datagram holds.
///
/// # Errors
///
/// Fails if it holds none, or one that is larger than any host sends.
pub(super) fn unpack(datagram: &[u8]) -> Result<Cow<'_, [u8]>, DecodeError> {
    match datagram.split_first() {
        Some((&PLAIN, message)) => Ok(Cow::Borrowed(message)),
        Some((&DEFLATED, deflated)) => {
            let mut message = Vec::new();
            let mut decoder = DeflateDecoder::new(deflated).take(MESSAGE_BYTES_MAX + 1);
            decoder.read_to_end(&mut message).context(DeflateSnafu)?;
            if message.len() as u64 > MESSAGE_BYTES_MAX {
                return FieldSnafu { field: "size" }.fail();
            }
            Ok(Cow::Owned(message))
        }
        _ => FieldSnafu { field: "form" }.fail(),
    }
}

/// Returns the deflated message if that is smaller.
fn deflate(message: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    // Writing to memory can't fail; if it did, the message would be sent as it is.
    encoder.write_all(message).ok()?;
    let deflated = encoder.finish().ok()?;
    (deflated.len() < message.len()).then_some(deflated)
}
