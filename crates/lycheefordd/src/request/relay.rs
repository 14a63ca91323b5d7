use std::time::Duration;

use async_std::future::timeout;
use async_std::prelude::FutureExt;
use lycheeford_caller::ChunkSender;
use lycheeford_policy::{Ran, Refusal, RefusalCode, TimeMs};
use lycheeford_target::{CompletionEvent, Event, EventSplitter, TargetBody, TargetError};
use serde_json::json;

use crate::dispatch_gate::stopped_while_running;
use crate::operation::metrics;
use crate::request::completion::{Attempt, Completion};

/// The largest event that an engine may send.
const EVENT_BYTES_MAX: usize = 1 << 20;
/// How long a stream may run without a complete event; bytes and comments alone don't count.
const STALL_MS: u64 = 10_000;
/// How often a stream without events checks its key, its deadline and the stop of this host.
const CHECK_MS: u64 = 250;

/// Forwards a streamed completion to the caller, event by event.
///
/// A stream that breaks is resumed at another target after the tokens that were
/// already delivered to the caller. A withdrawn key ends the stream.
pub(crate) struct Relay {
    completion: Completion,
    sender: ChunkSender,
    delivered_tokens: u64,
    prompt_charged: bool,
    last_token_at: Option<TimeMs>,
}

/// How a stream ended at one target.
enum End {
    Done,
    HungUp,
    Broken(Option<TargetError>),
    Refused(Refusal),
}

/// The next thing that happened while waiting on a stream.
enum Next {
    Chunk(Result<Option<Vec<u8>>, TargetError>),
    HungUp,
    Idle,
}

impl Relay {
    pub(crate) fn new(completion: Completion, sender: ChunkSender) -> Relay {
        Relay {
            completion,
            sender,
            delivered_tokens: 0,
            prompt_charged: false,
            last_token_at: None,
        }
    }

    pub(crate) async fn run(mut self, attempt: Attempt) {
        let _running = self.completion.state.running.request_started();
        let mut attempt = attempt;
        loop {
            let instance = attempt.placed.instance.clone();
            let end = self.forward_stream(attempt).await;
            if self.delivered_tokens > 0 && !matches!(end, End::Broken(_)) {
                self.charge_prompt(u64::MAX);
            }
            match end {
                End::Done => {
                    self.completion.record_success();
                    self.sender.finish();
                    return;
                }
                End::HungUp => {
                    self.completion.state.metrics.event(metrics::Event::HangUp);
                    return;
                }
                End::Refused(refusal) => return self.abort(&refusal).await,
                End::Broken(error) => {
                    if let Some(error) = &error {
                        self.completion.target_failed(&instance, error).await;
                    } else {
                        self.completion.exclude(instance.target);
                    }
                    let state = self.completion.state.clone();
                    let resumed = state.run_until_stop(self.resume(error)).await;
                    match resumed.unwrap_or_else(|| Err(stopped_while_streaming())) {
                        Ok(resumed) => attempt = resumed,
                        Err(refusal) => return self.abort(&refusal).await,
                    }
                }
            }
        }
    }

    async fn resume(&mut self, error: Option<TargetError>) -> Result<Attempt, Refusal> {
        if !self.completion.can_retry() {
            return Err(self.completion.failure(error));
        }
        let resumed = self.completion.dispatch(self.delivered_tokens).await?;
        if resumed.response.status != 200 {
            return Err(self.completion.failure(error));
        }
        self.completion.state.metrics.event(metrics::Event::Resume);
        Ok(resumed)
    }

    async fn forward_stream(&mut self, attempt: Attempt) -> End {
        let Attempt { placed, response } = attempt;
        let mut body = response.body;
        let cold = placed.waited_ms.is_some();
        let mut splitter = EventSplitter::new(EVENT_BYTES_MAX);
        let mut progress_at = self.completion.state.now();
        loop {
            if let Err(refusal) = self.check() {
                return End::Refused(refusal);
            }
            let now = self.completion.state.now();
            if now.since_ms(progress_at) >= STALL_MS {
                return End::Broken(Some(TargetError::timed_out(STALL_MS)));
            }
            let chunk = match self.next(&mut body).await {
                Next::Idle => continue,
                Next::HungUp => return End::HungUp,
                Next::Chunk(Ok(Some(chunk))) => chunk,
                // A body that ends before the final `[DONE]` event is truncated.
                Next::Chunk(Ok(None)) => return End::Broken(None),
                Next::Chunk(Err(error)) => return End::Broken(Some(error)),
            };
            let Ok(events) = splitter.push(&chunk) else { return End::Broken(None) };
            if events.iter().any(|event| !event.data.is_empty()) {
                progress_at = now;
            }
            for event in events {
                if let Some(end) = self.forward_event(event, cold).await {
                    return end;
                }
            }
        }
    }

    /// Waits for the next chunk, for the caller to hang up, or until the next check is due.
    async fn next(&self, body: &mut TargetBody) -> Next {
        let chunk = async { Next::Chunk(body.next_chunk().await) };
        let hung_up = async {
            self.sender.caller_disconnected().await;
            Next::HungUp
        };
        let either = chunk.race(hung_up);
        timeout(Duration::from_millis(CHECK_MS), either).await.unwrap_or(Next::Idle)
    }

    async fn forward_event(&mut self, event: Event, cold: bool) -> Option<End> {
        if event.is_foreign {
            return Some(End::Broken(Some(TargetError::invalid_stream("a line is no field"))));
        }
        let parsed = match CompletionEvent::parse(&event.data) {
            Ok(parsed) => parsed,
            Err(error) => return Some(End::Broken(Some(error))),
        };
        if parsed.done {
            let sent = self.sender.send(event.raw).await;
            return Some(if sent.is_ok() { End::Done } else { End::HungUp });
        }
        if !parsed.text.is_empty() {
            if self.completion.reserved.consume(1).is_err() {
                return Some(End::Refused(over_reservation()));
            }
            self.record_token(cold);
        }
        if let Some(usage) = parsed.usage {
            self.charge_prompt(usage.prompt_tokens);
        }
        self.sender.send(event.raw).await.err().map(|_| End::HungUp)
    }

    fn record_token(&mut self, cold: bool) {
        let now = self.completion.state.now();
        let (metrics, labels) = (&self.completion.state.metrics, &self.completion.labels);
        match self.last_token_at {
            None => self.completion.observe_first_token(cold),
            Some(last) => {
                let gap_ms = now.since_ms(last) as f64;
                metrics.between_tokens_ms.get_or_create(labels).observe(gap_ms);
            }
        }
        metrics.tokens(labels, 1);
        self.last_token_at = Some(now);
        self.delivered_tokens += 1;
    }

    /// Charges the prompt once: the tokens that the engine reported, at most those reserved for
    /// the prompt, or all reserved ones if the engine reported none.
    fn charge_prompt(&mut self, prompt_tokens: u64) {
        if std::mem::replace(&mut self.prompt_charged, true) {
            return;
        }
        let tokens = prompt_tokens.min(self.completion.call.prompt_tokens_max);
        // Can't fail: the reservation still holds all of the prompt's tokens.
        let _ = self.completion.reserved.consume(tokens);
        self.completion.state.metrics.tokens(&self.completion.labels, tokens);
    }

    fn check(&self) -> Result<(), Refusal> {
        let now = self.completion.state.now();
        if !self.completion.state.running.can_run(now) {
            return Err(stopped_while_streaming());
        }
        if now > self.completion.deadline {
            let message = "the deadline passed before the answer's end; allow more time";
            let refusal = Refusal::not_run(RefusalCode::DeadlinePassed, message, None);
            return Err(refusal.after(Ran::Ran));
        }
        let checked = self.completion.access.recheck(&self.completion.state);
        checked.map_err(|refusal| refusal.after(Ran::Ran))
    }

    /// Sends the caller an error event that says why its stream ends early, and breaks the stream.
    async fn abort(self, refusal: &Refusal) {
        let state = &self.completion.state;
        state.metrics.refusal(Some(&self.completion.access.customer.name), refusal.code);
        let what = format!("stream ended early: {:?}: {}", refusal.code, refusal.message);
        state.decisions.lock().record(
            state.now(),
            &[&self.completion.id, &self.completion.access.customer.name],
            what,
        );
        let error = json!({ "error": {
            "code": refusal.code,
            "message": refusal.message,
            "ran": refusal.ran,
            "request_id": self.completion.id,
            "retry_after_ms": refusal.retry_after_ms,
        }});
        // The send fails if the caller has hung up; the broken stream then is the only signal.
        let _ = self.sender.send(format!("data: {error}\n\n").into_bytes()).await;
        self.sender.fail();
    }
}

fn stopped_while_streaming() -> Refusal {
    stopped_while_running().after(Ran::Ran)
}

fn over_reservation() -> Refusal {
    let message = "the engine generated more than max_tokens; correct the engine's token limit";
    Refusal::not_run(RefusalCode::TargetFailed, message, None).after(Ran::Ran)
}
