use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use lycheeford_policy::{Chosen, Name, PermitAnswer, PermitAsk, PermitRank, TargetBelief};
use slog::info;

use super::signals::update_limit;
use crate::membership::{LimitEvent, PermitRequest};
use crate::state::State;

/// The longest network delay of a permit reply. The granting host itself replies as soon as it has
/// decided, which it does within the time that the request may wait.
const REPLY_MS_MAX: u64 = 60;
/// The interval, without `REPLY_MS_MAX`, after which a waiting permit request is sent again, since
/// the message may be lost.
const RESEND_MS: u64 = 150;
/// How long no permit of the same rank or a worse one is requested for a target after a request
/// without a reply.
const SILENT_PAUSE_MS: u64 = 300;

/// The permit requests of this host that have no reply yet.
#[derive(Debug, Default)]
pub(crate) struct PermitWaiters {
    waiting: Vec<(u64, Sender<PermitAnswer>)>,
}

impl PermitWaiters {
    /// Delivers a reply to the request that waits for it, if there still is one.
    pub(crate) fn deliver(&mut self, number: u64, answer: PermitAnswer) {
        if let Some(index) = self.waiting.iter().position(|(waiting, _)| *waiting == number) {
            let (_, sender) = self.waiting.swap_remove(index);
            // Fails only if the receiver was dropped with its request.
            let _ = sender.try_send(answer);
        }
    }
}

/// A permit request without a reply. Dropping it discards a later reply.
struct PendingPermit<'a> {
    state: &'a State,
    number: u64,
    receiver: Receiver<PermitAnswer>,
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        self.state.permits().waiting.retain(|(number, _)| *number != self.number);
    }
}

/// Asks for a permit to send request `id` to a rate-limited target; returns whether it was granted.
///
/// After a denial, or if no reply arrives, this host requests no permit of this rank or a worse one
/// for the target until a wait is over.
pub(super) async fn acquire_permit(
    state: &Arc<State>,
    id: &Name,
    chosen: &Chosen,
    rank: PermitRank,
    wait_ms_max: u64,
) -> bool {
    let asked_at = state.now();
    let (limit, denied_until) = {
        let dispatcher = state.dispatcher();
        let belief = dispatcher.targets.target(&chosen.id).map(|target| &target.belief);
        let limit = belief.and_then(TargetBelief::limit);
        (limit, belief.and_then(|belief| belief.denied_until(asked_at, rank)))
    };
    // The limit may have been removed, or a permit denied to another request, since the target was
    // chosen.
    let Some((per_s, _)) = limit else { return true };
    if denied_until.is_some() {
        return false;
    }
    let wait_ms_max = if rank == PermitRank::Spare { 0 } else { wait_ms_max };
    let answer = request_permit(state, chosen, rank, wait_ms_max).await;
    let now = state.now();
    let (per_s, outcome, wait_ms) = match answer {
        Some(PermitAnswer::Granted { per_s }) => (Some(per_s), "granted", None),
        Some(PermitAnswer::Unlimited) => (None, "unlimited", None),
        Some(PermitAnswer::Denied { per_s, wait_ms }) => (Some(per_s), "denied", Some(wait_ms)),
        None => (Some(per_s), "silent", Some(SILENT_PAUSE_MS)),
    };
    if answer.is_some() {
        update_limit(state, chosen.target_life(), per_s);
    }
    if let Some(wait_ms) = wait_ms {
        state.dispatcher().targets.permit_denied(now, chosen, rank, now + wait_ms);
    }
    state.metrics.permit(outcome);
    info!(state.log, "permit";
        "id" => id.as_str(), "target" => chosen.id.as_str(), "rank" => ?rank, "answer" => outcome,
        "limit_per_s" => per_s, "wait_ms" => wait_ms, "took_ms" => now.since_ms(asked_at));
    wait_ms.is_none()
}

/// Sends the permit request to the granting host, repeatedly, until it replies or the time is up.
async fn request_permit(
    state: &Arc<State>,
    chosen: &Chosen,
    rank: PermitRank,
    wait_ms_max: u64,
) -> Option<PermitAnswer> {
    let (sender, receiver) = bounded(1);
    let pending = PendingPermit { state, number: state.next_number(), receiver };
    state.permits().waiting.push((pending.number, sender));
    let give_up_at = state.now() + wait_ms_max;
    loop {
        let now = state.now();
        let limit = state.dispatcher().targets.target(&chosen.id)?.belief.limit();
        let Some((per_s, named_at)) = limit else { return Some(PermitAnswer::Unlimited) };
        let left_ms = give_up_at.since_ms(now);
        let asker = state.settings.peer_address;
        let ask = PermitAsk { asker, number: pending.number, rank, patience_ms: left_ms };
        let target = chosen.target_life();
        let age_ms = now.since_ms(named_at);
        state.queue_event(LimitEvent::LocalRequest(PermitRequest { target, per_s, age_ms, ask }));
        let interval_ms = left_ms.min(RESEND_MS) + REPLY_MS_MAX;
        match timeout(Duration::from_millis(interval_ms), pending.receiver.recv()).await {
            Ok(Ok(answer)) => return Some(answer),
            Ok(Err(_)) => return None,
            Err(_) if state.now() >= give_up_at => return None,
            Err(_) => {}
        }
    }
}
