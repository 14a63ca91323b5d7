use crate::TimeMs;

/// How long what was told counts as known without a word that it arrived.
const UNDER_WAY_MS: u64 = 200;

/// Up to where another host knows a log of versions, with what is on its way to it.
///
/// If each message told all that the host lacked when it last said so, a log
/// that changes a hundred times a second would be told many times over, and
/// the messages to all who ask would fill the sender's link. So what was told
/// just now counts as known. What may be lost is told again after a while.
#[derive(Debug, Clone, Copy, Default)]
pub struct ToldLog {
    /// The token and the version that the host said it knows.
    known: (u64, u64),
    told: (u64, u64),
    /// When the first of what is under way was told.
    under_way_since: TimeMs,
}

impl ToldLog {
    /// Takes in up to where the host says it knows the log.
    pub fn heard(&mut self, known: (u64, u64)) {
        self.known = known;
    }

    /// Returns the token and the version after which the host is to be told.
    pub fn after(&self, now: TimeMs) -> (u64, u64) {
        if self.is_under_way(now) { self.told.max(self.known) } else { self.known }
    }

    /// Notes up to where the host is told now.
    pub fn tell(&mut self, now: TimeMs, up_to: (u64, u64)) {
        if !self.is_under_way(now) || self.told <= self.known {
            self.under_way_since = now;
        }
        self.told = up_to;
    }

    fn is_under_way(&self, now: TimeMs) -> bool {
        now.since_ms(self.under_way_since) < UNDER_WAY_MS
    }
}
