use crate::TimeMs;
use crate::stop_plan::SILENCE_MS_MAX;

/// Divides the silence of a target to get the time within which another one must have been heard
/// to count as better off. Targets that fall silent together are heard for the last time within a
/// moment of each other.
const HEARD_WITHIN_DIVISOR: u64 = 2;

/// When this host last heard a target, and whether requests wait for it.
///
/// A silence of one request doesn't tell a target that is paused from one that has failed. What
/// this host hears of other targets meanwhile does at least tell whether another one could do
/// better; see [`SilentService`].
///
/// ```
/// use lycheeford_policy::{Sign, TargetSilence, TimeMs};
///
/// let at = TimeMs::from_ms;
/// let mut target = TargetSilence::default();
/// target.sent(at(0));
/// target.heard(at(100));
/// assert_eq!(target.sign(at(1_300), 1_200), Sign::Silent);
/// target.heard(at(1_310));
/// assert_eq!(target.sign(at(1_320), 1_200), Sign::Heard);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct TargetSilence {
    waiting: u32,
    /// When the first of the waiting requests was sent.
    waiting_since: TimeMs,
    heard_at: Option<TimeMs>,
}

/// What is known of a target beside one that has been silent for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// It was heard in the later part of that time.
    Heard,
    /// Requests waited for it all through the later part, and it wasn't heard.
    Silent,
    /// Nothing waited for it long enough to tell.
    Unknown,
}

impl TargetSilence {
    /// Records that a request was sent to the target.
    pub fn sent(&mut self, now: TimeMs) {
        if self.waiting == 0 {
            self.waiting_since = now;
        }
        self.waiting += 1;
    }

    /// Records that a request at the target ended.
    pub fn ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records that a byte came from the target.
    pub fn heard(&mut self, now: TimeMs) {
        self.heard_at = Some(now);
    }

    /// Returns how long ago the target was last heard.
    pub fn heard_age_ms(&self, now: TimeMs) -> Option<u64> {
        self.heard_at.map(|at| now.since_ms(at))
    }

    /// Returns what is known of the target beside one that has been silent for `silent_ms`.
    pub fn sign(&self, now: TimeMs, silent_ms: u64) -> Sign {
        let later_part = now - silent_ms / HEARD_WITHIN_DIVISOR;
        if self.heard_at.is_some_and(|at| at > later_part) {
            Sign::Heard
        } else if self.waiting > 0 && self.waiting_since <= later_part {
            Sign::Silent
        } else {
            Sign::Unknown
        }
    }
}

/// The other targets of a service of which one has been silent, and whether to leave it for one of
/// them.
///
/// If all that can be heard are silent, moving a request gains nothing: the next target is as
/// silent, has to do the work again, and the move uses up retries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SilentService {
    heard: u32,
    silent: u32,
}

impl SilentService {
    /// Counts what is known of another target.
    pub fn count(&mut self, sign: Sign) {
        match sign {
            Sign::Heard => self.heard += 1,
            Sign::Silent => self.silent += 1,
            Sign::Unknown => {}
        }
    }

    /// Returns whether the silent target may be left for one of which `next` is known.
    pub fn may_leave_for(&self, next: Sign, silent_ms: u64) -> bool {
        match next {
            Sign::Heard => true,
            Sign::Silent => false,
            // One of which nothing is known is likely to be like the others, unless these have been
            // silent for longer than sound targets are.
            Sign::Unknown => self.heard > 0 || self.silent == 0 || silent_ms > SILENCE_MS_MAX,
        }
    }
}
