/// How much of the other hosts' reports a host receives, from which it estimates their unreported
/// spending.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerVisibility {
    /// Fraction of the hosts whose reports are received, including this one.
    pub part: f64,
    /// Number of known hosts, including this one.
    pub hosts: usize,
    /// Maximum age of the information about a host between two reports, in milliseconds.
    pub pause_ms: u64,
    /// Whether the whole fleet started together with this host, so that nothing was spent before.
    pub is_new_fleet: bool,
}
