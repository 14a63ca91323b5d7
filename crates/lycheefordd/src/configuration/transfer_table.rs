use lycheeford_config::Chunk;
use lycheeford_policy::TimeMs;

/// The transfer of a newer configuration from a peer.
///
/// An accepted configuration has to be in force on every host within seconds, even
/// if the platform fails right after accepting it. Each daemon therefore announces the
/// revision that it has in force in its heartbeats, and a daemon with an older one requests it.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationTransfer {
    pub(super) requested_at: Option<TimeMs>,
    pub(super) chunks: Vec<Chunk>,
}
