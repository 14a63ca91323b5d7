use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use lycheeford_caller::Stop;
use lycheeford_policy::{LateRequest, Refusal, StopPlan, TimeMs};

use crate::dispatch_gate::stopping;

/// The number of running requests, and the time limits for them once the daemon drains.
#[derive(Debug, Default)]
pub(crate) struct Running {
    plan: OnceLock<StopPlan>,
    drain: Stop,
    requests: Arc<AtomicU64>,
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest(Arc<AtomicU64>);

impl Running {
    /// Starts the drain; returns `false` if the daemon was draining already.
    pub(crate) fn start_draining(&self, plan: StopPlan) -> bool {
        let is_first = self.plan.set(plan).is_ok();
        self.drain.trigger();
        is_first
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.plan.get().is_some()
    }

    /// Returns the time limits of the stop; `None` unless the daemon drains.
    pub(crate) fn plan(&self) -> Option<&StopPlan> {
        self.plan.get()
    }

    /// Waits until the daemon starts to drain.
    pub(crate) async fn draining(&self) {
        self.drain.triggered().await;
    }

    /// Returns whether the last answers aren't due yet.
    pub(crate) fn can_run(&self, now: TimeMs) -> bool {
        self.plan.get().is_none_or(|plan| plan.can_finish(now, 0))
    }

    /// Refuses a request that this daemon, if it drains, may not send to a target.
    pub(crate) fn check_stop(&self, request: &LateRequest) -> Result<(), Refusal> {
        let Some(plan) = self.plan.get() else { return Ok(()) };
        plan.check(request).map_err(|shortfall| stopping().with_shortfall(shortfall))
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn request_started(&self) -> RunningRequest {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RunningRequest(Arc::clone(&self.requests))
    }

    pub(crate) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Acquire)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
