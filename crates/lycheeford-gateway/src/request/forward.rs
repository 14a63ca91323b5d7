use std::net::SocketAddr;
use std::sync::Arc;

use async_std::prelude::FutureExt;
use async_std::task;
use lycheeford_caller::{CallerBody, CallerResponse, ChunkSender, chunk_channel};
use lycheeford_policy::{Name, Ran, Refusal, RefusalCode};
use lycheeford_target::{BodyEnd, TargetBody, TargetResponse};
use rand::seq::SliceRandom;
use slog::info;

use super::admission::Admitted;
use super::answer::Answered;
use super::attempt::Attempts;
use crate::state::State;

/// The most hosts to which a request is forwarded until one accepts it.
const HOSTS_MAX: usize = 3;
/// The `Retry-After` time of a request that no host accepted.
const RETRY_MS: u64 = 200;

/// Sends a request on to another host, which reaches the targets, and returns its response.
///
/// Callers keep addresses for seconds, so a host that is cut off from the targets gets requests
/// after the others have stopped handing out its address.
///
/// # Errors
///
/// Refuses the request if no other host accepts it.
pub(super) async fn forward(attempts: &mut Attempts) -> Result<Answered, Refusal> {
    let state = Arc::clone(&attempts.state);
    let ran_before = attempts.ran;
    for (host, address) in other_hosts(&state) {
        let admitted = &attempts.admitted;
        let left_ms = admitted.final_at.since_ms(state.now());
        if left_ms == 0 {
            break;
        }
        let request = state.protocols.caller.forward(&admitted.request, left_ms);
        info!(state.log, "forwarded";
            "id" => admitted.request.id.as_str(), "peer" => host.as_str(), "left_ms" => left_ms);
        // Holds until the outcome is known, also if this future is dropped.
        attempts.ran = ran_before.max(Ran::Unknown);
        match state.targets.call(address, &request).await {
            Ok(response) => {
                return Ok(Answered::Whole(relay(&state, &attempts.admitted, response)));
            }
            Err(error) if error.may_have_run() => return Err(attempts.failed(&error)),
            Err(error) => {
                attempts.ran = ran_before;
                info!(state.log, "forward_failed";
                    "id" => attempts.admitted.request.id.as_str(), "peer" => host.as_str(),
                    "error" => %error);
            }
        }
    }
    let message = "this host reaches no target and no other host; try another address";
    Err(Refusal::not_run(RefusalCode::NoTarget, message, Some(RETRY_MS)).after(attempts.ran))
}

/// Returns some hosts that accept callers and reach targets, those in this host's failure domain
/// first.
fn other_hosts(state: &State) -> Vec<(Name, SocketAddr)> {
    let own_domain = &state.settings.failure_domain;
    let mut hosts: Vec<(bool, Name, SocketAddr)> = {
        let membership = state.membership();
        let ready = membership.ready(state.now());
        let host = |record: &lycheeford_policy::HostRecord| {
            let is_remote = record.failure_domain != *own_domain;
            (is_remote, record.host.clone(), record.caller_address)
        };
        ready.map(host).collect()
    };
    hosts.shuffle(&mut rand::rng());
    hosts.sort_by_key(|(is_remote, ..)| *is_remote);
    hosts.into_iter().take(HOSTS_MAX).map(|(_, host, address)| (host, address)).collect()
}

/// Passes a response on as it arrives.
fn relay(state: &Arc<State>, admitted: &Admitted, response: TargetResponse) -> CallerResponse {
    let (sender, receiver) = chunk_channel();
    let TargetResponse { status, headers, body, .. } = response;
    let running = state.request_started();
    let (state, id) = (Arc::clone(state), admitted.request.id.clone());
    let arrived_at = admitted.arrived_at;
    task::spawn(async move {
        let _running = running;
        let outcome = relay_body(body, sender).await;
        info!(state.log, "forward_ended";
            "id" => id.as_str(), "status" => status, "outcome" => outcome,
            "total_ms" => state.now().since_ms(arrived_at));
    });
    CallerResponse { status, headers, body: CallerBody::Stream(receiver) }
}

async fn relay_body(mut body: TargetBody, sender: ChunkSender) -> &'static str {
    loop {
        let chunk = async { Some(body.next_chunk().await) };
        let caller_left = async {
            sender.caller_disconnected().await;
            None
        };
        match chunk.race(caller_left).await {
            Some(Ok(Some(chunk))) => {
                if sender.send(chunk).await.is_err() {
                    return "caller left";
                }
            }
            // Without a length or chunks the response may have been cut off.
            Some(Ok(None)) if body.end() == BodyEnd::Declared => {
                sender.finish();
                return "whole";
            }
            Some(Ok(None) | Err(_)) => return "cut",
            None => return "caller left",
        }
    }
}
