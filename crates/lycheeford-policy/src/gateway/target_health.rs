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
    /// The request was left because the target sent nothing, on a connection that stayed open.
    Silent,
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
    silence: Option<Silence>,
}

/// The failures of a target that has only been silent, which end when it is heard.
#[derive(Debug, Clone, Copy)]
struct Silence {
    in_row: u32,
    backoff_until: TimeMs,
    /// The fraction of failed requests before the silence.
    failed_part: f64,
}

impl TargetHealth {
    /// Records an answer after `latency_ms`.
    pub fn succeeded(&mut self, now: TimeMs, latency_ms: u64) {
        self.heard();
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
        if failure == TargetFailure::Silent {
            self.was_silent(now);
        }
        self.failed_part += SAMPLE_PART * (1.0 - self.failed_part);
        let backoff_ms = match failure {
            TargetFailure::Unreachable | TargetFailure::Broken => {
                let backoff_ms = backoff_ms(self.failures_in_row);
                self.failures_in_row += 1;
                backoff_ms
            }
            TargetFailure::Error if self.failed_part > FAILED_PART_MAX => ERROR_BACKOFF_MS,
            TargetFailure::Error | TargetFailure::Silent => return,
        };
        self.backoff_until = self.backoff_until.max(now + backoff_ms);
    }

    /// Records that the target was heard, and returns whether that ends a silence.
    pub fn heard(&mut self) -> bool {
        let Some(silence) = self.silence.take() else { return false };
        self.failed_part = self.failed_part.min(silence.failed_part);
        true
    }

    /// Forgets the recorded failures.
    pub fn forget_failures(&mut self) {
        self.silence = None;
        self.failures_in_row = 0;
        self.backoff_until = TimeMs::default();
        self.failed_part = 0.0;
    }

    /// Returns whether the target may receive a request.
    pub fn is_usable(&self, now: TimeMs) -> bool {
        let silent_until = self.silence.map(|silence| silence.backoff_until);
        now >= self.backoff_until.max(silent_until.unwrap_or_default())
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

    fn was_silent(&mut self, now: TimeMs) {
        let failed_part = self.failed_part;
        let first = Silence { in_row: 0, backoff_until: now, failed_part };
        let silence = self.silence.get_or_insert(first);
        let backoff_until = now + backoff_ms(silence.in_row);
        silence.backoff_until = silence.backoff_until.max(backoff_until);
        silence.in_row += 1;
    }

    fn weight(&self, now: TimeMs) -> f64 {
        (-(now.since_ms(self.updated_at) as f64) / HALF_LIFE_MS).exp2()
    }

    fn decay(&mut self, now: TimeMs) {
        self.failed_part *= self.weight(now);
        self.updated_at = now;
    }
}

/// Returns the backoff after the first failure that follows `failures` others in a row.
fn backoff_ms(failures: u32) -> u64 {
    (BACKOFF_MS_MIN << failures.min(DOUBLINGS_MAX)).min(BACKOFF_MS_MAX)
}
