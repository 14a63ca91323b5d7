//! Least loaded, load on first request, evict least recently used.

use lycheeford_policy::{Name, PlanAction, ReplicaState};

use crate::fleet::{Life, Target};
use crate::workload::{TARGET_MEMORY_BYTES, Trace};

/// Decides for the waiting entries in the order of their first requests.
pub fn plan(
    trace: &Trace,
    targets: &[Target],
    waiting: &[usize],
    ordered: &[usize],
) -> Vec<PlanAction> {
    let mut taken: Vec<usize> = Vec::new();
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
            actions.extend(step(trace, targets, base, None, &mut taken));
            continue;
        }
        actions.extend(step(trace, targets, entry, base, &mut taken));
    }
    actions
}

fn step(
    trace: &Trace,
    targets: &[Target],
    entry: usize,
    base: Option<usize>,
    taken: &mut Vec<usize>,
) -> Option<PlanAction> {
    let is_known = |t: &Target| t.replicas.iter().any(|replica| replica.entry == entry);
    if targets.iter().any(is_known) {
        return None;
    }
    let (index, target) = targets
        .iter()
        .enumerate()
        .filter(|(index, t)| t.life == Life::Live && !t.blocked && !taken.contains(index))
        .filter(|(_, target)| base.is_none_or(|base| target.is_ready(base)))
        .min_by_key(|(_, target)| (target.running(), target.used_bytes(trace)))?;
    let memory_bytes = trace.memory_bytes(entry);
    if target.used_bytes(trace) + memory_bytes <= TARGET_MEMORY_BYTES {
        taken.push(index);
        return Some(PlanAction::Load {
            name: trace.names[entry].clone(),
            base: base.map(|base| trace.names[base].clone()),
            target: target.name.clone(),
            memory_bytes,
        });
    }
    let victim = least_recently_used(trace, target, base)?;
    taken.push(index);
    Some(PlanAction::Unload { name: victim, target: target.name.clone() })
}

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
