/// The memory that all request bodies together may take, unless the server shares an account.
pub(crate) const BODIES_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Limits on the size of requests, on waiting for callers, and on connections.
///
/// Each limit keeps a slow or hostile caller from holding memory or a
/// connection.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The largest request head, including the request line.
    pub head_bytes_max: usize,
    /// The longest time from the first byte of a head to its end.
    pub head_ms_max: u64,
    /// The largest body, not counting the chunk framing.
    pub body_bytes_max: usize,
    /// The longest time from the end of a head to the end of its body.
    pub body_ms_max: u64,
    /// How long a connection may wait for the first byte of a request; a change holds for waits
    /// that have begun.
    pub idle_ms_max: u64,
    /// How long one write may wait for a caller that stopped reading.
    pub write_ms_max: u64,
    /// The memory that a request takes besides its body, from its first byte until its response is
    /// written.
    pub request_bytes: usize,
    /// The most connections open at the same time; further ones are refused immediately.
    pub connections_max: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            head_bytes_max: 16 * 1024,
            head_ms_max: 5_000,
            body_bytes_max: 1024 * 1024,
            body_ms_max: 20_000,
            idle_ms_max: 60_000,
            write_ms_max: 20_000,
            request_bytes: 0,
            connections_max: 4_096,
        }
    }
}
