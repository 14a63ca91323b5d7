use serde::{Deserialize, Serialize};

/// A final negative answer to a request, sent as soon as it is known.
///
/// docs/CALLERS.md lists each code with what the caller should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, from a closed set.
    pub code: RefusalCode,
    /// Whether the request ran at a target.
    pub ran: Ran,
    /// What went wrong and how to remedy it, for a person.
    pub message: String,
    /// When to come back, if coming back can help.
    pub retry_after_ms: Option<u64>,
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
        Refusal { code, ran: Ran::NotRun, message: message.into(), retry_after_ms }
    }

    /// Returns the same refusal of a request that `ran` says more of.
    ///
    /// A request that an earlier attempt may have run stays so, whatever stops
    /// the attempts after it.
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

    /// Returns a refusal of a request whose bytes may have reached a target.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, ran: Ran::Unknown, message: message.into(), retry_after_ms: None }
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

/// The reason of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The head is larger than allowed, or has too many headers.
    HeadTooLarge,
    /// The target or body is larger than allowed.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// No key, or an unknown or withdrawn one.
    BadKey,
    /// The key's customer may not call this route, model or adapter.
    NotAllowed,
    /// No such route, model or adapter.
    NotFound,
    /// The customer is over its rate and burst.
    OverRate,
    /// The answer can't be had before the request's deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited or ran.
    DeadlinePassed,
    /// Every queue that could take the request is full.
    Overloaded,
    /// No live target can serve the request.
    NoTarget,
    /// The target failed while it served the request.
    TargetFailed,
    /// The request crashed its targets before and isn't run again.
    CrashSuspect,
    /// The platform's service is needed for this request and can't be reached.
    PlatformUnavailable,
    /// This host can't confirm that its configuration is current.
    ConfigurationStale,
    /// The host stops before the request could be answered.
    HostStopping,
    /// A request with this idempotency key has been dispatched and its outcome isn't known.
    OutcomeUnknown,
    /// The idempotency key was used with another request.
    KeyReused,
}
