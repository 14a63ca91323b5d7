use serde::{Deserialize, Serialize};

use crate::StopShortfall;

/// A final error response to a request, sent as soon as it is known that the request cannot be
/// served.
///
/// docs/CALLERS.md lists each code with what the caller should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason as one of a fixed set of codes.
    pub code: RefusalCode,
    /// Whether the request ran at a target.
    pub ran: Ran,
    /// A message for people: what went wrong and how to remedy it.
    pub message: String,
    /// When the caller should retry; `None` if a retry does not help.
    pub retry_after_ms: Option<u64>,
    /// Why a stopping host didn't start the request; only for its log.
    pub shortfall: Option<StopShortfall>,
}

impl Refusal {
    /// Returns a refusal of a request that reached no target.
    ///
    /// ```
    /// use lycheeford_policy::{Ran, Refusal, RefusalCode};
    ///
    /// let refusal = Refusal::not_run(RefusalCode::OverRate, "wait for tokens", Some(1_500));
    /// assert_eq!(refusal.ran, Ran::NotRun);
    /// ```
    pub fn not_run(
        code: RefusalCode,
        message: impl Into<String>,
        retry_after_ms: Option<u64>,
    ) -> Refusal {
        let message = message.into();
        Refusal { code, ran: Ran::NotRun, message, retry_after_ms, shortfall: None }
    }

    /// Returns the refusal with `ran` raised to the outcome of an earlier attempt, if that is
    /// greater.
    ///
    /// A request that an earlier attempt may have run keeps that outcome, whatever ended the later
    /// attempts.
    ///
    /// ```
    /// use lycheeford_policy::{Ran, Refusal, RefusalCode};
    ///
    /// let refusal = Refusal::not_run(RefusalCode::NoTarget, "come back later", None);
    /// assert_eq!(refusal.after(Ran::Unknown).ran, Ran::Unknown);
    /// ```
    pub fn after(self, ran: Ran) -> Refusal {
        Refusal { ran: self.ran.max(ran), ..self }
    }

    /// Returns a refusal of a request of which bytes may have reached a target.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { ran: Ran::Unknown, ..Refusal::not_run(code, message, None) }
    }

    /// Returns the refusal with the reason why a stopping host didn't start the request.
    pub fn with_shortfall(self, shortfall: StopShortfall) -> Refusal {
        Refusal { shortfall: Some(shortfall), ..self }
    }
}

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of the request reached a target.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The target ran the request.
    Ran,
}

/// The reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The request head is larger than allowed, or has too many headers.
    HeadTooLarge,
    /// The request target or the body is larger than allowed.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// The request has no API key, or an unknown or withdrawn one.
    BadKey,
    /// The customer that owns the key may not call this route, model or adapter.
    NotAllowed,
    /// The route, model or adapter does not exist.
    NotFound,
    /// The customer exceeds its rate and burst.
    OverRate,
    /// The request cannot be answered before its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited or ran.
    DeadlinePassed,
    /// Every queue that could take the request is full.
    Overloaded,
    /// No live target can serve the request.
    NoTarget,
    /// The target failed while it served the request.
    TargetFailed,
    /// The request crashed targets before and is not run again.
    CrashSuspect,
    /// The platform's service is needed for this request and is unreachable.
    PlatformUnavailable,
    /// This host cannot confirm that its configuration is current.
    ConfigurationStale,
    /// The host shuts down before the request could be answered.
    HostStopping,
    /// A request with this idempotency key was dispatched and its outcome is unknown.
    OutcomeUnknown,
    /// The idempotency key was already used with another request.
    KeyReused,
}
