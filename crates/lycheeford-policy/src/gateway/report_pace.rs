/// The bytes that are sent without a pause; a link drops datagrams that don't fit its queue.
const BURST_BYTES: u64 = 12_000;
/// The pace over the bursts: 4 Mbit/s, under half of the slowest link of a host.
const BYTES_PER_MS: u64 = 500;

/// Spreads the reports of a round, so that they don't fill the queue of the host's link.
///
/// Reports grow with what runs and what is asked for. A relay that sent all of
/// them at once would lose the last ones of every round, and those partners
/// would take it for silent.
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
    /// What was sent since the last pause.
    burst_bytes: u64,
}

impl ReportPace {
    /// Notes a report that was sent; returns how many milliseconds to pause before the next one.
    pub fn sent(&mut self, bytes: usize) -> Option<u64> {
        self.burst_bytes += bytes as u64;
        if self.burst_bytes < BURST_BYTES {
            return None;
        }
        Some(std::mem::take(&mut self.burst_bytes) / BYTES_PER_MS)
    }
}
