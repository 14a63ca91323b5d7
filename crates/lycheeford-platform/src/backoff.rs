use std::time::Duration;

/// Exponential backoff with jitter.
///
/// The upper bound of the delay doubles up to `ms_max`; each delay is drawn from the upper half
/// of the range up to that bound.
#[derive(Debug)]
pub(crate) struct Backoff {
    ms_min: u64,
    ms_max: u64,
    next_ms: u64,
}

impl Backoff {
    pub(crate) fn new(ms_min: u64, ms_max: u64) -> Backoff {
        let ms_min = ms_min.max(1);
        Backoff { ms_min, ms_max: ms_max.max(ms_min), next_ms: ms_min }
    }

    pub(crate) fn reset(&mut self) {
        self.next_ms = self.ms_min;
    }

    pub(crate) fn next_delay(&mut self) -> Duration {
        let upper_ms = self.next_ms;
        self.next_ms = (upper_ms * 2).min(self.ms_max);
        Duration::from_millis(rand::random_range(upper_ms.div_ceil(2)..=upper_ms))
    }
}
