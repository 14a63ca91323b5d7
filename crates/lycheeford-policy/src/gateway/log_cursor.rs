use crate::TimeMs;

/// How long sent changes count as known although the receiver has not confirmed them.
const IN_TRANSIT_MS: u64 = 200;

/// Version of a log up to which another host knows it, with the changes in transit to that host.
///
/// If each message contained every change that the host lacked according to its last report, a log
/// that changes a hundred times per second would be sent many times over, and the messages to all
/// requesting hosts would saturate the sender's link. So changes that were just sent count as
/// known. Changes that may have been lost are sent again after a while.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogCursor {
    /// Token and version that the host reported as known.
    known: (u64, u64),
    sent_up_to: (u64, u64),
    /// When the first of the changes in transit was sent.
    in_transit_since: TimeMs,
}

impl LogCursor {
    /// Records the token and version up to which the host reports to know the log.
    pub fn heard(&mut self, known: (u64, u64)) {
        self.known = known;
    }

    /// Returns the token and the version after which changes should be sent to the host.
    pub fn after(&self, now: TimeMs) -> (u64, u64) {
        if self.is_in_transit(now) { self.sent_up_to.max(self.known) } else { self.known }
    }

    /// Records the token and version up to which changes are being sent to the host.
    pub fn tell(&mut self, now: TimeMs, up_to: (u64, u64)) {
        if !self.is_in_transit(now) || self.sent_up_to <= self.known {
            self.in_transit_since = now;
        }
        self.sent_up_to = up_to;
    }

    fn is_in_transit(&self, now: TimeMs) -> bool {
        now.since_ms(self.in_transit_since) < IN_TRANSIT_MS
    }
}
