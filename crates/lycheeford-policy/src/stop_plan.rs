use std::fmt;

use crate::{Ran, TimeMs};

/// The time after the stop signal until which a host starts requests that it only expects to end.
///
/// Most callers that send a request so early don't know of the stop yet.
const EARLY_MS: u64 = 2_500;
/// How long a sound target may be silent in the middle of a request.
pub(crate) const SILENCE_MS_MAX: u64 = 2_000;

/// The time that a stopping host has, and the times that its shutdown steps need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// The time from the stop signal until the process is killed.
    pub grace_ms: u64,
    /// How long before the kill requests without an answer get a final response.
    pub answer_ms: u64,
    /// How long before the kill the process ends all running work.
    pub end_ms: u64,
}

/// A request that a stopping host could send to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateRequest {
    /// When this host had read it.
    pub arrived_at: TimeMs,
    /// When it would be sent.
    pub sent_at: TimeMs,
    /// When it ends at the latest, with the target's answer or without.
    pub final_at: TimeMs,
    /// The time that it is expected to take, by the run times of earlier requests.
    pub run_ms: u64,
    /// Whether an earlier attempt ran.
    pub ran: Ran,
}

/// What a stopping host knew of a request that it didn't send to a target.
///
/// All times but the last count from the moment at which the request would have been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopShortfall {
    /// The time until requests without an answer get a final response.
    pub left_ms: u64,
    /// The time that the request was expected to take.
    pub run_ms: u64,
    /// The time until the request would have ended at the latest.
    pub final_in_ms: u64,
    /// How long after the stop signal it arrived; zero if it arrived before.
    pub arrived_after_ms: u64,
}

impl fmt::Display for StopShortfall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StopShortfall { left_ms, run_ms, final_in_ms, arrived_after_ms } = self;
        write!(
            formatter,
            "arrived {arrived_after_ms} ms after the stop signal; {left_ms} ms left, expected to \
             take {run_ms} ms and to end in {final_in_ms} ms at the latest"
        )
    }
}

/// The schedule of a stopping host until it is killed.
///
/// Callers keep using a host's address for a while, so that a stopping host still gets requests. It
/// starts a request if its deadline passes before the process ends, since it then ends in any case.
/// Others it starts only early in the stop, and only if they should end in time although their
/// target may be silent for a while. It refuses the rest before they run, so that another host can
/// serve them. Requests without an answer shortly before the end get a final response, since a
/// connection that just closes tells its caller nothing.
///
/// ```
/// use lycheeford_policy::{LateRequest, Ran, StopPlan, StopTimes, TimeMs};
///
/// let times = StopTimes { grace_ms: 8_000, answer_ms: 600, end_ms: 400 };
/// let stopped_at = TimeMs::from_ms(10_000);
/// let plan = StopPlan::new(stopped_at, times);
/// let request = |after_ms, deadline_ms| LateRequest {
///     arrived_at: stopped_at + after_ms,
///     sent_at: stopped_at + after_ms,
///     final_at: stopped_at + after_ms + deadline_ms,
///     run_ms: 100,
///     ran: Ran::NotRun,
/// };
/// assert!(plan.check(&request(1_000, 11_000)).is_ok());
/// assert!(plan.check(&request(4_000, 3_000)).is_ok());
/// let shortfall = plan.check(&request(4_000, 11_000)).unwrap_err();
/// assert_eq!((shortfall.left_ms, shortfall.final_in_ms), (3_400, 11_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    stopped_at: TimeMs,
    times: StopTimes,
}

impl StopPlan {
    /// Returns the schedule of a host that got the stop signal at `stopped_at`.
    pub fn new(stopped_at: TimeMs, times: StopTimes) -> StopPlan {
        StopPlan { stopped_at, times }
    }

    /// Decides whether a request may be sent to a target.
    ///
    /// A refusal promises that a request hasn't run, so one that may have run is tried again as long
    /// as it is expected to end.
    ///
    /// # Errors
    ///
    /// Returns the inputs of the decision if the request may not be sent.
    pub fn check(&self, request: &LateRequest) -> Result<(), StopShortfall> {
        let LateRequest { arrived_at, sent_at, final_at, run_ms, ran } = *request;
        let arrived_after_ms = arrived_at.since_ms(self.stopped_at);
        let is_expected_to_end = match ran {
            Ran::NotRun => {
                arrived_after_ms <= EARLY_MS && self.can_finish(sent_at, run_ms + SILENCE_MS_MAX)
            }
            Ran::Unknown | Ran::Ran => self.can_finish(sent_at, run_ms),
        };
        if final_at <= self.answer_by() || is_expected_to_end {
            return Ok(());
        }
        Err(StopShortfall {
            left_ms: self.answer_by().since_ms(sent_at),
            run_ms,
            final_in_ms: final_at.since_ms(sent_at),
            arrived_after_ms,
        })
    }

    /// Returns whether work that starts at `begins_at` and takes `run_ms` ends in time.
    pub fn can_finish(&self, begins_at: TimeMs, run_ms: u64) -> bool {
        begins_at + run_ms < self.answer_by()
    }

    /// Returns when requests that still have no answer get a final response.
    pub fn answer_by(&self) -> TimeMs {
        self.stopped_at + self.times.grace_ms.saturating_sub(self.times.answer_ms)
    }

    /// Returns when the process ends all running work.
    pub fn end_by(&self) -> TimeMs {
        self.stopped_at + self.times.grace_ms.saturating_sub(self.times.end_ms)
    }

    /// Returns when the process ends all running work if the final responses are sent at `sent_at`.
    ///
    /// A host that was paused, or got no processor, sends them late. They take as long as planned
    /// nevertheless.
    pub fn end_after(&self, sent_at: TimeMs) -> TimeMs {
        let sending_ms = self.times.answer_ms.saturating_sub(self.times.end_ms);
        self.end_by().max(sent_at + sending_ms)
    }
}
