use lycheeford_config::Chunk;
use lycheeford_policy::TimeMs;

/// A newer configuration on its way from a peer.
///
/// An accepted configuration has to be in force everywhere within seconds, also
/// if the platform goes away right after it took it. Whoever has it in force
/// says so in its beats, and whoever lacks it asks.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationSpread {
    pub(super) asked_at: Option<TimeMs>,
    pub(super) chunks: Vec<Chunk>,
}
