use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use lycheeford_caller::{CallerBody, CallerResponse, chunk_channel};
use lycheeford_policy::{Chosen, Refusal};
use lycheeford_target::TargetError;

use super::attempt::{Answering, Attempts};
use super::relay::Relay;
use crate::Reply;
use crate::state::ANSWER_BYTES_MAX;

/// The response to a request.
pub(super) enum Answered {
    Whole(CallerResponse),
    /// The head of a stream whose events are still to come.
    Stream(Box<Answering>),
}

/// Sends a request and returns its complete response, or the head of a stream.
///
/// # Errors
///
/// Refuses a request that no target answered.
pub(super) async fn answer(attempts: &mut Attempts) -> Result<Answered, Refusal> {
    let resume_after = attempts.admitted.request.resume_after.clone();
    loop {
        let answering = attempts.send(resume_after.as_deref()).await?;
        let is_stream = attempts.admitted.route.kind.is_stream();
        if is_stream && answering.response.status == 200 && answering.reply == Reply::Ran {
            return Ok(Answered::Stream(Box::new(answering)));
        }
        match whole(attempts, answering).await {
            Ok(response) => return Ok(Answered::Whole(response)),
            Err((chosen, error)) => {
                attempts.broke_off(&chosen, &error);
                if !attempts.may_repeat() {
                    return Err(attempts.failed(&error));
                }
                attempts.exclude(&chosen);
            }
        }
    }
}

/// Relays a stream in a task of its own.
pub(super) fn stream(attempts: Attempts, answering: Answering) -> CallerResponse {
    let (sender, receiver) = chunk_channel();
    let status = answering.response.status;
    let headers = answering.response.headers.clone();
    task::spawn(Relay::new(attempts, sender).run(answering));
    CallerResponse { status, headers, body: CallerBody::Stream(receiver) }
}

/// Reads a complete response and returns it unchanged.
async fn whole(
    attempts: &Attempts,
    answering: Answering,
) -> Result<CallerResponse, (Chosen, TargetError)> {
    let Answering { place, response, reply, sent_at } = answering;
    let state = &attempts.state;
    let (status, headers) = (response.status, response.headers);
    let left_ms = attempts.admitted.final_at.since_ms(state.now()).max(1);
    let read = timeout(Duration::from_millis(left_ms), response.body.whole(ANSWER_BYTES_MAX));
    let body = match read.await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err((place.chosen.clone(), error)),
        Err(_) => return Err((place.chosen.clone(), TargetError::out_of_time(left_ms))),
    };
    let now = state.now();
    if reply == Reply::Ran {
        state.dispatcher().targets.succeeded(now, &place.chosen, now.since_ms(sent_at));
    }
    attempts.log_answered(status, &place.chosen.id, body.len());
    Ok(CallerResponse { status, headers, body: CallerBody::Whole(body) })
}
