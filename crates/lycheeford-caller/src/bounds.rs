/// The bytes that all request bodies in memory may take together.
pub(crate) const BODIES_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Limits on what a caller may send, hold and wait for.
///
/// Each keeps a slow or hostile caller from holding memory or a connection.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The longest head, with the request line.
    pub head_bytes_max: usize,
    /// How long a head may take from its first byte.
    pub head_ms_max: u64,
    /// The longest body, after removal of the chunk framing.
    pub body_bytes_max: usize,
    /// How long a body may take after its head.
    pub body_ms_max: u64,
    /// How long a connection may wait for the first byte of a request.
    pub idle_ms_max: u64,
    /// How long one write may wait for a caller that stopped reading.
    pub write_ms_max: u64,
    /// Connections open at once; further ones are refused at once.
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
            connections_max: 4_096,
        }
    }
}
