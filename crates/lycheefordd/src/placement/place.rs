use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use lycheeford_policy::{Instance, Name, QueueId, Refusal, RefusalCode, TimeMs};
use lycheeford_wire::{DemandReport, Message, PlacementReport};

use crate::crash::TargetLife;
use crate::placement::{Place, PlaceRequest, Placed};
use crate::planning::take_demand;
use crate::state::State;

/// The longest pause between two looks at what has expired.
const TICK_MS: u64 = 50;
/// The same while nothing waits.
const QUIET_TICK_MS: u64 = 100;
/// How often demand is reported though it didn't change.
const REPORT_MS: u64 = 200;

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
        self.state.placement().finished(&self.name, &self.target);
    }
}

/// Waits until a replica can take the request.
///
/// # Errors
///
/// Refuses at once if that can't be before the deadline, and as soon as the
/// coordinator finds that it can't.
pub(crate) async fn place(
    state: &Arc<State>,
    request: &PlaceRequest,
    excluded: &[Name],
) -> Result<PlacedRequest, Refusal> {
    let arrived = state.now();
    let place = state.placement().place(arrived, request, excluded);
    let (id, receiver) = match place {
        Place::Now(target) => return Ok(placed(state, request, target, None)),
        Place::TooLate(retry_after_ms) => {
            state.wake_demand();
            return Err(too_late(request, retry_after_ms));
        }
        Place::Queued(id, receiver) => (id, receiver),
    };
    state.wake_demand();
    let waiting = Waiting { state, request, id, receiver };
    match waiting.receiver.recv().await {
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

/// Takes over a coordinator's view of replicas.
pub(crate) fn adopt(state: &State, from: &Instance, report: PlacementReport) {
    let now = state.now();
    let mut placement = state.placement();
    placement.adopt(now, (&from.host, from.incarnation), report);
    state.metrics.queued.set(i64::try_from(placement.queued()).unwrap_or(i64::MAX));
}

/// Reports demand to the coordinator and refuses what has expired.
pub(crate) async fn report_demand(state: Arc<State>) {
    let mut reported_at = TimeMs::default();
    let mut quiet = true;
    loop {
        let tick_ms = if state.placement().queued() > 0 { TICK_MS } else { QUIET_TICK_MS };
        let woken = timeout(Duration::from_millis(tick_ms), state.demand_changed.1.recv()).await;
        let now = state.now();
        state.wake_watch().tick(now);
        let report = {
            let mut placement = state.placement();
            placement.expire(now);
            if woken.is_err() && now.since_ms(reported_at) < REPORT_MS {
                continue;
            }
            placement.report(now)
        };
        let empty = report == DemandReport::default();
        if empty && quiet {
            continue;
        }
        quiet = empty;
        reported_at = now;
        send(&state, report);
    }
}

fn send(state: &State, report: DemandReport) {
    let coordinator = state.coordinator_host();
    if coordinator == state.me.host {
        take_demand(state, &state.me, report);
    } else if let Some(peers) = state.peers.get() {
        // A lost report is replaced by the next one.
        let _ = peers.send(&coordinator, Message::DemandReport(report));
    }
}

/// A queued request, which leaves the queue when its future is dropped.
struct Waiting<'a> {
    state: &'a Arc<State>,
    request: &'a PlaceRequest,
    id: QueueId,
    receiver: Receiver<Placed>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut placement = self.state.placement();
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
