use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use futures_util::future::join_all;
use lycheeford_policy::{Name, ShortKey, TargetUse};
use lycheeford_target::{Connection, TargetRequest};
use rand::seq::IndexedRandom;
use slog::info;

use crate::state::State;

/// The number of targets in the first and the second part of a probe. Most probes follow the crash
/// of a few targets and are answered in the first part.
const PROBED_FIRST: usize = 2;
const PROBED_THEN: usize = 4;
/// How long a target may take to answer a probe.
const ANSWER_MS_MAX: u64 = 400;
/// The interval of probes while they fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The interval at which a request without an answer checks whether this host is cut off.
const CUT_OFF_CHECK: Duration = Duration::from_millis(100);
/// The interval and the number of the checks whether a probe has ended.
const CONFIRMATION_CHECK: Duration = Duration::from_millis(20);
const CONFIRMATIONS_MAX: usize = 60;

/// A target to probe.
struct ProbedTarget {
    id: Name,
    address: SocketAddr,
    is_engine: bool,
}

/// Records that a request failed at a target or that its answer is late, and starts a probe of
/// other targets if this host may be cut off from all of them.
pub(crate) fn record_unanswered(state: &State, target: &Name) {
    if state.reach().failed(state.now(), ShortKey::of(target)) {
        request_probe(state);
    }
}

/// Starts a probe, unless one is due already.
pub(crate) fn request_probe(state: &State) {
    // A full channel already holds a wake-up.
    let _ = state.probe_due.0.try_send(());
}

/// Probes targets when this host may be cut off from all of them, and until one answers again.
pub(crate) async fn watch_reach(state: Arc<State>) {
    loop {
        let is_failing = state.reach().has_failed_probe();
        let due = state.probe_due.1.recv();
        if is_failing {
            // Probing is due after a wake-up and after a time-out alike.
            let _ = timeout(PROBE_INTERVAL, due).await;
        } else if due.await.is_err() {
            return;
        }
        probe(&state).await;
    }
}

async fn probe(state: &Arc<State>) {
    let (now, was_cut_off) = (state.now(), state.is_cut_off());
    state.reach().probe_started(now);
    let targets = probed_targets(state);
    if targets.is_empty() {
        return;
    }
    let (first, then) = targets.split_at(PROBED_FIRST.min(targets.len()));
    let mut answered = first_answered(state, first).await;
    if answered.is_none() {
        answered = first_answered(state, then).await;
    }
    let is_answered = answered.is_some();
    let now = state.now();
    let has_ended = state.reach().probed(now, is_answered);
    if has_ended {
        state.dispatcher().targets.forget_failures();
    }
    let is_cut_off = state.is_cut_off();
    info!(state.log, "targets_probed";
        "probed" => targets.len(), "answered" => answered.map(Name::as_str),
        "cut_off" => is_cut_off);
    if is_cut_off != was_cut_off {
        state.dispatch_waiting();
    }
}

/// Waits until this host is cut off from all targets.
pub(crate) async fn until_cut_off(state: &State) {
    while !state.is_cut_off() {
        task::sleep(CUT_OFF_CHECK).await;
    }
}

/// Returns whether this host can open connections to any target, by a probe if that isn't known.
pub(crate) async fn opens_connections(state: &State) -> bool {
    for _ in 0..CONFIRMATIONS_MAX {
        if let Some(opens_connections) = state.reach().opens_connections(state.now()) {
            return opens_connections;
        }
        request_probe(state);
        task::sleep(CONFIRMATION_CHECK).await;
    }
    false
}

/// Returns some targets in random order.
fn probed_targets(state: &State) -> Vec<ProbedTarget> {
    let now = state.now();
    let deployment = state.deployment.load_full();
    let dispatcher = state.dispatcher();
    let listed = dispatcher.targets.targets().iter();
    let present: Vec<_> =
        listed.filter(|target| target.belief.use_at(now) != TargetUse::Never).collect();
    let chosen = present.sample(&mut rand::rng(), PROBED_FIRST + PROBED_THEN);
    let is_engine = |service: &Name| {
        let service = deployment.as_ref().and_then(|known| known.service(service));
        service.is_some_and(|service| service.engine.is_some())
    };
    let probed = chosen.map(|target| ProbedTarget {
        id: target.entry.id.clone(),
        address: target.entry.address,
        is_engine: is_engine(&target.entry.service),
    });
    probed.collect()
}

/// Returns the first of the targets that answers.
async fn first_answered<'a>(state: &State, targets: &'a [ProbedTarget]) -> Option<&'a Name> {
    let probes = targets.iter().map(|target| is_answered(state, target));
    let answered = join_all(probes).await;
    let index = answered.iter().position(|is_answered| *is_answered)?;
    Some(&targets[index].id)
}

/// Returns whether a target answers over a new connection: connections that were open before a
/// partition may live on.
async fn is_answered(state: &State, target: &ProbedTarget) -> bool {
    let answer = async {
        if !target.is_engine {
            return state.targets.check_listening(target.address).await.is_ok();
        }
        let request = TargetRequest {
            connection: Connection::Fresh,
            ..state.protocols.target.report(&target.id)
        };
        state.targets.call(target.address, &request).await.is_ok()
    };
    timeout(Duration::from_millis(ANSWER_MS_MAX), answer).await.unwrap_or(false)
}
