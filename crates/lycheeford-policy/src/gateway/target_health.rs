use crate::TimeMs;

/// Weight of a new sample in an average.
const SAMPLE_PART: f64 = 0.2;
/// First backoff of a target that cannot be reached.
const BACKOFF_MS_MIN: u64 = 200;
/// Longest backoff.
const BACKOFF_MS_MAX: u64 = 3_000;
/// Number of doublings after which the longest backoff is reached.
const DOUBLINGS_MAX: u32 = 4;
/// Fraction of failed requests above which a target that answers with errors is backed off from.
const FAILED_PART_MAX: f64 = 0.4;
/// Backoff of such a target.
const ERROR_BACKOFF_MS: u64 = 1_000;
/// Half-life of the recorded failures and latency, so that a target receives requests again once it
/// has recovered.
const HALF_LIFE_MS: f64 = 3_000.0;

/// How a request failed at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFailure {
    /// The target could not be reached; the request was not sent.
    Unreachable,
    /// The request was sent, and no complete answer arrived.
    Broken,
    /// The target answered with an error of its own.
    Error,
}

/// Health of one target, as observed from requests.
///
/// Health checks produce both false positives and false negatives, so only requests count.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failures_in_row: u32,
    backoff_until: TimeMs,
    failed_part: f64,
    latency_ms: Option<f64>,
    updated_at: TimeMs,
}

impl TargetHealth {
    /// Records an answer after `latency_ms`.
    pub fn succeeded(&mut self, now: TimeMs, latency_ms: u64) {
        self.decay(now);
        self.failures_in_row = 0;
        self.backoff_until = TimeMs::default();
        self.failed_part *= 1.0 - SAMPLE_PART;
        let latency_ms = latency_ms as f64;
        let known_ms = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(known_ms + SAMPLE_PART * (latency_ms - known_ms));
    }

    /// Records a failure.
    pub fn failed(&mut self, now: TimeMs, failure: TargetFailure) {
        self.decay(now);
        self.failed_part += SAMPLE_PART * (1.0 - self.failed_part);
        let backoff_ms = match failure {
            TargetFailure::Unreachable | TargetFailure::Broken => {
                let doublings = self.failures_in_row.min(DOUBLINGS_MAX);
                self.failures_in_row += 1;
                (BACKOFF_MS_MIN << doublings).min(BACKOFF_MS_MAX)
            }
            TargetFailure::Error if self.failed_part > FAILED_PART_MAX => ERROR_BACKOFF_MS,
            TargetFailure::Error => return,
        };
        self.backoff_until = self.backoff_until.max(now + backoff_ms);
    }

    /// Forgets the recorded failures.
    pub fn forget_failures(&mut self) {
        self.failures_in_row = 0;
        self.backoff_until = TimeMs::default();
        self.failed_part = 0.0;
    }

    /// Returns whether the target may receive a request.
    pub fn is_usable(&self, now: TimeMs) -> bool {
        now >= self.backoff_until
    }

    /// Returns the decayed fraction of recent requests that failed.
    pub fn failed_part(&self, now: TimeMs) -> f64 {
        self.failed_part * self.weight(now)
    }

    /// Returns the average latency, which decays from the observed value towards `usual_ms`.
    pub fn latency_ms(&self, now: TimeMs, usual_ms: f64) -> f64 {
        let seen_ms = self.latency_ms.unwrap_or(usual_ms);
        usual_ms + (seen_ms - usual_ms) * self.weight(now)
    }

    fn weight(&self, now: TimeMs) -> f64 {
        (-(now.since_ms(self.updated_at) as f64) / HALF_LIFE_MS).exp2()
    }

    fn decay(&mut self, now: TimeMs) {
        self.failed_part *= self.weight(now);
        self.updated_at = now;
    }
}
