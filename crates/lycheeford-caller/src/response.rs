use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use http_types::{Body, Response, StatusCode};
use lycheeford_http::{HeldBytes, Persistence, is_valid_header, strip_connection_headers};
use lycheeford_policy::Name;

use crate::{ChunkReceiver, chunk_channel};

const REQUEST_ID_HEADER: &str = "x-request-id";
const LINE_END: &[u8] = b"\r\n";

/// A response to a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// The HTTP status code, from 200 to 599; 502 is sent instead of any other.
    pub status: u16,
    /// The headers, as name and value.
    ///
    /// The server sets those that concern the connection. Of the given ones it
    /// honours only `connection: close`, which moves a caller off a host that
    /// is about to shut down. Headers that aren't plain ASCII are left out.
    pub headers: Vec<(String, String)>,
    /// The complete body, or a stream of its chunks.
    pub body: CallerBody,
}

/// The body of a response.
#[derive(Debug)]
pub enum CallerBody {
    /// A complete body, sent with its length.
    Whole(Vec<u8>),
    /// A complete body, sent with its length, whose memory is released as it is read.
    Held(HeldBytes),
    /// Chunks that are sent as the handler produces them.
    Stream(ChunkReceiver),
    /// A body whose end nobody states, which ends with its connection.
    ///
    /// It is sent with neither a length nor chunks, so that it claims no more than its origin did.
    /// If it fails, the connection is reset.
    UntilClose(ChunkReceiver),
    /// A complete body whose end nobody states; see [`CallerBody::UntilClose`].
    HeldUntilClose(HeldBytes),
}

impl CallerBody {
    /// Returns a body of `bytes` whose end nobody states; see [`CallerBody::UntilClose`].
    pub async fn until_close(bytes: Vec<u8>) -> CallerBody {
        let (sender, receiver) = chunk_channel();
        // The receiver is still there, and the queue is empty.
        let _ = sender.send(bytes).await;
        sender.finish();
        CallerBody::UntilClose(receiver)
    }

    /// Returns the number of bytes in the account that are held for the caller, which stays current
    /// while the body is written.
    pub(crate) fn unread_bytes(&self) -> Arc<AtomicUsize> {
        match self {
            CallerBody::Whole(_) => Arc::default(),
            CallerBody::Held(held) | CallerBody::HeldUntilClose(held) => {
                Arc::clone(held.unread_bytes())
            }
            CallerBody::Stream(receiver) | CallerBody::UntilClose(receiver) => {
                Arc::clone(receiver.unread_bytes())
            }
        }
    }
}

impl CallerResponse {
    /// Returns `Close` if the handler asked to close the connection.
    pub(crate) fn persistence(&self) -> Persistence {
        let closes = self.headers.iter().any(|(name, value)| {
            name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close")
        });
        if closes { Persistence::Close } else { Persistence::KeepAlive }
    }

    /// Converts the response to the type that async-h1 encodes.
    pub(crate) fn into_http(self, id: &Name, persistence: Persistence) -> Response {
        let mut response = Response::new(status_code(self.status));
        let mut headers = self.headers;
        for (name, _) in &mut headers {
            name.make_ascii_lowercase();
        }
        strip_connection_headers(&mut headers);
        headers.retain(|(name, value)| is_valid_header(name, value));
        response.set_body(match self.body {
            CallerBody::Whole(bytes) => Body::from_bytes(bytes),
            CallerBody::Held(held) => {
                let length_bytes = held.pieces().len();
                Body::from_reader(held, Some(length_bytes))
            }
            CallerBody::Stream(receiver) | CallerBody::UntilClose(receiver) => {
                Body::from_reader(receiver, None)
            }
            CallerBody::HeldUntilClose(held) => Body::from_reader(held, None),
        });
        response.remove_header("content-type");
        for (name, value) in &headers {
            response.append_header(name.as_str(), value.as_str());
        }
        response.insert_header(REQUEST_ID_HEADER, id.as_str());
        if persistence == Persistence::Close {
            response.insert_header("connection", "close");
        }
        response
    }
}

/// Returns the code, or one of its class if `http-types` doesn't know it; see [`restore_status`].
fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(match status {
        200..300 => StatusCode::Ok,
        300..400 => StatusCode::MultipleChoice,
        400..500 => StatusCode::BadRequest,
        500..600 => StatusCode::InternalServerError,
        _ => StatusCode::BadGateway,
    })
}

/// Puts a status that `http-types` doesn't know into the encoded head of its response.
///
/// A caller must get the status that the target gave: another one has another meaning.
pub(crate) fn restore_status(head: &mut Vec<u8>, status: u16) {
    if !(200..600).contains(&status) || StatusCode::try_from(status).is_ok() {
        return;
    }
    if let Some(line_end) = head.windows(LINE_END.len()).position(|bytes| bytes == LINE_END) {
        // The reason may be empty, but not the space before it.
        head.splice(..line_end, format!("HTTP/1.1 {status} ").into_bytes());
    }
}
