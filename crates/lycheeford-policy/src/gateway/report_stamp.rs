use crate::TimeMs;

/// Bits of the incarnation that are used as an offset. The sum with any uptime stays far within 64
/// bits.
const OFFSET_BITS: u32 = 52;

/// The times that this host's reports carry, and the recognition of those times in the answers.
///
/// Other hosts return the time of the last report that they received, and this host takes what they
/// say as true at some moment after that time. The clock starts anew when a machine loses power, so
/// a time of an earlier incarnation could lie in the future of the current one, and what is said
/// with it would count as current until then. The times are therefore offset by the incarnation, and
/// a time outside the life of this process is not one of its own.
///
/// ```
/// use lycheeford_policy::{ReportStamp, TimeMs};
///
/// let (start, now) = (TimeMs::from_ms(0), TimeMs::from_ms(500));
/// let stamp = ReportStamp::new(start, 0x1234_5678_9abc);
/// let sent = stamp.mark(TimeMs::from_ms(300));
/// assert_eq!(stamp.own_time(now, sent), Some(TimeMs::from_ms(300)));
/// let earlier = ReportStamp::new(start, 0x0bad_cafe_0000).mark(TimeMs::from_ms(300));
/// assert_eq!(stamp.own_time(now, earlier), None);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct ReportStamp {
    started_at: TimeMs,
    offset_ms: u64,
}

impl ReportStamp {
    /// Returns the stamp of a process that started at `started_at` with a random `incarnation`.
    pub fn new(started_at: TimeMs, incarnation: u64) -> ReportStamp {
        ReportStamp { started_at, offset_ms: incarnation & ((1 << OFFSET_BITS) - 1) }
    }

    /// Returns the time that a report sent at `now` carries.
    pub fn mark(&self, now: TimeMs) -> TimeMs {
        now + self.offset_ms
    }

    /// Returns when this process sent the report that carried `marked`, or `None` if it sent none.
    pub fn own_time(&self, now: TimeMs, marked: TimeMs) -> Option<TimeMs> {
        let sent_at = TimeMs::from_ms(marked.as_ms().checked_sub(self.offset_ms)?);
        (self.started_at <= sent_at && sent_at <= now).then_some(sent_at)
    }
}
