/// Number of bytes that are sent without a pause; a link drops datagrams that exceed its queue.
const BURST_BYTES: u64 = 12_000;
/// Average rate over the bursts: 4 Mbit/s, less than half of a host's slowest link.
const BYTES_PER_MS: u64 = 500;

/// Spreads the reports of a round over time, so that they do not fill the queue of the host's link.
///
/// Reports grow with running requests and demand. A relay that sent all of them at once would lose
/// the last ones of every round, and the affected partners would consider it silent.
///
/// ```
/// use lycheeford_policy::ReportPace;
///
/// let mut pace = ReportPace::default();
/// assert_eq!(pace.sent(6_000), None);
/// assert_eq!(pace.sent(6_000), Some(24));
/// assert_eq!(pace.sent(6_000), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReportPace {
    /// Bytes sent since the last pause.
    burst_bytes: u64,
}

impl ReportPace {
    /// Records that a report was sent; returns how many milliseconds to pause before the next one.
    pub fn sent(&mut self, bytes: usize) -> Option<u64> {
        self.burst_bytes += bytes as u64;
        if self.burst_bytes < BURST_BYTES {
            return None;
        }
        Some(std::mem::take(&mut self.burst_bytes) / BYTES_PER_MS)
    }
}
