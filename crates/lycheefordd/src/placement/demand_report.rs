use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use lycheeford_policy::TimeMs;
use lycheeford_wire::{DemandReport, Message};

use crate::loads::demand::record_demand;
use crate::membership::outbox;
use crate::membership::peer_view::coordinator_host;
use crate::state::State;

/// The maximum interval between two checks for expired requests while requests wait.
const TICK_MS: u64 = 50;
/// The same interval while no request waits.
const IDLE_TICK_MS: u64 = 100;
/// How often demand is reported even if it didn't change.
pub(super) const REPORT_MS: u64 = 200;

/// Reports demand to the coordinator and refuses expired requests.
pub(crate) async fn report_demand(state: Arc<State>) {
    let mut reported_at = TimeMs::default();
    let mut last_was_empty = true;
    loop {
        let tick_ms = if state.placement.lock().queued() > 0 { TICK_MS } else { IDLE_TICK_MS };
        let woken = timeout(Duration::from_millis(tick_ms), state.demand_changed.woken()).await;
        let now = state.now();
        state.pause_detector.lock().tick(now);
        let report = {
            let mut placement = state.placement.lock();
            placement.expire(now);
            if woken.is_err() && now.since_ms(reported_at) < REPORT_MS {
                continue;
            }
            placement.report(now)
        };
        let empty = report == DemandReport::default();
        if empty && last_was_empty {
            continue;
        }
        last_was_empty = empty;
        reported_at = now;
        send(&state, report);
    }
}

fn send(state: &State, report: DemandReport) {
    let coordinator = coordinator_host(state);
    if coordinator == state.me.host {
        record_demand(state, &state.me, report);
    } else {
        outbox::send(state, &coordinator, Message::DemandReport(report));
    }
}
