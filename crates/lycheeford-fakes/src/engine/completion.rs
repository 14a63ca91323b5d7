use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{self, Sender};
use async_std::task;
use futures_util::TryStreamExt;
use futures_util::future::{Either, pending, select};
use http_types::{Body, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::expected::{expected_token, prompt_tokens};
use crate::reply::{error_reply, json_reply, read_json};
use crate::server::{Caller, lock};

use super::Shared;
use super::audit::unix_us;
use super::faults::EngineFaults;

/// The interval at which a queued request checks whether it can start.
const QUEUE_POLL: Duration = Duration::from_millis(2);

/// The completion length if the request sets no `max_tokens`.
/// What an engine with a fault sends in the middle of a stream.
const ERROR_IN_STREAM: &[u8] =
    b"HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\r\nout of memory\n\n";
const DEFAULT_MAX_TOKENS: u64 = 16;

/// The API format of the request and the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Dialect {
    Text,
    Chat,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// A queued or running request; dropping it frees its slot.
struct Run {
    shared: Arc<Shared>,
    caller: Caller,
    dialect: Dialect,
    model: String,
    prompt: String,
    first: u64,
    tokens: u64,
    ticket: u64,
}

#[derive(Debug)]
enum Stopped {
    /// The caller disconnected.
    Cancelled,
    /// A fault truncated the response.
    Truncated,
}

/// The interval between comment bytes once a fault has stopped the tokens.
const TRICKLE_PAUSE: Duration = Duration::from_millis(200);

type Piece = Result<Vec<u8>, io::Error>;

pub(super) async fn complete(
    shared: Arc<Shared>,
    dialect: Dialect,
    mut request: Request,
    caller: Caller,
) -> http_types::Result<Response> {
    let body: CompletionBody = match read_json(&mut request).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let streams = body.stream;
    let priority = header_number(&request, "x-priority").unwrap_or(0);
    let first = header_number(&request, "x-resume-from-token").unwrap_or(0);
    let ticket = {
        let mut state = lock(&shared.state);
        state.record_arrival();
        if !state.is_ready(&body.model) {
            return error_reply(StatusCode::NotFound, "model_not_loaded");
        }
        state.batch.queue(priority)
    };
    let tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let prompt = body.prompt.unwrap_or_else(|| joined(&body.messages));
    let run = Run { shared, caller, dialect, model: body.model, prompt, first, tokens, ticket };
    if streams { Ok(stream_answer(run)) } else { whole_answer(run).await }
}

fn stream_answer(run: Run) -> Response {
    let (sender, receiver) = channel::bounded::<Piece>(1);
    task::spawn(async move {
        let end = run.produce(&sender).await;
        run.finish(end.as_ref().err());
        if matches!(end, Err(Stopped::Truncated)) {
            let cut = io::Error::new(io::ErrorKind::ConnectionAborted, "truncated by a fault");
            let _ = sender.send(Err(cut)).await;
        }
    });
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("content-type", "text/event-stream");
    response.set_body(Body::from_reader(receiver.into_async_read(), None));
    response.insert_header("content-type", "text/event-stream");
    response
}

async fn whole_answer(run: Run) -> http_types::Result<Response> {
    let end = run.text().await;
    run.finish(end.as_ref().err());
    match end {
        Ok(text) => json_reply(StatusCode::Ok, &run.whole(&text)),
        Err(_) => Err(http_types::Error::from_str(StatusCode::InternalServerError, "cut")),
    }
}

impl Run {
    async fn text(&self) -> Result<String, Stopped> {
        self.start().await?;
        let mut text = String::new();
        for index in self.first..self.tokens {
            text.push_str(&self.token(index).await?);
        }
        Ok(text)
    }

    async fn produce(&self, sender: &Sender<Piece>) -> Result<(), Stopped> {
        self.start().await?;
        for index in self.first..self.tokens {
            self.trickle(index - self.first, sender).await?;
            self.fail_with_text(index - self.first, sender).await?;
            let token = self.token(index).await?;
            send_event(sender, &self.chunk(&token).to_string()).await?;
        }
        send_event(sender, &self.last_chunk().to_string()).await?;
        send_event(sender, "[DONE]").await
    }

    /// Sends bytes that complete no event until the caller disconnects, if a fault asks for it.
    async fn trickle(&self, sent: u64, sender: &Sender<Piece>) -> Result<(), Stopped> {
        let after = lock(&self.shared.state).faults.trickle_after_tokens;
        while after.is_some_and(|after| sent >= after) {
            sender.send(Ok(b":".to_vec())).await.map_err(|_| Stopped::Cancelled)?;
            self.unless_disconnected(task::sleep(TRICKLE_PAUSE)).await?;
        }
        Ok(())
    }

    /// Sends an error in the middle of the stream, if a fault asks for it.
    async fn fail_with_text(&self, sent: u64, sender: &Sender<Piece>) -> Result<(), Stopped> {
        let after = lock(&self.shared.state).faults.error_after_tokens;
        if after.is_none_or(|after| sent < after) {
            return Ok(());
        }
        sender.send(Ok(ERROR_IN_STREAM.to_vec())).await.map_err(|_| Stopped::Cancelled)?;
        Err(Stopped::Truncated)
    }

    /// Returns the token at `index` after its configured delay.
    async fn token(&self, index: u64) -> Result<String, Stopped> {
        let faults = lock(&self.shared.state).faults.clone();
        self.apply_faults(&faults, index - self.first).await?;
        let options = &self.shared.options;
        let delay_ms =
            if index == self.first { options.first_token_ms } else { options.token_interval_ms };
        self.unless_disconnected(task::sleep(Duration::from_millis(delay_ms))).await?;
        Ok(expected_token(&self.model, &self.prompt, index))
    }

    async fn start(&self) -> Result<(), Stopped> {
        while !lock(&self.shared.state).batch.try_start(self.ticket, &self.model) {
            self.unless_disconnected(task::sleep(QUEUE_POLL)).await?;
        }
        let mut state = lock(&self.shared.state);
        state.audit.completions_started += 1;
        state.record_status();
        drop(state);
        let marker = self.shared.options.crash_marker.as_deref();
        if marker.is_some_and(|marker| self.prompt.contains(marker)) {
            self.shared.crash();
            return Err(Stopped::Truncated);
        }
        Ok(())
    }

    async fn apply_faults(&self, faults: &EngineFaults, sent: u64) -> Result<(), Stopped> {
        if faults.truncate_after_tokens.is_some_and(|after| sent >= after) {
            return Err(Stopped::Truncated);
        }
        if faults.silent_after_tokens.is_some_and(|after| sent >= after) {
            return self.unless_disconnected(pending()).await;
        }
        Ok(())
    }

    async fn unless_disconnected(&self, wait: impl Future<Output = ()>) -> Result<(), Stopped> {
        match select(Box::pin(wait), Box::pin(self.caller.disconnected())).await {
            Either::Left(_) => Ok(()),
            Either::Right(_) => Err(Stopped::Cancelled),
        }
    }

    fn finish(&self, stopped: Option<&Stopped>) {
        let mut state = lock(&self.shared.state);
        match stopped {
            None => state.audit.completions_finished += 1,
            Some(Stopped::Cancelled) => state.audit.completions_cancelled += 1,
            Some(Stopped::Truncated) => {}
        }
        state.batch.finish(self.ticket);
        state.record_status();
    }

    fn chunk(&self, token: &str) -> Value {
        let choice = match self.dialect {
            Dialect::Text => json!({ "index": 0, "text": token, "finish_reason": null }),
            Dialect::Chat => {
                json!({ "index": 0, "delta": { "content": token }, "finish_reason": null })
            }
        };
        json!({
            "object": self.object_name(),
            "model": self.model,
            "choices": [choice],
            "sent_us": unix_us(),
        })
    }

    fn last_chunk(&self) -> Value {
        let choice = match self.dialect {
            Dialect::Text => json!({ "index": 0, "text": "", "finish_reason": "length" }),
            Dialect::Chat => json!({ "index": 0, "delta": {}, "finish_reason": "length" }),
        };
        json!({
            "object": self.object_name(),
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(),
            "sent_us": unix_us(),
        })
    }

    fn whole(&self, text: &str) -> Value {
        let choice = match self.dialect {
            Dialect::Text => json!({ "index": 0, "text": text, "finish_reason": "length" }),
            Dialect::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "length",
            }),
        };
        json!({ "model": self.model, "choices": [choice], "usage": self.usage() })
    }

    /// Returns the usage of the whole completion, even if this response resumed it.
    fn usage(&self) -> Value {
        json!({ "prompt_tokens": prompt_tokens(&self.prompt), "completion_tokens": self.tokens })
    }

    fn object_name(&self) -> &'static str {
        match self.dialect {
            Dialect::Text => "text_completion",
            Dialect::Chat => "chat.completion.chunk",
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        lock(&self.shared.state).batch.finish(self.ticket);
    }
}

async fn send_event(sender: &Sender<Piece>, data: &str) -> Result<(), Stopped> {
    let piece = format!("data: {data}\n\n").into_bytes();
    sender.send(Ok(piece)).await.map_err(|_| Stopped::Cancelled)
}

fn joined(messages: &[Message]) -> String {
    let contents: Vec<&str> = messages.iter().map(|message| message.content.as_str()).collect();
    contents.join("\n")
}

fn header_number(request: &Request, name: &str) -> Option<u64> {
    request.header(name)?.as_str().parse().ok()
}
