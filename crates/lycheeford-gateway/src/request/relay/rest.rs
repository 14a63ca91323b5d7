use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use lycheeford_policy::{Chosen, EndDoubt, EndSign, TimeMs};
use lycheeford_target::{BodyEnd, TargetError};
use slog::info;

use super::{PendingCall, Relay, StartedResponse};
use crate::Reply;
use crate::request::attempt::Attempts;

/// The least time for the question whether a stream is complete, which its caller waits for.
const ASK_MS_MIN: u64 = 200;

/// The end of a stream that its target didn't state, and that another target is asked about.
pub(super) struct DoubtedEnd {
    /// The target whose connection ended.
    target: Chosen,
    /// The events that it sent.
    events: u64,
    asked_at: TimeMs,
    /// When the end is believed if nobody has contradicted it.
    pub(super) ask_until: TimeMs,
}

impl DoubtedEnd {
    pub(super) fn log_confirmed(&self, attempts: &Attempts, asked: &Chosen) {
        attempts.state.metrics.rest_request("none");
        info!(attempts.state.log, "end_confirmed";
            "id" => attempts.admitted.request.id.as_str(), "target" => self.target.id.as_str(),
            "asked" => asked.id.as_str(),
            "took_ms" => attempts.state.now().since_ms(self.asked_at));
    }
}

impl Relay {
    /// Asks another target for the rest of a stream whose end nobody has stated, if the end is
    /// doubted and the request may be sent once more.
    ///
    /// Returns the other target's response, whose own end says whether there is a rest.
    pub(super) async fn ask_for_rest(
        &mut self,
        chosen: &Chosen,
        sign: EndSign,
        begun: Option<Box<PendingCall>>,
    ) -> Option<StartedResponse> {
        let state = Arc::clone(&self.attempts.state);
        let now = state.now();
        let service = &self.attempts.admitted.need.service;
        let doubt = state.unstated_ends().stream_doubt(now, service, &chosen.id, sign);
        let doubt = doubt.filter(|doubt| begun.is_some() || self.may_ask(*doubt));
        if begun.is_none() && doubt.is_none() {
            return None;
        }
        if let Some(doubt) = doubt {
            state.unstated_ends().asked(now, service, &chosen.id, doubt);
        }
        info!(state.log, "rest_requested";
            "id" => self.attempts.admitted.request.id.as_str(), "target" => chosen.id.as_str(),
            "after" => self.resume_after.as_deref(), "doubt" => doubt.map(EndDoubt::label));
        let ask_ms = self.attempts.admitted.route.pause_ms_max.max(ASK_MS_MIN);
        self.doubted_end = Some(DoubtedEnd {
            target: chosen.clone(),
            events: self.boundary.events(),
            asked_at: now,
            ask_until: now + ask_ms,
        });
        self.attempts.exclude(chosen);
        self.boundary.resume();
        let sent = timeout(Duration::from_millis(ask_ms), self.send_rest(begun.map(|call| *call)));
        let cause = match sent.await {
            Ok(Ok(resumed)) if resumed.response.status == 200 && resumed.reply == Reply::Ran => {
                return Some(resumed);
            }
            Ok(Ok(resumed)) => format!("the next target answered {}", resumed.response.status),
            Ok(Err(cut)) => cut.cause().to_owned(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.log_unconfirmed(&cause);
        self.doubted_end = None;
        None
    }

    /// Returns whether the rest of the stream may be requested, and takes a retry for it if so.
    fn may_ask(&self, doubt: EndDoubt) -> bool {
        self.boundary.is_resumable()
            && self.resume_after.is_some()
            && self.attempts.may_run_elsewhere()
            && self.attempts.take_retry_for(doubt)
    }

    /// Ends a stream about which another target said nothing.
    pub(super) fn finish_unconfirmed(mut self, cause: &impl Display) {
        self.log_unconfirmed(cause);
        if let Some(doubted) = self.doubted_end.take() {
            self.finish(&doubted.target, BodyEnd::Connection);
        }
    }

    /// Records that a stream goes on whose end was doubted: its earlier target broke it off.
    pub(super) fn record_refuted_end(&mut self) {
        let Some(doubted) = self.doubted_end.take() else { return };
        let state = &self.attempts.state;
        state.metrics.rest_request("events");
        info!(state.log, "end_refuted";
            "id" => self.attempts.admitted.request.id.as_str(),
            "target" => doubted.target.id.as_str(), "events" => doubted.events);
        let service = &self.attempts.admitted.need.service;
        state.unstated_ends().refuted(state.now(), service, &doubted.target.id);
        let error = TargetError::ended_early("another target has more of it");
        self.attempts.record_broken(&doubted.target, &error, doubted.events);
    }

    fn log_unconfirmed(&self, cause: &impl Display) {
        self.attempts.state.metrics.rest_request("no_answer");
        info!(self.attempts.state.log, "end_unconfirmed";
            "id" => self.attempts.admitted.request.id.as_str(), "cause" => %cause);
    }
}
