use crate::TimeMs;

const RESERVE_PER_S: f64 = 1.0;
const BALANCE_MAX: f64 = 50.0;

/// Limits retries and hedged requests to a fraction of the requests.
///
/// When targets fail, unlimited retries multiply the load on the remaining targets. Each request
/// earns a fraction of a retry, and a small constant rate lets a host with few requests retry too.
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
    /// Returns an empty budget that earns `retries_per_request` with each request.
    pub fn new(retries_per_request: f64) -> RetryBudget {
        RetryBudget { retries_per_request, balance: 0.0, refilled_at: None }
    }

    /// Adds what a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.retries_per_request).min(BALANCE_MAX);
    }

    /// Takes one retry out of the budget; returns false if less than one is left.
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
