use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::prelude::FutureExt;
use async_std::task;
use lycheeford_caller::{CallerBody, CallerResponse, ChunkReceiver, ChunkSender, chunk_channel};
use lycheeford_policy::{Name, Ran, Refusal, RefusalCode};
use lycheeford_target::{BodyEnd, TargetBody, TargetError, TargetResponse};
use rand::seq::SliceRandom;
use slog::info;

use super::answer::Answered;
use super::attempt::Attempts;
use crate::state::{ANSWER_BYTES_MAX, MEMORY_WAIT, State};

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
/// Refuses the request if no other host accepts it, if the one that has it doesn't answer in time,
/// or if that one hasn't run it but an earlier attempt of this host may have.
pub(super) async fn forward(attempts: &mut Attempts) -> Result<Answered, Refusal> {
    let state = Arc::clone(&attempts.state);
    let ran_before = attempts.ran;
    for (host, address) in other_hosts(&state) {
        let admitted = &attempts.admitted;
        let left_ms = admitted.final_at.since_ms(state.now());
        if left_ms == 0 {
            return Err(attempts.out_of_time());
        }
        // A request that was passed on ends with this process, like one at a target.
        let stop_checked = admitted.check_stop(&state, state.now(), ran_before);
        stop_checked.map_err(|refusal| refusal.after(ran_before))?;
        let mut request = state.protocols.caller.forward(&admitted.request, left_ms);
        request.first_byte_ms_max = Some(left_ms);
        info!(state.log, "forwarded";
            "id" => admitted.request.id.as_str(), "peer" => host.as_str(), "left_ms" => left_ms);
        // Holds until the outcome is known, also if this future is dropped.
        attempts.ran = ran_before.max(Ran::Unknown);
        let call = state.targets.call(address, &request);
        let called = timeout(Duration::from_millis(left_ms), call).await;
        match called.unwrap_or_else(|_| Err(TargetError::timed_out(left_ms))) {
            Ok(response) if state.protocols.caller.says_not_run(response.status) => {
                // Only the other host can promise that it won't run the request later.
                if state.protocols.caller.is_from_target(&response.headers) {
                    log_end(attempts, Some(response.status), "refused by a target");
                    let message = "a target refused the request and may have run it; check whether \
                                   it took effect";
                    return Err(attempts.failed(&message));
                }
                attempts.ran = ran_before;
                return refused_by_other_host(attempts, response).await;
            }
            Ok(response) => return relay(attempts, response).await,
            Err(error) if error.may_have_run() => {
                log_end(attempts, None, &error.to_string());
                return Err(attempts.failed(&error));
            }
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

/// Passes on the response of a host that hasn't run a request, unless this host may have.
async fn refused_by_other_host(
    attempts: &mut Attempts,
    response: TargetResponse,
) -> Result<Answered, Refusal> {
    if attempts.ran == Ran::NotRun {
        return relay(attempts, response).await;
    }
    log_end(attempts, Some(response.status), "refused after an attempt of this host");
    let message = "no host can serve the request now, and a target may have run it";
    let refusal = Refusal::not_run(RefusalCode::TargetFailed, message, Some(RETRY_MS));
    Err(refusal.after(attempts.ran))
}

/// Passes a response on, a stream as it arrives.
async fn relay(attempts: &mut Attempts, response: TargetResponse) -> Result<Answered, Refusal> {
    let TargetResponse { status, mut headers, body, .. } = response;
    let is_unstated = attempts.state.protocols.caller.take_unstated_end(&mut headers);
    let is_stream = attempts.admitted.route.kind.is_stream() && status == 200;
    if is_stream {
        let receiver = relay_stream(attempts, body);
        let body = if is_unstated {
            CallerBody::UntilClose(receiver)
        } else {
            CallerBody::Stream(receiver)
        };
        return Ok(Answered::Whole(CallerResponse { status, headers, body }));
    }
    let left_ms = attempts.admitted.final_at.since_ms(attempts.state.now()).max(1);
    let end = body.end();
    let limit = Duration::from_millis(left_ms);
    let error = match body.collect_held(ANSWER_BYTES_MAX, limit).await {
        // Without a length or chunks the response may have been cut off.
        Ok(_) if end == BodyEnd::Connection => TargetError::ended_early("its end isn't stated"),
        Ok(body) => {
            log_end(attempts, Some(status), "whole");
            let body =
                if is_unstated { CallerBody::HeldUntilClose(body) } else { CallerBody::Held(body) };
            return Ok(Answered::Whole(CallerResponse { status, headers, body }));
        }
        Err(error) => error,
    };
    log_end(attempts, Some(status), &error.to_string());
    Err(attempts.failed(&error))
}

/// Relays a stream in a task of its own, until the time of its request is over.
fn relay_stream(attempts: &Attempts, body: TargetBody) -> ChunkReceiver {
    let (sender, receiver) = chunk_channel();
    let state = Arc::clone(&attempts.state);
    let running = state.request_started();
    let admitted = &attempts.admitted;
    let (id, arrived_at) = (admitted.request.id.clone(), admitted.arrived_at);
    let left_ms = admitted.final_at.since_ms(state.now());
    task::spawn(async move {
        let _running = running;
        let relayed = timeout(Duration::from_millis(left_ms), relay_body(body, sender, &state));
        let relayed = async { relayed.await.unwrap_or("deadline passed") };
        let host_stopping = async {
            state.ending.triggered().await;
            state.metrics.stream_cut("host_stopping");
            "this host is stopping"
        };
        let outcome = relayed.race(host_stopping).await;
        info!(state.log, "forward_ended";
            "id" => id.as_str(), "status" => 200, "outcome" => outcome,
            "total_ms" => state.now().since_ms(arrived_at));
    });
    receiver
}

fn log_end(attempts: &Attempts, status: Option<u16>, outcome: &str) {
    let Attempts { state, admitted, .. } = attempts;
    info!(state.log, "forward_ended";
        "id" => admitted.request.id.as_str(), "status" => status, "outcome" => outcome,
        "total_ms" => state.now().since_ms(admitted.arrived_at));
}

async fn relay_body(mut body: TargetBody, sender: ChunkSender, state: &State) -> &'static str {
    loop {
        let chunk = async { Some(body.next_chunk().await) };
        let caller_left = async {
            sender.caller_disconnected().await;
            None
        };
        match chunk.race(caller_left).await {
            Some(Ok(Some(chunk))) => {
                let mut memory = state.memory.reservation();
                if memory.grow_within(chunk.len(), MEMORY_WAIT).await.is_err() {
                    return "no memory";
                }
                if sender.send_held(chunk, memory).await.is_err() {
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
