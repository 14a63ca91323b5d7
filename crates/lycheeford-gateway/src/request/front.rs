use std::sync::Arc;

use async_std::prelude::FutureExt;
use lycheeford_caller::{Bounds, CallerResponse, ReaderState, RequestHead, Service, SharedBody};
use lycheeford_policy::{Name, Ran, Refusal, StopShortfall, TimeMs};
use slog::{KV, Record, Serializer, error, info, warn};

use super::admission::admit;
use super::answer::{Answered, answer, stream};
use super::attempt::Attempts;
use super::forward::forward;
use crate::GatewayRequest;
use crate::state::State;

/// The memory that a request takes besides its body: its head, its state, and the buffers of its two
/// connections, each of up to 8 or 16 KiB.
const REQUEST_BYTES: usize = 24 * 1024;

/// Serves the callers' port.
#[derive(Clone)]
pub(crate) struct Front {
    pub(crate) state: Arc<State>,
}

impl Service for Front {
    type Request = GatewayRequest;

    fn bounds(&self) -> Bounds {
        let limits = self.state.deployment.load().as_ref().map(|known| known.caller_limits);
        let limits = limits.unwrap_or_default();
        Bounds {
            head_bytes_max: limits.head_bytes_max,
            head_ms_max: limits.head_ms_max,
            body_bytes_max: limits.body_bytes_max,
            idle_ms_max: limits.idle_ms_max,
            request_bytes: REQUEST_BYTES,
            connections_max: self.state.settings.caller_connections_max,
            ..Bounds::default()
        }
    }

    async fn read(
        &self,
        id: Name,
        head: RequestHead,
        body: SharedBody,
    ) -> Result<GatewayRequest, Refusal> {
        self.state.protocols.caller.request(id, head, body)
    }

    async fn answer(&self, request: GatewayRequest) -> CallerResponse {
        let state = &self.state;
        let _running = state.request_started();
        let arrived_at = state.now();
        let id = request.id.clone();
        let mut disconnect_log = DisconnectLog { state, id: &id, arrived_at, is_over: false };
        let mut response = match self.serve(request, arrived_at).await {
            Ok(response) => response,
            Err(refusal) => {
                state.metrics.refused(refusal.code);
                info!(state.log, "refused";
                    "id" => id.as_str(), "code" => ?refusal.code, "ran" => ?refusal.ran,
                    "message" => &refusal.message, "retry_after_ms" => refusal.retry_after_ms,
                    "total_ms" => state.now().since_ms(arrived_at),
                    LoggedShortfall(refusal.shortfall));
                state.protocols.caller.refusal(&id, &refusal)
            }
        };
        disconnect_log.is_over = true;
        if state.is_draining() {
            // Makes the caller reconnect to another host before this one stops.
            response.headers.push(("connection".to_owned(), "close".to_owned()));
        }
        response
    }

    fn refuse(&self, id: &Name, refusal: &Refusal) -> CallerResponse {
        self.state.protocols.caller.refusal(id, refusal)
    }

    fn refused(&self, id: &Name, refusal: &Refusal) {
        self.state.metrics.refused(refusal.code);
        info!(self.state.log, "refused";
            "id" => id.as_str(), "code" => ?refusal.code, "ran" => ?refusal.ran,
            "message" => &refusal.message, "retry_after_ms" => refusal.retry_after_ms);
    }

    fn slow_caller_closed(&self, id: &Name, reader: &ReaderState) {
        self.state.metrics.slow_callers_closed.inc();
        info!(self.state.log, "slow_caller_closed";
            "id" => id.as_str(), "bytes" => reader.unread_bytes, "unread_ms" => reader.unread_ms,
            "memory_bytes" => reader.held_bytes, "memory_bytes_max" => reader.total_bytes);
    }

    fn accept_failed(&self, error: &std::io::Error) {
        warn!(self.state.log, "accept_failed"; "error" => %error);
    }
}

impl Front {
    async fn serve(
        &self,
        request: GatewayRequest,
        arrived_at: TimeMs,
    ) -> Result<CallerResponse, Refusal> {
        let admitted = admit(&self.state, request, arrived_at).await?;
        let mut attempts = Attempts::new(Arc::clone(&self.state), admitted);
        let answered = async { Some(self.answer_or_forward(&mut attempts).await) };
        let answers_due = async {
            self.state.answers_due.triggered().await;
            None
        };
        let answered = answered.race(answers_due).await;
        match answered.unwrap_or_else(|| Err(attempts.host_stopping_refusal()))? {
            Answered::Whole(response) => Ok(response),
            Answered::Stream(answering) => Ok(stream(attempts, *answering)),
        }
    }

    /// Sends a request to targets, or on to another host if this one is cut off from them.
    async fn answer_or_forward(&self, attempts: &mut Attempts) -> Result<Answered, Refusal> {
        let may_forward = !attempts.admitted.request.is_forwarded;
        if may_forward && self.state.is_cut_off() {
            return Box::pin(forward(attempts)).await;
        }
        match answer(attempts).await {
            // The host turned out to be cut off while it tried targets.
            Err(refusal)
                if may_forward
                    && (refusal.ran == Ran::NotRun || attempts.may_run_elsewhere())
                    && self.state.is_cut_off() =>
            {
                Box::pin(forward(attempts)).await
            }
            answered => answered,
        }
    }
}

/// Logs what a stopping host knew of a request that it didn't start.
struct LoggedShortfall(Option<StopShortfall>);

impl KV for LoggedShortfall {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Some(shortfall) = self.0 else { return Ok(()) };
        serializer.emit_u64("stop_left_ms", shortfall.left_ms)?;
        serializer.emit_u64("stop_run_ms", shortfall.run_ms)?;
        serializer.emit_u64("stop_final_in_ms", shortfall.final_in_ms)?;
        serializer.emit_u64("stop_arrived_after_ms", shortfall.arrived_after_ms)
    }
}

/// Logs a request that ends without a response, because its caller disconnects or its handling
/// panics, so that every request has a final log line.
struct DisconnectLog<'a> {
    state: &'a State,
    id: &'a Name,
    arrived_at: TimeMs,
    is_over: bool,
}

impl Drop for DisconnectLog<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let total_ms = self.state.now().since_ms(self.arrived_at);
        if std::thread::panicking() {
            error!(self.state.log, "request_panicked";
                "id" => self.id.as_str(), "total_ms" => total_ms);
        } else {
            info!(self.state.log, "caller_left";
                "id" => self.id.as_str(), "total_ms" => total_ms);
        }
    }
}
