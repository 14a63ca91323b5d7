use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use lycheeford_caller::{CallerBody, CallerResponse, HeldBytes, chunk_channel};
use lycheeford_policy::{Chosen, EndDoubt, Refusal};
use lycheeford_target::{BodyEnd, TargetError};
use slog::info;

use super::attempt::{Attempts, StartedResponse};
use super::relay::Relay;
use super::resume::pin_resumed_version;
use crate::Reply;
use crate::state::ANSWER_BYTES_MAX;

const SUCCESSES: Range<u16> = 200..300;

/// The response to a request.
pub(super) enum Answered {
    Whole(CallerResponse),
    /// The head of a stream whose events are still to come.
    Stream(Box<StartedResponse>),
}

/// Sends a request and returns its complete response, or the head of a stream.
///
/// # Errors
///
/// Refuses a request to which no target returned a complete response or the head of a stream.
pub(super) async fn answer(attempts: &mut Attempts) -> Result<Answered, Refusal> {
    pin_resumed_version(&attempts.state, &mut attempts.admitted).await?;
    let resume_after = attempts.admitted.request.resume_after.clone();
    loop {
        let started = attempts.send(resume_after.as_deref()).await?;
        let is_stream = attempts.admitted.route.kind.is_stream();
        if is_stream && started.response.status == 200 && started.reply == Reply::Ran {
            return Ok(Answered::Stream(Box::new(started)));
        }
        match collect(attempts, started).await {
            Ok(collected) => {
                let collected = repeat_if_doubted(attempts, collected).await;
                return Ok(Answered::Whole(collected.into_response(attempts)));
            }
            Err((chosen, error)) => {
                attempts.record_broken(&chosen, &error, 0);
                // Another target's answer wouldn't find more memory.
                if error.is_for_want_of_memory() || !attempts.wait_for_retry().await {
                    return Err(attempts.failed(&error));
                }
                attempts.exclude(&chosen);
            }
        }
    }
}

/// Relays a stream in a task of its own.
pub(super) fn stream(attempts: Attempts, started: StartedResponse) -> CallerResponse {
    let (sender, receiver) = chunk_channel();
    let status = started.response.status;
    let mut headers = started.response.headers.clone();
    let end = started.response.body.end();
    let body = match caller_end(&attempts, end, &mut headers) {
        BodyEnd::Declared => CallerBody::Stream(receiver),
        BodyEnd::Connection => CallerBody::UntilClose(receiver),
    };
    task::spawn(Relay::new(attempts, sender, end).run(started));
    CallerResponse { status, headers, body }
}

/// A response whose body was read to its end.
struct Collected {
    status: u16,
    headers: Vec<(String, String)>,
    body: HeldBytes,
    end: BodyEnd,
    target: Chosen,
    /// Why the body may be incomplete, if anything says so.
    doubt: Option<EndDoubt>,
}

impl Collected {
    fn into_response(self, attempts: &Attempts) -> CallerResponse {
        let Collected { status, mut headers, body, end, target, .. } = self;
        attempts.log_answered(status, &target.id, body.pieces().len(), end);
        let body = match caller_end(attempts, end, &mut headers) {
            BodyEnd::Declared => CallerBody::Held(body),
            BodyEnd::Connection => CallerBody::HeldUntilClose(body),
        };
        CallerResponse { status, headers, body }
    }
}

/// Reads the body of a response to its end.
async fn collect(
    attempts: &Attempts,
    started: StartedResponse,
) -> Result<Collected, (Chosen, TargetError)> {
    let StartedResponse { slot, response, reply, sent_at } = started;
    let state = &attempts.state;
    let target = slot.chosen.clone();
    let (status, headers) = (response.status, response.headers);
    let left_ms = attempts.admitted.final_at.since_ms(state.now()).max(1);
    let end = response.body.end();
    let limit = Duration::from_millis(left_ms);
    let body = match response.body.collect_held(ANSWER_BYTES_MAX, limit).await {
        Ok(body) => body,
        Err(error) => return Err((target, error)),
    };
    let mut doubt = None;
    if end == BodyEnd::Connection {
        // A success without a byte more likely comes from a target that stopped after its head.
        if body.pieces().is_empty() && SUCCESSES.contains(&status) {
            return Err((target, TargetError::ended_early("it has no body")));
        }
        match attempts.check_unstated_end(&target, 0, state.now()).await {
            Ok(sign) => doubt = state.unstated_ends().body_doubt(state.now(), &target.id, sign),
            Err(error) => return Err((target, error)),
        }
    }
    let now = state.now();
    if reply == Reply::Ran {
        state.dispatcher().targets.succeeded(now, &slot.chosen, now.since_ms(sent_at));
        if end == BodyEnd::Declared {
            attempts.record_completion();
        }
    }
    Ok(Collected { status, headers, body, end, target, doubt })
}

/// Repeats a request whose response may be incomplete, if it may be repeated, and returns the other
/// response if that is as good and known to be complete, or has the same body.
async fn repeat_if_doubted(attempts: &mut Attempts, first: Collected) -> Collected {
    let Some(doubt) = first.doubt else { return first };
    let may_repeat = SUCCESSES.contains(&first.status) && attempts.may_run_elsewhere();
    if !may_repeat || !attempts.take_retry_for(doubt) {
        return first;
    }
    let state = Arc::clone(&attempts.state);
    let service = &attempts.admitted.need.service;
    state.unstated_ends().asked(state.now(), service, &first.target.id, doubt);
    let wait = Duration::from_millis(attempts.admitted.route.objective_ms);
    attempts.exclude(&first.target);
    let repeated = timeout(wait, repeat(attempts)).await.ok().flatten();
    let is_better = |again: &Collected| {
        again.status == first.status
            && (again.end == BodyEnd::Declared || again.body.pieces() == first.body.pieces())
    };
    let repeated = repeated.filter(is_better);
    info!(state.log, "answer_repeated";
        "id" => attempts.admitted.request.id.as_str(), "target" => first.target.id.as_str(),
        "doubt" => doubt.label(), "bytes" => first.body.pieces().len(),
        "repeated_bytes" => repeated.as_ref().map(|again| again.body.pieces().len()));
    repeated.unwrap_or(first)
}

async fn repeat(attempts: &mut Attempts) -> Option<Collected> {
    let started = attempts.send(None).await.ok()?;
    match collect(attempts, started).await {
        Ok(collected) => Some(collected),
        Err((chosen, error)) => {
            attempts.record_broken(&chosen, &error, 0);
            None
        }
    }
}

/// Returns how the end of a response is recognized by whoever sent the request.
///
/// The host that passed a request on must notice if this one breaks off, so that it gets a stated
/// end and is told that the target's isn't.
fn caller_end(attempts: &Attempts, end: BodyEnd, headers: &mut Vec<(String, String)>) -> BodyEnd {
    if end == BodyEnd::Declared || !attempts.admitted.request.is_forwarded {
        return end;
    }
    attempts.state.protocols.caller.mark_unstated_end(headers);
    BodyEnd::Declared
}
