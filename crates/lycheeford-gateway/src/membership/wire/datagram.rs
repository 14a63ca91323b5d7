use std::borrow::Cow;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use snafu::ResultExt;

use super::{DecodeError, DeflateSnafu, FieldSnafu};

/// The first byte of a datagram, which gives the encoding of the rest.
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;
/// The size from which a message is compressed. A report of a host that isn't a relay has only a
/// few hundred bytes.
const DEFLATED_BYTES_MIN: usize = 600;
/// The size limit of a decoded message.
const MESSAGE_BYTES_MAX: u64 = 1 << 20;

/// Returns the datagram for an encoded message.
///
/// Reports compress well, since they repeat tags and hold numbers with many zero bits. Reports
/// between relays of different failure domains make up most of the bytes between hosts in a large
/// fleet.
pub(super) fn pack(message: &[u8]) -> Vec<u8> {
    if message.len() >= DEFLATED_BYTES_MIN
        && let Some(deflated) = deflate(message)
    {
        return deflated;
    }
    [&[PLAIN], message].concat()
}

/// Returns the encoded message in a datagram.
///
/// # Errors
///
/// Fails if the encoding is unknown or the message exceeds the size limit.
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

/// Returns the compressed message if that is smaller.
fn deflate(message: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    // Writing to memory can't fail. If it did, the message would be sent uncompressed.
    encoder.write_all(message).ok()?;
    let deflated = encoder.finish().ok()?;
    (deflated.len() < message.len()).then_some(deflated)
}
