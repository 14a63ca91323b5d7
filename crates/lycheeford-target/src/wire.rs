//! The JSON formats of the status and the orders of engines.

use lycheeford_policy::{
    CheckpointPlace, HostState, Incarnation, LoadState, Name, OrderAction, OrderOutcome,
    OrderReport,
};
use serde::{Deserialize, Serialize};

use crate::error::Code;
use crate::{Checkpoint, Loaded, Order, TargetError, TargetStatus};

#[derive(Debug, Serialize)]
pub(crate) struct WireOrder<'a> {
    order_id: &'a Name,
    fence: u64,
    action: WireAction,
    name: &'a Name,
    base: Option<&'a Name>,
    memory_bytes: u64,
}

impl<'a> From<&'a Order> for WireOrder<'a> {
    fn from(order: &'a Order) -> WireOrder<'a> {
        WireOrder {
            order_id: &order.order_id,
            fence: order.fence,
            action: order.action.into(),
            name: &order.name,
            base: order.base.as_ref(),
            memory_bytes: order.memory_bytes,
        }
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct WireStatus {
    incarnation: Incarnation,
    state: HostState,
    memory_total_bytes: u64,
    memory_used_bytes: u64,
    running: u32,
    queued: u32,
    highest_fence: u64,
    loaded: Vec<WireLoaded>,
    checkpoints: Vec<WireCheckpoint>,
    orders: Vec<WireOrderRecord>,
}

#[derive(Debug, Deserialize)]
struct WireLoaded {
    name: Name,
    memory_bytes: u64,
    state: WireLoadState,
    order_id: Option<Name>,
}

#[derive(Debug, Deserialize)]
struct WireCheckpoint {
    name: Name,
    place: WirePlace,
}

#[derive(Debug, Deserialize)]
struct WireOrderRecord {
    order_id: Name,
    outcome: WireOutcome,
}

impl TryFrom<WireStatus> for TargetStatus {
    type Error = TargetError;

    fn try_from(wire: WireStatus) -> Result<TargetStatus, TargetError> {
        let mut loaded: Vec<Loaded> = wire.loaded.into_iter().map(Loaded::from).collect();
        loaded.sort_by(|left, right| left.name.cmp(&right.name));
        if loaded.windows(2).any(|pair| pair[0].name == pair[1].name) {
            return Err(Code::Field { field: "loaded", what: "a name occurs twice" }.into());
        }
        let mut checkpoints: Vec<Checkpoint> =
            wire.checkpoints.into_iter().map(Checkpoint::from).collect();
        checkpoints.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(TargetStatus {
            incarnation: wire.incarnation,
            state: wire.state,
            memory_total_bytes: wire.memory_total_bytes,
            memory_used_bytes: wire.memory_used_bytes,
            running: wire.running,
            queued: wire.queued,
            highest_fence: wire.highest_fence,
            loaded,
            checkpoints,
            orders: wire.orders.into_iter().map(OrderReport::from).collect(),
        })
    }
}

impl From<WireLoaded> for Loaded {
    fn from(wire: WireLoaded) -> Loaded {
        let WireLoaded { name, memory_bytes, state, order_id } = wire;
        Loaded { name, memory_bytes, state: state.into(), order_id }
    }
}

impl From<WireCheckpoint> for Checkpoint {
    fn from(wire: WireCheckpoint) -> Checkpoint {
        Checkpoint { name: wire.name, place: wire.place.into() }
    }
}

impl From<WireOrderRecord> for OrderReport {
    fn from(wire: WireOrderRecord) -> OrderReport {
        OrderReport { order_id: wire.order_id, outcome: wire.outcome.into() }
    }
}

#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum WireAction {
    Load,
    Unload,
}

impl From<OrderAction> for WireAction {
    fn from(action: OrderAction) -> WireAction {
        match action {
            OrderAction::Load => WireAction::Load,
            OrderAction::Unload => WireAction::Unload,
        }
    }
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireLoadState {
    Loading,
    Ready,
    Unloading,
}

impl From<WireLoadState> for LoadState {
    fn from(wire: WireLoadState) -> LoadState {
        match wire {
            WireLoadState::Loading => LoadState::Loading,
            WireLoadState::Ready => LoadState::Ready,
            WireLoadState::Unloading => LoadState::Unloading,
        }
    }
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WirePlace {
    Memory,
    Disk,
}

impl From<WirePlace> for CheckpointPlace {
    fn from(wire: WirePlace) -> CheckpointPlace {
        match wire {
            WirePlace::Memory => CheckpointPlace::Memory,
            WirePlace::Disk => CheckpointPlace::Disk,
        }
    }
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireOutcome {
    Accepted,
    RefusedStaleFence,
    RefusedMemory,
    Done,
    Failed,
}

impl From<WireOutcome> for OrderOutcome {
    fn from(wire: WireOutcome) -> OrderOutcome {
        match wire {
            WireOutcome::Accepted => OrderOutcome::Accepted,
            WireOutcome::RefusedStaleFence => OrderOutcome::RefusedStaleFence,
            WireOutcome::RefusedMemory => OrderOutcome::RefusedMemory,
            WireOutcome::Done => OrderOutcome::Done,
            WireOutcome::Failed => OrderOutcome::Failed,
        }
    }
}
