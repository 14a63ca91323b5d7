/// Limits on the connections between daemons.
#[derive(Debug, Clone)]
pub struct PeerLimits {
    /// The longest time to establish a connection.
    pub connect_ms_max: u64,
    /// The longest time to write a frame, to wait for the answer to a beat or a flush, and to wait
    /// for the first frame of an incoming connection.
    pub answer_ms_max: u64,
    /// The pause after the reply to a beat before the next beat to the same member.
    pub beat_interval_ms: u64,
    /// The pause before a new connection after a fresh connection failed.
    pub reconnect_ms: u64,
    /// The longest time that an incoming connection may be idle between two frames.
    pub idle_ms_max: u64,
    /// The size of the largest frame that is accepted.
    pub frame_bytes_max: usize,
    /// The most messages queued for one member; further ones are dropped.
    pub queue_messages_max: usize,
    /// The most messages sent before a flush.
    pub batch_messages_max: usize,
    /// The most incoming connections open at the same time; further ones are closed.
    pub connections_max: usize,
}

impl Default for PeerLimits {
    fn default() -> PeerLimits {
        PeerLimits {
            connect_ms_max: 500,
            answer_ms_max: 800,
            beat_interval_ms: 250,
            reconnect_ms: 250,
            idle_ms_max: 10_000,
            frame_bytes_max: 1 << 20,
            queue_messages_max: 1_024,
            batch_messages_max: 64,
            connections_max: 2_048,
        }
    }
}
