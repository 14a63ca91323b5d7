use std::sync::Arc;

use lycheeford_platform::ObjectStore;
use lycheeford_policy::{
    FenceCheck, GoneProofs, Host, HostRole, LoadRequest, Name, OrderAction, OrderOutcome,
    RecordFault, Replica, ReplicaFault, ReplicaRef, ReplicaSet, ResolveEvidence, TargetRecord,
    resolve,
};
use lycheeford_target::{Order, TargetStatus};
use lycheeford_wire::stored::{StoredReplicaSet, StoredTargetRecord};
use slog::{info, warn};
use snafu::{ResultExt, Snafu};

use super::memory::memory_bytes;
use crate::objects::{self, ObjectError, REPLICA_KIND, TARGET_KIND};
use crate::operation::metrics::Event;
use crate::state::State;
use crate::versioned::Versioned;

/// Why an order was not sent, or not accepted by its target.
#[derive(Debug, Snafu)]
pub(crate) enum OrderError {
    #[snafu(display("store: {source}"))]
    Store { source: ObjectError },
    #[snafu(display("replica can't be added to the stored replica set: {fault:?}"))]
    Decide { fault: ReplicaFault },
    #[snafu(display("the same load is already in progress"))]
    UnderWay,
    #[snafu(display("order can't be recorded: {fault:?}"))]
    Record { fault: RecordFault },
    #[snafu(display("target {target} is not listed; wait for the platform's list"))]
    Unlisted { target: Name },
    #[snafu(display("target did not confirm the order: {source}"))]
    Target { source: lycheeford_target::TargetError },
    #[snafu(display("target refused the order: {outcome:?}"))]
    Refused { outcome: OrderOutcome },
}

/// Stores the replica decision, reserves memory, records the order and sends it, in this order.
///
/// # Errors
///
/// Fails if one of the steps does. The effects of the earlier steps are undone at once, or later
/// by [`settle`] and [`cancel_orphaned_replicas`].
pub(crate) async fn load(
    state: &Arc<State>,
    name: &Name,
    base: Option<Name>,
    target: &Name,
    memory_bytes_needed: u64,
) -> Result<(), OrderError> {
    if !state.sent_orders.lock().start_load(name, target) {
        return Err(OrderError::UnderWay);
    }
    let loaded = decide_and_load(state, name, base, target, memory_bytes_needed).await;
    state.sent_orders.lock().end_load(name, target);
    loaded
}

async fn decide_and_load(
    state: &Arc<State>,
    name: &Name,
    base: Option<Name>,
    target: &Name,
    memory_bytes_needed: u64,
) -> Result<(), OrderError> {
    let host = listed_host(state, target)?;
    let replica = decide(state, name, target).await?;
    let order_id = order_id(state);
    let recorded = objects::update::<TargetRecord, StoredTargetRecord, _, RecordFault>(
        state,
        TARGET_KIND,
        target,
        |record| {
            let load = LoadRequest {
                order_id: &order_id,
                name,
                memory_bytes: memory_bytes_needed,
                replica: &replica,
                sender: &state.me,
                capacity_bytes: memory_bytes(&host),
            };
            record.record_load(&load).map(|record| (record, ()))
        },
    )
    .await;
    let record = match recorded {
        Ok(Ok((record, ()))) => record.value,
        Ok(Err(fault)) => {
            cancel_replica(state, name, &replica).await;
            return Err(OrderError::Record { fault });
        }
        Err(source) => {
            if !source.is_outcome_unknown() {
                cancel_replica(state, name, &replica).await;
            }
            // This order may have been recorded, but it is never sent. Recording it as closed lets
            // its memory reservation be freed later.
            state.sent_orders.lock().record_closed(order_id, target);
            return Err(OrderError::Store { source });
        }
    };
    let order = Order {
        order_id: order_id.clone(),
        fence: record.fence,
        action: OrderAction::Load,
        name: name.clone(),
        base,
        memory_bytes: memory_bytes_needed,
    };
    send(state, &host, &order).await
}

/// Records and sends an unload; [`settle`] frees the memory once it is done.
///
/// # Errors
///
/// Fails if the order can't be recorded or the target doesn't accept it.
pub(crate) async fn unload(
    state: &Arc<State>,
    name: &Name,
    target: &Name,
) -> Result<(), OrderError> {
    let host = listed_host(state, target)?;
    let order_id = order_id(state);
    let recorded = objects::update::<TargetRecord, StoredTargetRecord, _, RecordFault>(
        state,
        TARGET_KIND,
        target,
        |record| record.record_unload(&order_id, name, &state.me).map(|record| (record, ())),
    )
    .await;
    let record = match recorded {
        Ok(Ok((record, ()))) => record.value,
        Ok(Err(fault)) => return Err(OrderError::Record { fault }),
        Err(source) => {
            state.sent_orders.lock().record_closed(order_id, target);
            return Err(OrderError::Store { source });
        }
    };
    let memory_bytes = record.reservation(name).map_or(0, |held| held.memory_bytes);
    let order = Order {
        order_id,
        fence: record.fence,
        action: OrderAction::Unload,
        name: name.clone(),
        base: None,
        memory_bytes,
    };
    send(state, &host, &order).await
}

/// Resolves the orders in a target's record against the target's status, sets aside an order that
/// has been unresolved for too long, and frees the reservations of cancelled replicas.
///
/// Returns the current record, or `None` if it has to be read again.
pub(crate) async fn settle(
    state: &Arc<State>,
    host: &Host,
    record: Versioned<TargetRecord>,
    status: &TargetStatus,
    gone: &GoneProofs,
    concluded_orders: &[Name],
    unanswered_orders: &[Name],
) -> Option<Versioned<TargetRecord>> {
    let evidence = ResolveEvidence {
        gone,
        concluded_orders,
        unanswered_orders,
        fence_check: fence_check(host),
    };
    let mut record = record;
    if let Some(resolved) = resolve(&record.value, &status.into(), &evidence) {
        record = store_record(state, &host.name, record.version, resolved).await?;
        state.sent_orders.lock().retain_recorded(&record.value, &host.name);
    }
    if let Some(order) = record.value.order.clone()
        && state.sent_orders.lock().is_overdue(state.now(), &order.id)
        && let Ok(aside) = record.value.set_aside(&order.id)
    {
        info!(state.log, "unresolved order set aside";
            "target" => %host.name, "order" => %order.id);
        record = store_record(state, &host.name, record.version, aside).await?;
    }
    if !record.value.cancelled.is_empty() {
        return free_cancelled(state, &host.name, record, gone).await;
    }
    Some(record)
}

/// Cancels decided replicas for which no target has a memory reservation.
///
/// A daemon that stopped between its decision and the reservation leaves such
/// a replica behind. A daemon that becomes coordinator runs this once.
pub(crate) async fn cancel_orphaned_replicas(state: Arc<State>) {
    let listing = match state.store.list(REPLICA_KIND).await {
        Ok(listing) => listing,
        Err(error) => {
            warn!(state.log, "decided replicas not cleaned up"; "error" => %error);
            return;
        }
    };
    for object in listing.objects {
        let set = match objects::decode::<ReplicaSet, StoredReplicaSet>(&object) {
            Ok(set) => set,
            Err(error) => {
                warn!(state.log, "decided replicas not readable"; "error" => %error);
                continue;
            }
        };
        for replica in set.replicas.iter().filter(|replica| replica.decider != state.me) {
            cancel_unreserved(&state, &object.name, replica).await;
        }
    }
}

async fn decide(state: &State, name: &Name, target: &Name) -> Result<Replica, OrderError> {
    let replicas_max = replicas_max(state, name);
    let decided = objects::update::<ReplicaSet, StoredReplicaSet, _, ReplicaFault>(
        state,
        REPLICA_KIND,
        name,
        |set| set.decide(target, replicas_max, &state.me),
    )
    .await
    .context(StoreSnafu)?;
    let (set, replica) = match decided {
        Ok((set, replica)) => (set, replica),
        Err(fault) => {
            release_unreserved(state, name).await;
            return Err(OrderError::Decide { fault });
        }
    };
    info!(state.log, "replica decided";
        "name" => %name, "target" => %target, "replicas" => set.value.replicas.len());
    Ok(replica)
}

fn replicas_max(state: &State, name: &Name) -> u32 {
    let configuration = state.configuration.load();
    if let Some(model) = configuration.model(name) {
        return model.replicas_max;
    }
    // An adapter may have as many replicas as its base model.
    let adapter = configuration.adapter(name);
    let model = adapter.and_then(|adapter| configuration.model(&adapter.model));
    model.map_or(0, |model| model.replicas_max)
}

/// Cancels decided replicas of `name` that have no memory reservation, so that the next plan can
/// decide a new one.
async fn release_unreserved(state: &State, name: &Name) {
    let set = objects::read::<ReplicaSet, StoredReplicaSet>(state, REPLICA_KIND, name).await;
    let Ok(set) = set else { return };
    for replica in &set.value.replicas {
        cancel_unreserved(state, name, replica).await;
    }
}

async fn cancel_unreserved(state: &State, name: &Name, replica: &Replica) {
    if replica.decider == state.me && state.sent_orders.lock().is_loading(name, &replica.target) {
        return;
    }
    let read =
        objects::read::<TargetRecord, StoredTargetRecord>(state, TARGET_KIND, &replica.target)
            .await;
    if read.is_ok_and(|record| record.value.reservation(name).is_none()) {
        cancel_replica(state, name, replica).await;
    }
}

/// Cancels a replica whose load wasn't recorded, and removes it from its replica set.
async fn cancel_replica(state: &State, name: &Name, replica: &Replica) {
    let cancelled = objects::update::<TargetRecord, StoredTargetRecord, _, RecordFault>(
        state,
        TARGET_KIND,
        &replica.target,
        |record| record.cancel(name, replica).map(|record| (record, ())),
    )
    .await;
    if let Ok(Ok((record, ()))) = cancelled {
        remove_replica(state, name, replica.id, &record.value).await;
        state.coordinator.lock().poll_soon(state.now(), &replica.target);
    }
}

async fn remove_replica(
    state: &State,
    name: &Name,
    id: u64,
    record: &TargetRecord,
) -> Option<ReplicaSet> {
    let removed = objects::update::<ReplicaSet, StoredReplicaSet, _, ReplicaFault>(
        state,
        REPLICA_KIND,
        name,
        |set| set.remove(name, id, record).map(|set| (set, ())),
    )
    .await;
    match removed {
        Ok(Ok((set, ()))) => Some(set.value),
        Ok(Err(ReplicaFault::NoSuchReplica)) => {
            let read = objects::read::<ReplicaSet, StoredReplicaSet>(state, REPLICA_KIND, name);
            read.await.ok().map(|set| set.value)
        }
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Removes cancelled replicas from their sets, and clears them from the target's record once no
/// daemon can order them any more.
async fn free_cancelled(
    state: &State,
    target: &Name,
    mut record: Versioned<TargetRecord>,
    gone: &GoneProofs,
) -> Option<Versioned<TargetRecord>> {
    for cancelled in record.value.cancelled.clone() {
        let set =
            remove_replica(state, &cancelled.name, cancelled.replica.id, &record.value).await?;
        let may_order = |replica: &ReplicaRef| {
            if replica.decider == state.me {
                state.sent_orders.lock().is_loading(&cancelled.name, target)
            } else {
                !gone.is_gone(&replica.decider)
            }
        };
        let cleared = record.value.clear_cancelled(&cancelled.name, &set, may_order);
        if let Some(cleared) = cleared {
            record = store_record(state, target, record.version, cleared).await?;
        }
    }
    Some(record)
}

async fn store_record(
    state: &State,
    target: &Name,
    version: Option<u64>,
    record: TargetRecord,
) -> Option<Versioned<TargetRecord>> {
    let written =
        objects::write::<_, StoredTargetRecord>(state, TARGET_KIND, target, version, record).await;
    match written {
        Ok(written) => Some(written),
        Err(error) if objects::is_conflict(&error) => None,
        Err(error) => {
            warn!(state.log, "target's record not written"; "target" => %target, "error" => %error);
            None
        }
    }
}

/// Sends a recorded order, without retries, and records its outcome.
async fn send(state: &State, host: &Host, order: &Order) -> Result<(), OrderError> {
    let incarnation = state.coordinator.lock().target_incarnation(&host.name);
    let sent = state.targets.order(host.address, order).await;
    let mut orders = state.sent_orders.lock();
    match sent {
        Ok(outcome) => {
            orders.record_closed(order.order_id.clone(), &host.name);
            match outcome {
                OrderOutcome::Accepted | OrderOutcome::Done => Ok(()),
                outcome => Err(OrderError::Refused { outcome }),
            }
        }
        Err(source) => {
            if source.may_have_run() {
                state.metrics.event(Event::OrderUnknown);
                orders.record_unknown(order.order_id.clone(), &host.name, incarnation);
            } else {
                orders.record_closed(order.order_id.clone(), &host.name);
            }
            Err(OrderError::Target { source })
        }
    }
}

fn listed_host(state: &State, target: &Name) -> Result<Host, OrderError> {
    let fleet = state.fleet.load();
    let host = fleet.host(target).cloned();
    host.ok_or_else(|| OrderError::Unlisted { target: target.clone() })
}

fn order_id(state: &State) -> Name {
    Name::from(format!("{}/{}", state.me, state.next_number()))
}

fn fence_check(host: &Host) -> FenceCheck {
    match host.role {
        HostRole::ModelWorker { checks_fence: true, .. } => FenceCheck::Checked,
        _ => FenceCheck::Ignored,
    }
}
