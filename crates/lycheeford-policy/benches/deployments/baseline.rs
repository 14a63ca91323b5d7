//! The baseline policy: loads a model on its first request to the least loaded target, and evicts
//! the least recently used replica if memory is short.

use lycheeford_policy::{Name, PlanAction, ReplicaState};

use crate::fleet::{Lifecycle, Target};
use crate::workload::{TARGET_MEMORY_BYTES, Trace};

/// Plans the loads and unloads for the entries in `waiting`, in this order.
///
/// `ordered` are the entries whose load orders have not reached their targets yet. A target gets at
/// most one action per plan.
pub fn plan(
    trace: &Trace,
    targets: &[Target],
    waiting: &[usize],
    ordered: &[usize],
) -> Vec<PlanAction> {
    let mut assigned: Vec<usize> = Vec::new();
    let mut actions = Vec::new();
    for &entry in waiting {
        if ordered.contains(&entry) {
            continue;
        }
        let base = trace.base(entry);
        if let Some(base) = base
            && !targets.iter().any(|target| target.is_ready(base))
        {
            if ordered.contains(&base) {
                continue;
            }
            actions.extend(next_action(trace, targets, base, None, &mut assigned));
            continue;
        }
        actions.extend(next_action(trace, targets, entry, base, &mut assigned));
    }
    actions
}

/// Returns the next action towards a replica of `entry`, or `None` if nothing can or need be done.
fn next_action(
    trace: &Trace,
    targets: &[Target],
    entry: usize,
    base: Option<usize>,
    assigned: &mut Vec<usize>,
) -> Option<PlanAction> {
    let has_replica = |t: &Target| t.replicas.iter().any(|replica| replica.entry == entry);
    if targets.iter().any(has_replica) {
        return None;
    }
    let (index, target) = targets
        .iter()
        .enumerate()
        .filter(|(index, t)| {
            t.lifecycle == Lifecycle::Live && !t.blocked && !assigned.contains(index)
        })
        .filter(|(_, target)| base.is_none_or(|base| target.is_ready(base)))
        .min_by_key(|(_, target)| (target.running(), target.used_bytes(trace)))?;
    let memory_bytes = trace.memory_bytes(entry);
    if target.used_bytes(trace) + memory_bytes <= TARGET_MEMORY_BYTES {
        assigned.push(index);
        return Some(PlanAction::Load {
            name: trace.names[entry].clone(),
            base: base.map(|base| trace.names[base].clone()),
            target: target.name.clone(),
            memory_bytes,
        });
    }
    let victim = least_recently_used(trace, target, base)?;
    assigned.push(index);
    Some(PlanAction::Unload { name: victim, target: target.name.clone() })
}

/// Returns the least recently used idle replica that neither is `base` nor the base of an adapter
/// on the same target.
fn least_recently_used(trace: &Trace, target: &Target, base: Option<usize>) -> Option<Name> {
    let has_adapter = |entry: usize| {
        target.replicas.iter().any(|replica| trace.base(replica.entry) == Some(entry))
    };
    target
        .replicas
        .iter()
        .filter(|replica| replica.state == ReplicaState::Ready && replica.running == 0)
        .filter(|replica| Some(replica.entry) != base && !has_adapter(replica.entry))
        .min_by_key(|replica| replica.used_at_ms)
        .map(|replica| trace.names[replica.entry].clone())
}
