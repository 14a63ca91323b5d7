use crate::TimeMs;

/// The allowed delay of a load beyond its planned time.
const LOAD_SLACK_MS: u64 = 500;
/// The least time that a target needs for a response.
const ANSWER_MS_MIN: u64 = 60;
/// The largest part of its remaining time that a request may wait without a planned load.
const UNPLANNED_WAIT_SHARE: f64 = 0.6;
/// Longest wait without a forecast, as a multiple of the objective. Patient requests are often
/// served by a load that is planned only later, and their callers may not come back after a refusal.
const UNPLANNED_WAIT_FACTOR: u64 = 2;
/// Least such wait, since a load takes longer than a short objective.
const UNPLANNED_WAIT_MS_MIN: u64 = 1_000;
/// The age from which a forecast refuses nobody. The holder forecasts again for each report of
/// demand, which is more frequent.
const FORECAST_MS_MAX: u64 = 1_000;
/// How long a host must have held the lease before its forecast that nothing can be loaded refuses
/// anybody: until then it may not know yet what the engines do.
const HOLDER_SETTLED_MS: u64 = 1_000;

/// When a model is expected to be ready, according to the host that plans loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadTime {
    /// The load is running or planned, and done at this time.
    Ready {
        /// When the model is ready.
        at: TimeMs,
    },
    /// No load is planned, and none could be done before this time.
    NotBefore {
        /// The earliest time at which a load could be done.
        at: TimeMs,
    },
}

/// A forecast for a model, as received from the lease holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadForecast {
    /// When the model is expected to be ready.
    pub time: LoadTime,
    /// When the forecast was received.
    pub heard_at: TimeMs,
    /// How long the sender had held the lease; `None` if it didn't say.
    pub held_ms: Option<u64>,
}

/// A request for a model that no usable target holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadWait {
    /// When the request began to wait for the model.
    pub started_at: TimeMs,
    /// When the request must have its response.
    pub final_at: TimeMs,
    /// The latency objective of the route.
    pub objective_ms: u64,
}

/// What a request does that waits for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadDecision {
    /// It waits, at most until this time.
    Wait {
        /// When the request is refused if the model isn't ready.
        until: TimeMs,
    },
    /// It is refused, since no load is done in time.
    Refuse {
        /// When the model is expected to be ready, from now.
        retry_after_ms: u64,
    },
}

impl LoadTime {
    /// Returns the time that the forecast states.
    pub fn at(self) -> TimeMs {
        match self {
            LoadTime::Ready { at } | LoadTime::NotBefore { at } => at,
        }
    }
}

impl LoadWait {
    /// Decides whether the request waits for its model.
    ///
    /// A refusal that was too eager costs the caller more than a wait that ends with its response,
    /// so a forecast that is old, that has passed or that comes from a new holder refuses nobody.
    /// The request then waits as without a forecast, at most for twice the objective.
    pub fn decide(&self, now: TimeMs, forecast: Option<&LoadForecast>) -> LoadDecision {
        let unplanned_until = self.unplanned_until();
        let wait = LoadDecision::Wait { until: unplanned_until };
        let Some(forecast) = forecast else { return wait };
        let is_fresh = now.since_ms(forecast.heard_at) <= FORECAST_MS_MAX;
        let retry_after_ms = forecast.time.at().since_ms(now);
        match forecast.time {
            LoadTime::Ready { at } if at + ANSWER_MS_MIN >= self.final_at => {
                if is_fresh {
                    LoadDecision::Refuse { retry_after_ms }
                } else {
                    wait
                }
            }
            LoadTime::Ready { at } => {
                let expected_until = (at + LOAD_SLACK_MS).min(self.final_at - ANSWER_MS_MIN);
                LoadDecision::Wait { until: unplanned_until.max(expected_until) }
            }
            LoadTime::NotBefore { at } => {
                let is_settled = forecast.held_ms.is_none_or(|ms| ms >= HOLDER_SETTLED_MS);
                // A patient request is served by a load that an engine becomes free for, whereas its
                // caller may not come back after a refusal.
                let is_in_objective = at < self.started_at + self.objective_ms;
                if is_fresh && is_settled && retry_after_ms > 0 && !is_in_objective {
                    LoadDecision::Refuse { retry_after_ms }
                } else {
                    wait
                }
            }
        }
    }

    /// Returns until when the request waits without a planned load.
    fn unplanned_until(&self) -> TimeMs {
        let left_ms = self.final_at.since_ms(self.started_at);
        let share_ms = (left_ms as f64 * UNPLANNED_WAIT_SHARE) as u64;
        let wait_ms = UNPLANNED_WAIT_FACTOR * self.objective_ms;
        self.started_at + share_ms.min(wait_ms.max(UNPLANNED_WAIT_MS_MIN))
    }
}
