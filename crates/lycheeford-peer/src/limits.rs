/// Bounds on the connections between daemons.
#[derive(Debug, Clone)]
pub struct PeerLimits {
    /// How long connecting may take.
    pub connect_ms_max: u64,
    /// How long an answer to a beat or a flush may take.
    pub answer_ms_max: u64,
    /// The pause between two beats to one member.
    pub beat_interval_ms: u64,
    /// The pause before connecting again after a fresh connection failed.
    pub reconnect_ms: u64,
    /// How long an incoming connection may be without a frame.
    pub idle_ms_max: u64,
    /// The largest frame.
    pub frame_bytes_max: usize,
    /// Messages that wait for one member; more are dropped.
    pub queue_messages_max: usize,
    /// Messages that go out before a flush.
    pub batch_messages_max: usize,
    /// Incoming connections at once.
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
