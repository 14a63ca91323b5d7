use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use lycheeford_policy::{
    Host, Name, PlanAction, ProbeResult, TargetRecord, Verdict, VerdictChange,
};
use lycheeford_target::TargetStatus;
use lycheeford_wire::{Message, stored::StoredTargetRecord};
use slog::{debug, info, warn};

use crate::loads::orders;
use crate::membership::outbox::send_all;
use crate::membership::peer_view::coordinator_host;
use crate::objects::{self, ObjectError, TARGET_KIND};
use crate::operation::metrics::Event;
use crate::placement::adopt::adopt;
use crate::state::State;
use crate::versioned::Versioned;

/// The maximum interval between two plans.
const PLAN_MS_MAX: u64 = 20;
/// How often a daemon that doesn't coordinate checks whether it should.
const ROLE_CHECK_MS: u64 = 100;
/// How often the placement view is published even if nothing changed.
const PUBLISH_MS: u64 = 2_000;
/// How often it is published while hosts wait for replicas: one of them may have missed the
/// current view.
const PUBLISH_REQUESTED_MS: u64 = 100;

/// Plans and orders loads while this daemon is the coordinator.
pub(crate) async fn plan_loads(state: Arc<State>) {
    let mut published = None;
    let mut published_at = state.now();
    loop {
        // A wake-up and the end of the pause are handled alike.
        let pause_ms =
            if state.coordinator.lock().is_active() { PLAN_MS_MAX } else { ROLE_CHECK_MS };
        let _ = timeout(Duration::from_millis(pause_ms), state.plan_due.woken()).await;
        if state.pause_detector.lock().settling_ms(state.now()) > 0 {
            // After a pause of this process, peers seem unreachable until they answer again, and
            // another host may coordinate.
            continue;
        }
        if coordinator_host(&state) != state.me.host {
            if state.coordinator.lock().deactivate() {
                info!(state.log, "no longer coordinates loads");
            }
            continue;
        }
        if state.coordinator.lock().activate() {
            info!(state.log, "coordinates loads");
            task::spawn(orders::cancel_orphaned_replicas(state.clone()));
        }
        poll_due_targets(&state);
        update_verdicts(&state);
        let actions = plan(&state);
        for action in actions {
            task::spawn(execute(state.clone(), action));
        }
        let now = state.now();
        let view_requested = state.coordinator.lock().take_view_requested();
        let mut report = state.coordinator.lock().report();
        let sequence = std::mem::take(&mut report.sequence);
        let age_ms = now.since_ms(published_at);
        let repeat = age_ms >= if view_requested { PUBLISH_REQUESTED_MS } else { PUBLISH_MS };
        if repeat || published.as_ref() != Some(&report) {
            published = Some(report.clone());
            published_at = now;
            report.sequence = sequence;
            send_all(&state, &Message::PlacementReport(report.clone()));
            adopt(&state, &state.me, report);
        }
    }
}

fn plan(state: &State) -> Vec<PlanAction> {
    let hosts = state.fleet.load().model_workers().cloned().collect();
    let mut coordinator = state.coordinator.lock();
    let now = state.now();
    coordinator.set_hosts(now, hosts);
    coordinator.plan(now)
}

async fn execute(state: Arc<State>, action: PlanAction) {
    debug!(state.log, "planned"; "action" => ?action);
    let (name, target, done) = match action {
        PlanAction::Load { name, base, target, memory_bytes } => {
            state.metrics.event(Event::Load);
            record_decision(
                &state,
                &name,
                &target,
                format!("load {name} on {target}: requests are waiting"),
            );
            let done = orders::load(&state, &name, base, &target, memory_bytes).await;
            (name, target, done)
        }
        PlanAction::Unload { name, target } => {
            state.metrics.event(Event::Unload);
            let what = format!(
                "unload {name} on {target}: idle, or its memory is needed for another model"
            );
            record_decision(&state, &name, &target, what);
            let done = orders::unload(&state, &name, &target).await;
            (name, target, done)
        }
        PlanAction::Refuse { .. } | PlanAction::Expect { .. } => return,
    };
    if let Err(error) = done {
        warn!(state.log, "order not carried out";
            "name" => %name, "target" => %target, "error" => %error);
        let what = format!("order for {name} on {target} not carried out: {error}");
        record_decision(&state, &name, &target, what);
        state.coordinator.lock().abandon(&name, &target);
    }
    state.coordinator.lock().poll_soon(state.now(), &target);
    state.plan_due.wake();
}

fn record_decision(state: &State, name: &Name, target: &Name, what: String) {
    state.decisions.lock().record(state.now(), &[name, target], what);
}

fn poll_due_targets(state: &Arc<State>) {
    let due = state.coordinator.lock().due(state.now());
    for (host, record) in due {
        task::spawn(poll(state.clone(), host, record));
    }
}

async fn poll(state: Arc<State>, host: Host, known: Option<Versioned<TargetRecord>>) {
    // The record has to be read before the status that resolves its orders.
    let record = match known {
        Some(record) => Some(record),
        None => read_record(&state, &host.name).await,
    };
    let gone = state.gone.lock().clone();
    let (concluded_orders, unanswered_orders) = {
        let orders = state.sent_orders.lock();
        (orders.concluded_orders(), orders.unanswered_orders())
    };
    let sent_at = state.now();
    let status = state.targets.status(host.address).await.ok();
    if let Some(status) = &status {
        state.sent_orders.lock().record_target_incarnation(&host.name, status.incarnation);
    }
    let result = if status.is_some() { ProbeResult::Answered } else { ProbeResult::Failed };
    let verdict = record_probe(&state, &host, sent_at, result);
    let record = match (&status, record) {
        (Some(status), Some(record)) => {
            orders::settle(
                &state,
                &host,
                record,
                status,
                &gone,
                &concluded_orders,
                &unanswered_orders,
            )
            .await
        }
        (_, record) => record,
    };
    finish_poll(&state, &host, status, record, verdict);
}

/// Reads the record of a target; without a record the target gets no orders.
async fn read_record(state: &State, target: &Name) -> Option<Versioned<TargetRecord>> {
    match objects::read::<_, StoredTargetRecord>(state, TARGET_KIND, target).await {
        Ok(record) => Some(record),
        // The watch of the configuration logs once that the platform is unavailable.
        Err(ObjectError::Platform { .. }) => None,
        Err(error) => {
            warn!(state.log, "target's record not readable";
                "target" => %target, "error" => %error);
            None
        }
    }
}

fn finish_poll(
    state: &State,
    host: &Host,
    status: Option<TargetStatus>,
    record: Option<Versioned<TargetRecord>>,
    verdict: Verdict,
) {
    let now = state.now();
    let idle_ms = state.coordinator.lock().record_poll(now, &host.name, status, record, verdict);
    state.metrics.idle_accelerators(idle_ms);
    state.plan_due.wake();
}

/// Updates the health verdicts of the targets and logs the changes. After a pause of this process,
/// failures are counted from zero again.
fn update_verdicts(state: &State) {
    for change in state.target_health.lock().tick(state.now()) {
        log_verdict(state, &change);
    }
}

fn log_verdict(state: &State, change: &VerdictChange) {
    info!(state.log, "target's health changed";
        "target" => %change.host, "verdict" => ?change.verdict);
}

fn record_probe(
    state: &State,
    host: &Host,
    sent_at: lycheeford_policy::TimeMs,
    result: ProbeResult,
) -> Verdict {
    let mut health = state.target_health.lock();
    if let Some(change) = health.record_probe(state.now(), &host.name, sent_at, result) {
        log_verdict(state, &change);
    }
    health.verdict(&host.name)
}
