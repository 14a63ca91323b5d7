use crate::TimeMs;

/// How much of a new sample enters an average.
const SAMPLE_PART: f64 = 0.2;
/// The first time for which a target that can't be reached is passed over.
const PASS_OVER_MS_MIN: u64 = 200;
/// The longest such time.
const PASS_OVER_MS_MAX: u64 = 3_000;
/// The doublings that reach it.
const DOUBLINGS_MAX: u32 = 4;
/// The part of failed requests above which a target is passed over for a while.
const FAILED_PART_MAX: f64 = 0.4;
/// How long a target that fails many requests gets no other one.
const FAILING_PAUSE_MS: u64 = 1_000;
/// The time after which half of what was learnt of a target is forgotten, so
/// that it gets requests again once it has recovered.
const FORGET_HALF_MS: f64 = 3_000.0;

/// How a request failed at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFailure {
    /// It couldn't be reached; the request was not sent.
    Unreachable,
    /// It was sent, and no whole answer came.
    Broken,
    /// The target answered with an error of its own.
    Error,
}

/// What requests saw of one target.
///
/// Health checks lie in both directions, so that only requests count.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failures_in_row: u32,
    passed_over_until: TimeMs,
    failed_part: f64,
    latency_ms: Option<f64>,
    updated_at: TimeMs,
}

impl TargetHealth {
    /// Takes in an answer after `latency_ms`.
    pub fn succeeded(&mut self, now: TimeMs, latency_ms: u64) {
        self.forget(now);
        self.failures_in_row = 0;
        self.passed_over_until = TimeMs::default();
        self.failed_part *= 1.0 - SAMPLE_PART;
        let latency_ms = latency_ms as f64;
        let known_ms = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(known_ms + SAMPLE_PART * (latency_ms - known_ms));
    }

    /// Takes in a failure.
    pub fn failed(&mut self, now: TimeMs, failure: TargetFailure) {
        self.forget(now);
        self.failed_part += SAMPLE_PART * (1.0 - self.failed_part);
        let pause_ms = match failure {
            TargetFailure::Unreachable | TargetFailure::Broken => {
                let doublings = self.failures_in_row.min(DOUBLINGS_MAX);
                self.failures_in_row += 1;
                (PASS_OVER_MS_MIN << doublings).min(PASS_OVER_MS_MAX)
            }
            TargetFailure::Error if self.failed_part > FAILED_PART_MAX => FAILING_PAUSE_MS,
            TargetFailure::Error => return,
        };
        self.passed_over_until = self.passed_over_until.max(now + pause_ms);
    }

    /// Returns whether the target may get a request.
    pub fn is_usable(&self, now: TimeMs) -> bool {
        now >= self.passed_over_until
    }

    /// Returns the part of the last requests that failed, as it counts now.
    pub fn failed_part(&self, now: TimeMs) -> f64 {
        self.failed_part * self.weight(now)
    }

    /// Returns the usual latency as it counts now, between what was seen and `usual_ms`.
    pub fn latency_ms(&self, now: TimeMs, usual_ms: f64) -> f64 {
        let seen_ms = self.latency_ms.unwrap_or(usual_ms);
        usual_ms + (seen_ms - usual_ms) * self.weight(now)
    }

    fn weight(&self, now: TimeMs) -> f64 {
        (-(now.since_ms(self.updated_at) as f64) / FORGET_HALF_MS).exp2()
    }

    fn forget(&mut self, now: TimeMs) {
        self.failed_part *= self.weight(now);
        self.updated_at = now;
    }
}
