//! How the simulated targets execute orders.

use lycheeford_policy::{
    FenceCheck, Incarnation, LoadState, LoadedName, Name, OrderAction, OrderOutcome, OrderReport,
    TargetStatus,
};

use crate::world::{Engine, InFlight, NAMES, World};

impl World {
    /// Restarts a target, which loses the orders in its buffers.
    pub fn restart_target(&mut self, target: usize) {
        let incarnation = Incarnation(self.engines[target].status.incarnation.0 + 1);
        self.engines[target].status = TargetStatus { incarnation, ..TargetStatus::default() };
        self.in_flight.retain(|sent| sent.target != target || !sent.is_buffered);
        for daemon in self.daemons.iter_mut().flatten() {
            let (over, open) =
                daemon.unanswered_orders.drain(..).partition(|(at, _)| *at == target);
            daemon.unanswered_orders = open;
            let over: Vec<(usize, Name)> = over;
            daemon.concluded_orders.extend(over.into_iter().map(|(_, id)| id));
        }
    }

    pub fn pick_in_flight(&mut self, pick: usize) -> Option<InFlight> {
        let index = pick.checked_rem(self.in_flight.len())?;
        Some(self.in_flight.swap_remove(index))
    }

    pub fn end_sending(&mut self, sent: &InFlight) {
        if let Some(daemon) = &mut self.daemons[sent.sender]
            && !sent.is_buffered
        {
            daemon.unanswered_orders.push((sent.target, sent.order.id.clone()));
        }
    }

    /// Delivers an order to its target, which doesn't check its memory.
    pub fn deliver(&mut self, pick: usize) {
        let Some(sent) = self.pick_in_flight(pick) else { return };
        let InFlight { target, order, .. } = &sent;
        let Engine { status, fence_check } = &mut self.engines[*target];
        let is_stale = order.fence <= status.highest_fence;
        let outcome = match order.action {
            _ if is_stale && *fence_check == FenceCheck::Checked => OrderOutcome::RefusedStaleFence,
            OrderAction::Load => {
                let memory_bytes = NAMES.iter().find(|name| *name.0 == *order.name).unwrap().1;
                let loaded = status.loaded.iter().any(|loaded| loaded.name == order.name);
                if !loaded {
                    let state = LoadState::Loading;
                    status.loaded.push(LoadedName {
                        name: order.name.clone(),
                        memory_bytes,
                        state,
                    });
                }
                OrderOutcome::Accepted
            }
            OrderAction::Unload => {
                status.loaded.retain(|loaded| loaded.name != order.name);
                OrderOutcome::Done
            }
        };
        status.highest_fence = status.highest_fence.max(order.fence);
        status.orders.push(OrderReport { order_id: order.id.clone(), outcome });
        if let Some(daemon) = &mut self.daemons[sent.sender]
            && !sent.is_buffered
        {
            daemon.concluded_orders.push(sent.order.id);
        }
    }

    /// Completes or fails all loads of a target.
    pub fn progress(&mut self, target: usize, succeeds: bool) {
        let status = &mut self.engines[target].status;
        let outcome = if succeeds { OrderOutcome::Done } else { OrderOutcome::Failed };
        for report in &mut status.orders {
            if report.outcome == OrderOutcome::Accepted {
                report.outcome = outcome;
            }
        }
        if !succeeds {
            status.loaded.retain(|loaded| loaded.state == LoadState::Ready);
        }
        for loaded in &mut status.loaded {
            loaded.state = LoadState::Ready;
        }
    }
}
