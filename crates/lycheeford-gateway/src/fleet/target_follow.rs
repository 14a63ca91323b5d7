use std::sync::Arc;

use lycheeford_platform::{
    Change, Listing, Object, PauseState, Update, WatchEvent, follow_with_pauses,
};
use lycheeford_policy::{
    Name, SharedWatch, StoreAbsence, StoreVersion, TargetChange, TargetEntry, TimeMs,
};
use slog::{info, warn};

use super::store_loss::StoreLoss;
use super::{TARGETS_WAIT_MS, follow_limits};
use crate::membership::apply_own_placements;
use crate::state::State;

/// The pauses after changes of targets: at the lease holder, and at hosts that watch for others.
const HOLDER_REST_MS: u64 = 50;
const WATCHER_REST_MS: u64 = 500;
/// The pauses of a host that gets the changes from others: the longest one, which is within the
/// history that the store keeps, and the least one before it asks again if the others don't report
/// them.
const LISTENER_REST_MS: u64 = 12_000;
const LISTENER_REST_MS_MIN: u64 = 600;
/// The interval at which such a host checks for changes, or whether the others have stopped
/// watching.
const LISTENER_CHECK_MS: u64 = 150;

/// Keeps the targets up to date until the future is dropped.
pub(crate) async fn follow_targets(state: Arc<State>) {
    let protocol = Arc::clone(&state.protocols.store);
    let clock = state.clock;
    let mut absence = StoreAbsence::default();
    let limits = follow_limits(TARGETS_WAIT_MS);
    let loss = StoreLoss::new(&state, protocol.target_kind());
    let mut after = 0;
    follow_with_pauses(
        protocol.objects(),
        protocol.target_kind(),
        &limits,
        || clock.now(),
        |update| {
            loss.answered();
            let now = state.now();
            let grace_ms_max = state.settings.missing_entry_grace_ms;
            if is_later_era(after, update.revision) {
                absence.restored(now);
            }
            let grace_ms = absence.grace_ms(now, update.failing_since, grace_ms_max);
            let revision = update.revision;
            apply_update(&state, update, std::mem::replace(&mut after, revision), grace_ms);
        },
        |error| loss.failed(error),
        &state.target_pace,
        |rest| rest_ms(&state, rest),
    )
    .await;
}

/// Returns whether the store was restored from an older copy between two versions.
fn is_later_era(before: u64, after: u64) -> bool {
    StoreVersion::from_number(after).era > StoreVersion::from_number(before).era
}

/// Returns how much longer to wait before the store is asked for changes of targets.
///
/// Most hosts get loads and unloads from the lease holder, and other changes from the few hosts
/// that watch closely.
fn rest_ms(state: &State, rest: PauseState) -> u64 {
    let now = state.now();
    let after_change_ms = |rest_ms: u64| if rest.is_change { rest_ms } else { 0 };
    if state.orders().lease.held(now).is_some() {
        return after_change_ms(HOLDER_REST_MS).saturating_sub(rest.paused_ms);
    }
    if state.membership().watches_targets(now, &state.settings.host) {
        return after_change_ms(WATCHER_REST_MS).saturating_sub(rest.paused_ms);
    }
    let change_age_ms_max = SharedWatch::change_age_ms_max(state.settings.target_leave_ms_max);
    let can_skip_query = state.target_sync().watch.can_skip_query(now, change_age_ms_max);
    let rest_ms =
        if can_skip_query { LISTENER_REST_MS } else { after_change_ms(LISTENER_REST_MS_MIN) };
    rest_ms.saturating_sub(rest.paused_ms).min(LISTENER_CHECK_MS)
}

/// Applies the store's changes of targets after revision `after`.
fn apply_update(state: &State, update: Update, after: u64, grace_ms: u64) {
    let now = state.now();
    let Update { as_of, revision, change, unnamed, .. } = update;
    log_unnamed(state, &change, unnamed);
    let known_at = state.target_sync().watch.asked_at().unwrap_or(now);
    state.dispatcher().targets.leave_by(known_at + state.target_use_ms_max());
    let changes = match change {
        Change::Replace(listing) => replace(state, now, &listing, grace_ms),
        Change::Apply(events) => apply_all(state, now, &events, revision, grace_ms),
    };
    {
        let mut sync = state.target_sync();
        match changes {
            Some(changes) => sync.log.asked(after, revision, changes),
            None => sync.log.restart(revision),
        }
        let (known, newest) = (sync.log.known(), sync.log.changed());
        sync.watch.asked(as_of, known, newest);
    }
    state.set_knows_targets();
    let has_changes = {
        let mut dispatcher = state.dispatcher();
        dispatcher.targets.expire(now);
        state.orders().apply_entries(&dispatcher.targets)
    };
    if has_changes {
        apply_own_placements(state);
        state.wake_demand_task();
    }
    state.dispatch_waiting();
    state.wake_planner();
}

/// Replaces the whole list; returns the changes that hosts without the lease need.
///
/// A target whose entry can't be read is gone at once. Returns `None` if entries are missing that
/// are still used for a grace period after a store outage. The other hosts then ask the store
/// themselves.
fn replace(
    state: &State,
    now: TimeMs,
    listing: &Listing,
    grace_ms: u64,
) -> Option<Vec<(u64, TargetChange)>> {
    let mut entries: Vec<TargetEntry> = Vec::with_capacity(listing.objects.len());
    let mut unreadable: Vec<&Name> = Vec::new();
    for object in &listing.objects {
        match read(state, object) {
            Some(entry) => entries.push(entry),
            None => unreadable.push(&object.name),
        }
    }
    info!(state.log, "targets_listed"; "targets" => entries.len(), "grace_ms" => grace_ms);
    let mut dispatcher = state.dispatcher();
    let other = entries.iter().filter(|entry| dispatcher.targets.is_other(entry));
    let mut changes: Vec<TargetChange> = other.cloned().map(TargetChange::Put).collect();
    let missing = dispatcher.targets.missing_from(&entries);
    let known = state.target_sync().log.known();
    let is_gone = |name: &Name| grace_ms == 0 || unreadable.binary_search(&name).is_ok();
    let is_shareable = missing.iter().all(is_gone) && !is_later_era(known, listing.revision);
    changes.extend(missing.into_iter().map(TargetChange::Gone));
    dispatcher.targets.replace(now, entries, grace_ms);
    for name in unreadable {
        dispatcher.targets.gone(now, name, 0);
    }
    let revision = listing.revision;
    is_shareable.then(|| changes.into_iter().map(|change| (revision, change)).collect())
}

/// Applies changes; returns those that hosts without the lease need.
///
/// Only the last event of each target counts: the events may begin before changes that other hosts
/// reported, and an earlier event would restore a target that is gone. Returns `None` if entries
/// are missing that are still used for a grace period after a store outage. The other hosts then
/// ask the store themselves.
fn apply_all(
    state: &State,
    now: TimeMs,
    events: &[WatchEvent],
    revision: u64,
    grace_ms: u64,
) -> Option<Vec<(u64, TargetChange)>> {
    let mut last: Vec<(&Name, &WatchEvent)> = Vec::new();
    for event in events {
        let (WatchEvent::Put(Object { name, .. }) | WatchEvent::Deleted { name, .. }) = event;
        match last.binary_search_by_key(&name, |(name, _)| *name) {
            Ok(index) => last[index].1 = event,
            Err(index) => last.insert(index, (name, event)),
        }
    }
    let known = state.target_sync().log.known();
    let mut changes = Vec::new();
    let mut is_shareable = true;
    for (_, event) in last {
        match event {
            WatchEvent::Put(object) => changes.extend(put(state, now, object, known)),
            WatchEvent::Deleted { name, .. } => {
                state.target_sync().unreadable.forget(name);
                is_shareable &= grace_ms == 0;
                if remove_target(state, now, name, grace_ms) {
                    // A deletion may carry the revision of the change before it, but it happened
                    // by the end of these events, so it is reported with their last revision.
                    changes.push((revision, TargetChange::Gone(name.clone())));
                }
            }
        }
    }
    changes.sort_by_key(|(revision, _)| *revision);
    is_shareable.then_some(changes)
}

/// Applies an entry; returns the change if hosts without the lease need it.
///
/// An entry no newer than `known` whose target isn't listed here belongs to a target that has been
/// removed since. An entry that can't be read removes the target, unless another host reported a
/// newer one.
fn put(state: &State, now: TimeMs, object: &Object, known: u64) -> Option<(u64, TargetChange)> {
    let Some(entry) = read(state, object) else {
        let listed_revision =
            state.dispatcher().targets.target(&object.name).map(|target| target.entry.revision);
        let is_outdated = listed_revision.is_some_and(|revision| revision > object.version);
        let is_removed = !is_outdated && remove_target(state, now, &object.name, 0);
        return is_removed.then(|| (object.version, TargetChange::Gone(object.name.clone())));
    };
    let mut dispatcher = state.dispatcher();
    if object.version <= known && dispatcher.targets.target(&entry.id).is_none() {
        return None;
    }
    let is_relevant = dispatcher.targets.is_other(&entry);
    dispatcher.targets.put(now, entry.clone());
    is_relevant.then_some((object.version, TargetChange::Put(entry)))
}

/// Removes a target, which is still used for a grace period if there is one; returns whether it was
/// known.
fn remove_target(state: &State, now: TimeMs, name: &Name, grace_ms: u64) -> bool {
    let mut dispatcher = state.dispatcher();
    if dispatcher.targets.target(name).is_none() {
        return false;
    }
    info!(state.log, "target_gone"; "target" => name.abbreviated(), "grace_ms" => grace_ms);
    dispatcher.targets.gone(now, name, grace_ms);
    true
}

/// Reads an entry; logs and skips one that isn't a valid target.
fn read(state: &State, object: &Object) -> Option<TargetEntry> {
    match state.protocols.store.target(object) {
        Ok(entry) => {
            state.target_sync().unreadable.forget(&object.name);
            Some(entry)
        }
        Err(message) => {
            if state.target_sync().unreadable.record(&object.name, object.version) {
                state.metrics.unreadable_entries.inc();
                warn!(state.log, "target_unreadable";
                    "target" => object.name.abbreviated(), "revision" => object.version,
                    "error" => message);
            }
            None
        }
    }
}

/// Logs the entries whose names can't be read: all of a list, or those that changed.
fn log_unnamed(state: &State, change: &Change, unnamed: usize) {
    let is_news = match change {
        Change::Replace(listing) => {
            let mut sync = state.target_sync();
            sync.unreadable.retain_listed(listing.objects.iter().map(|object| &object.name));
            sync.unreadable.record_unnamed(unnamed)
        }
        Change::Apply(_) => unnamed > 0,
    };
    if is_news {
        state.metrics.unreadable_entries.inc_by(unnamed as u64);
        warn!(state.log, "targets_unnamed"; "targets" => unnamed);
    }
}
