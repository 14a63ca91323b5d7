use crate::TimeMs;

const RESERVE_PER_S: f64 = 1.0;
const BALANCE_MAX: f64 = 50.0;

/// Bounds retries and hedged copies to a part of the requests.
///
/// When targets fail, unbounded retries multiply the load on the rest. Each
/// request earns a fraction of a retry, and a small reserve a second lets a
/// quiet host retry at all.
///
/// ```
/// use lycheeford_policy::{RetryBudget, TimeMs};
///
/// let now = TimeMs::from_ms(0);
/// let mut budget = RetryBudget::new(0.1);
/// assert!(!budget.withdraw(now));
/// for _ in 0..10 {
///     budget.deposit();
/// }
/// assert!(budget.withdraw(now));
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retries_per_request: f64,
    balance: f64,
    refilled_at: Option<TimeMs>,
}

impl RetryBudget {
    /// Returns an empty budget that earns `retries_per_request`.
    pub fn new(retries_per_request: f64) -> RetryBudget {
        RetryBudget { retries_per_request, balance: 0.0, refilled_at: None }
    }

    /// Earns for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.retries_per_request).min(BALANCE_MAX);
    }

    /// Takes one retry out of the budget; returns false if none is left.
    pub fn withdraw(&mut self, now: TimeMs) -> bool {
        let idle_ms = self.refilled_at.map_or(0, |at| now.since_ms(at));
        self.refilled_at = Some(now);
        self.balance = (self.balance + RESERVE_PER_S * idle_ms as f64 / 1_000.0).min(BALANCE_MAX);
        if self.balance < 1.0 - 1e-9 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
