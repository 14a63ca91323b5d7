use std::net::SocketAddr;

use http_types::url::Position;
use http_types::{Body, Method, Request, Url};
use lycheeford_http::{is_sendable, strip_connection_headers};

use crate::TargetError;
use crate::error::Code;

/// A call to a target.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// The method.
    pub method: Method,
    /// The path with the query, normalised and percent-encoded, starting with a slash.
    pub path_and_query: String,
    /// The host that the request names, or `None` for the target's address.
    pub host: Option<String>,
    /// The headers; those that concern the connection are set by the client.
    pub headers: Vec<(String, String)>,
    /// The header that the target repeats in its answer, if it does.
    ///
    /// An answer with another value belongs to an earlier request on the same
    /// connection and is passed over.
    pub echo: Option<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Which connection carries the call.
    pub connection: Connection,
    /// Replaces [`TargetLimits::first_byte_ms_max`](crate::TargetLimits) for this call.
    pub first_byte_ms_max: Option<u64>,
}

/// Which connection carries a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// An unused connection of the pool if there is one.
    Pooled,
    /// A connection of its own, which isn't kept.
    Fresh,
    /// A connection of its own that is reset if the call is dropped before its answer is whole.
    ///
    /// What still lies in this host's buffers is discarded then, where closing
    /// would deliver it whenever the way is free again.
    Revocable,
}

impl TargetRequest {
    /// Returns the request as async-h1 encodes it.
    pub(crate) fn to_http(&self, address: SocketAddr) -> Result<Request, TargetError> {
        let mut request = Request::new(self.method, self.url(address)?);
        request.set_body(Body::from_bytes(self.body.clone()));
        request.remove_header("content-type");
        let mut headers = self.headers.clone();
        for (name, _) in &mut headers {
            name.make_ascii_lowercase();
        }
        strip_connection_headers(&mut headers);
        for (name, value) in &headers {
            if !is_sendable(name, value) {
                return Err(Code::Request { what: "a header isn't plain ASCII" }.into());
            }
            request.append_header(name.as_str(), value.as_str());
        }
        if let Some(host) = &self.host {
            if !is_sendable("host", host) {
                return Err(Code::Request { what: "the host isn't plain ASCII" }.into());
            }
            request.insert_header("host", host.as_str());
        }
        if self.connection != Connection::Pooled {
            request.insert_header("connection", "close");
        }
        Ok(request)
    }

    /// Returns the URL, unless parsing it changes the path: the target must get
    /// the very path that the router decided on.
    fn url(&self, address: SocketAddr) -> Result<Url, TargetError> {
        let url = Url::parse(&format!("http://{address}{}", self.path_and_query))
            .map_err(|_| Code::Request { what: "the path isn't valid" })?;
        if url[Position::BeforePath..Position::AfterQuery] != self.path_and_query {
            return Err(Code::Request { what: "the path isn't normalised" }.into());
        }
        Ok(url)
    }
}
