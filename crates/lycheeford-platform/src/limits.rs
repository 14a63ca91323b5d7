/// Limits on connections and calls to the platform.
#[derive(Debug, Clone)]
pub struct PlatformLimits {
    /// How long a connection may take to open.
    pub connect_ms_max: u64,
    /// How long an answer may take; the wait of a watch is added.
    pub answer_ms_max: u64,
    /// The largest answer body that is accepted.
    pub answer_bytes_max: u64,
    /// How long an idle connection is kept; with a shorter time fewer calls meet a dead one.
    pub idle_ms_max: u64,
    /// The most idle connections that are kept.
    pub idle_connections_max: usize,
}

impl Default for PlatformLimits {
    fn default() -> PlatformLimits {
        PlatformLimits {
            connect_ms_max: 500,
            answer_ms_max: 2_000,
            answer_bytes_max: 64 << 20,
            idle_ms_max: 2_000,
            idle_connections_max: 8,
        }
    }
}
