//! Bounded reading of HTTP/1.1 messages from untrusted peers.
//!
//! `async-h1` writes all messages and parses the requests of callers, but it
//! can't safely read hostile or broken input on its own: it limits neither the
//! length of a line nor the time that a head takes, panics on a header that
//! isn't ASCII, treats an empty chunk size as the end of a body, hangs when the
//! end of a chunked body arrives in two pieces, loses pipelined requests, and
//! accepts a body that is shorter than its declared length as complete. This
//! crate reads heads with `httparse`, the parser that `async-h1` uses, and
//! bodies with a strict decoder, so that the crates above it receive complete
//! messages only.
//!
//! The main types:
//!
//! - [`RequestHead`], [`ResponseHead`]: validated heads.
//! - [`Framing`]: where the body of a message ends.
//! - [`BodyDecoder`]: decodes a body from the bytes of a stream.
//! - [`MessageReader`]: reads heads and bodies from a connection.
//! - [`MemoryAccount`]: limits the memory that a process holds for others.
//! - [`SharedBody`], [`HeldBytes`]: bodies in pieces.

mod account;
mod body;
mod error;
mod head;
mod header;
mod pieces;
mod reader;

pub use crate::account::{
    MemoryAccount, MemoryExhausted, ReaderState, RegisteredReader, Reservation,
};
pub use crate::body::BodyDecoder;
pub use crate::error::{Category, Error};
pub use crate::head::{Framing, Persistence, RequestHead, ResponseHead, Unframed};
pub use crate::header::{Header, is_valid_header, strip_connection_headers};
pub use crate::pieces::{HeldBytes, Pieces, SharedBody, SharedBodyReader};
pub use crate::reader::{MessageReader, read_some};
pub use http_types::Method;
