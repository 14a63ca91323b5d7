use http_types::Method;

/// A call to a target.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// The method.
    pub method: Method,
    /// The path with the query, percent-encoded, starting with a slash.
    pub path_and_query: String,
    /// The headers; those that concern the connection are set by the client.
    pub headers: Vec<(String, String)>,
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
}
