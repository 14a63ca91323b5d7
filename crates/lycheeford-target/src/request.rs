use std::net::SocketAddr;

use http_types::url::Position;
use http_types::{Body, Method, Request, Url};
use lycheeford_http::{SharedBody, is_valid_header, strip_connection_headers};

use crate::TargetError;
use crate::error::Code;

/// A call to a target.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query, normalised and percent-encoded, starting with a slash.
    pub path_and_query: String,
    /// The value of the Host header, or `None` for the target's address.
    pub host: Option<String>,
    /// The headers, without those of the connection, which the client sets.
    pub headers: Vec<(String, String)>,
    /// How the answer is recognized if targets repeat the ids of calls; `None` if they don't.
    pub echo: Option<Echo>,
    /// The complete body.
    pub body: SharedBody,
    /// Which kind of connection carries the call.
    pub connection: Connection,
    /// Replaces [`TargetLimits::first_byte_ms_max`](crate::TargetLimits) for this call.
    pub first_byte_ms_max: Option<u64>,
}

/// The header in which targets repeat the id of a call, in every answer to it.
///
/// An answer with another id belongs to an earlier call on the same connection and is skipped. An
/// answer without an id is accepted only on a connection that carried no other call, and one with
/// two ids never.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Echo {
    /// The name of the header, in the request and in its answer.
    pub header: String,
    /// The id of this call. A pooled connection that has carried a call with the same id isn't used.
    ///
    /// `None` for a call without an id, which gets a connection of its own.
    pub id: Option<String>,
}

/// Which kind of connection carries a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// An idle connection of the pool, or a new one if there is none; it returns to the pool after
    /// a complete answer, unless the target closes it.
    Pooled,
    /// A new connection that is closed after the call.
    Fresh,
    /// A new connection that is reset if the call is dropped before its complete answer arrives.
    ///
    /// The reset discards bytes that are still in this host's send buffer; after a
    /// close, the kernel would deliver them as soon as the network allows.
    Revocable,
}

impl TargetRequest {
    /// Converts the request to the type that async-h1 encodes.
    pub(crate) fn to_http(&self, address: SocketAddr) -> Result<Request, TargetError> {
        let mut request = Request::new(self.method, self.url(address)?);
        let body = Body::from_reader(self.body.reader(), Some(self.body.len()));
        request.set_body(body);
        request.remove_header("content-type");
        let mut headers = self.headers.clone();
        for (name, _) in &mut headers {
            name.make_ascii_lowercase();
        }
        strip_connection_headers(&mut headers);
        for (name, value) in &headers {
            if !is_valid_header(name, value) {
                return Err(Code::Request { what: "a header isn't plain ASCII" }.into());
            }
            request.append_header(name.as_str(), value.as_str());
        }
        if let Some(host) = &self.host {
            if !is_valid_header("host", host) {
                return Err(Code::Request { what: "the host isn't plain ASCII" }.into());
            }
            request.insert_header("host", host.as_str());
        }
        if !self.may_share_connection() {
            request.insert_header("connection", "close");
        }
        Ok(request)
    }

    /// Returns whether the call may use a connection that carries other calls, too.
    ///
    /// A copy of an answer to HEAD has no body, whatever its length, so that the end of a copy is
    /// known only among calls with other methods.
    pub(crate) fn may_share_connection(&self) -> bool {
        let has_id = self.echo.as_ref().is_none_or(|echo| echo.id.is_some());
        self.connection == Connection::Pooled && has_id && self.method != Method::Head
    }

    /// Returns the id of the call, if targets repeat it.
    pub(crate) fn id(&self) -> Option<&str> {
        self.echo.as_ref()?.id.as_deref()
    }

    /// Returns the URL, or an error if parsing changes the path: the target must
    /// receive exactly the path that was used for routing.
    fn url(&self, address: SocketAddr) -> Result<Url, TargetError> {
        let url = Url::parse(&format!("http://{address}{}", self.path_and_query))
            .map_err(|_| Code::Request { what: "the path isn't valid" })?;
        if url[Position::BeforePath..Position::AfterQuery] != self.path_and_query {
            return Err(Code::Request { what: "the path isn't normalised" }.into());
        }
        Ok(url)
    }
}
