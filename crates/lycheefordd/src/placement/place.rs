use std::future;
use std::sync::Arc;

use async_std::channel::Receiver;
use async_std::prelude::FutureExt;
use lycheeford_policy::{Name, QueueId, Refusal, RefusalCode};

use super::demand_report::REPORT_MS;
use super::table::{Place, PlaceRequest, Placed};
use super::target_life::TargetLife;
use crate::handover::stopping;
use crate::state::State;

/// A target that a request runs on, until it is dropped.
pub(crate) struct PlacedRequest {
    state: Arc<State>,
    pub(crate) name: Name,
    pub(crate) target: Name,
    /// The target's life when the request was placed.
    pub(crate) life: TargetLife,
    /// How long the request waited for a replica; `None` if one was ready.
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
/// Refuses at once if that can't be before the deadline or the end of this
/// host, and as soon as the coordinator finds that it can't.
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
        waiting.outlasts_stop().await;
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
            format!("no replica of {} was ready in time; come back later", request.name),
            Some(REPORT_MS),
        )),
    }
}

/// A queued request, which leaves the queue when its future is dropped.
struct Waiting<'a> {
    state: &'a Arc<State>,
    request: &'a PlaceRequest,
    id: QueueId,
    receiver: Receiver<Placed>,
}

impl Waiting<'_> {
    /// Waits until this host drains, and for ever if the load ends in time for that.
    async fn outlasts_stop(&self) {
        self.state.running.draining().await;
        let now = self.state.now();
        let ready_in_ms = self.state.placement.lock().ready_in_ms(now, &self.request.name);
        if self.state.running.may_begin(now, ready_in_ms) {
            future::pending::<()>().await;
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
    let life = TargetLife::now(state, target.clone());
    PlacedRequest { state: state.clone(), name: request.name.clone(), target, life, waited_ms }
}

fn too_late(request: &PlaceRequest, retry_after_ms: u64) -> Refusal {
    Refusal::not_run(
        RefusalCode::DeadlineUnreachable,
        format!("{} can't be ready before the deadline; come back when it is", request.name),
        Some(retry_after_ms),
    )
}
