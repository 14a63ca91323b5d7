use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::prelude::FutureExt;
use async_std::task;
use lycheeford_policy::{Name, QueueId, Refusal, RefusalCode};

use super::demand_report::REPORT_MS;
use super::table::{Place, PlaceRequest, Placed};
use super::target_instance::TargetInstance;
use crate::dispatch_gate::stopping;
use crate::state::State;

/// How often a waiting request checks whether a draining host may still send it.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A request's slot at a target, released when it is dropped.
pub(crate) struct PlacedRequest {
    state: Arc<State>,
    pub(crate) name: Name,
    pub(crate) target: Name,
    /// The target with its incarnation at the time when the request was placed.
    pub(crate) instance: TargetInstance,
    /// How long the request waited for a replica; `None` if a replica was ready.
    pub(crate) waited_ms: Option<u64>,
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        self.state.placement.lock().finished(&self.name, &self.target);
    }
}

/// Waits until a replica can take the request.
///
/// # Errors
///
/// Refuses at once if no replica can be ready before the deadline. Refuses a waiting request when
/// the coordinator reports that, when this host drains and would stop before a replica is ready,
/// and when the deadline passes.
pub(crate) async fn place(
    state: &Arc<State>,
    request: &PlaceRequest,
    excluded: &[Name],
) -> Result<PlacedRequest, Refusal> {
    let arrived = state.now();
    let place = state.placement.lock().place(arrived, request, excluded);
    let (id, receiver) = match place {
        Place::Now(target) => return Ok(placed(state, request, target, None)),
        Place::TooLate(retry_after_ms) => {
            state.demand_changed.wake();
            return Err(too_late(request, retry_after_ms));
        }
        Place::Queued(id, receiver) => (id, receiver),
    };
    state.demand_changed.wake();
    let waiting = Waiting { state, request, id, receiver };
    let placed_in_time = async { Some(waiting.receiver.recv().await) };
    let too_late_for_stop = async {
        waiting.stopped_before_ready().await;
        None
    };
    let Some(answer) = placed_in_time.race(too_late_for_stop).await else {
        return Err(stopping());
    };
    match answer {
        Ok(Placed::Target(target)) => {
            let waited_ms = state.now().since_ms(arrived);
            Ok(placed(state, request, target, Some(waited_ms)))
        }
        Ok(Placed::Refused(retry_after_ms)) => Err(too_late(request, retry_after_ms)),
        Ok(Placed::Expired) | Err(_) => Err(Refusal::not_run(
            RefusalCode::DeadlinePassed,
            format!("no replica of {} was ready in time; retry later", request.name),
            Some(REPORT_MS),
        )),
    }
}

/// A queued request, which is removed from the queue when this value is dropped.
struct Waiting<'a> {
    state: &'a Arc<State>,
    request: &'a PlaceRequest,
    id: QueueId,
    receiver: Receiver<Placed>,
}

impl Waiting<'_> {
    /// Completes once this host drains and may not send the request when the model is ready.
    async fn stopped_before_ready(&self) {
        self.state.running.draining().await;
        loop {
            let now = self.state.now();
            let ready_in_ms = self.state.placement.lock().ready_in_ms(now, &self.request.name);
            if self.state.running.check_stop(&self.request.sent_at(now + ready_in_ms)).is_err() {
                return;
            }
            task::sleep(STOP_CHECK_INTERVAL).await;
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut placement = self.state.placement.lock();
        placement.cancel(self.id);
        if let Ok(Placed::Target(target)) = self.receiver.try_recv() {
            placement.finished(&self.request.name, &target);
        }
    }
}

fn placed(
    state: &Arc<State>,
    request: &PlaceRequest,
    target: Name,
    waited_ms: Option<u64>,
) -> PlacedRequest {
    let instance = TargetInstance::current(state, target.clone());
    PlacedRequest { state: state.clone(), name: request.name.clone(), target, instance, waited_ms }
}

fn too_late(request: &PlaceRequest, retry_after_ms: u64) -> Refusal {
    Refusal::not_run(
        RefusalCode::DeadlineUnreachable,
        format!("{} can't be ready before the deadline; retry later", request.name),
        Some(retry_after_ms),
    )
}
