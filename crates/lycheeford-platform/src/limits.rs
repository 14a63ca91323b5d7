/// Bounds on the calls to the platform.
#[derive(Debug, Clone)]
pub struct PlatformLimits {
    /// How long a connection may take to open.
    pub connect_ms_max: u64,
    /// How long an answer may take; a watch gets its wait on top.
    pub answer_ms_max: u64,
    /// The largest answer that is read.
    pub answer_bytes_max: u64,
    /// How long an idle connection may be kept; a shorter time finds fewer silent ones.
    pub idle_ms_max: u64,
    /// Idle connections kept at once.
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
