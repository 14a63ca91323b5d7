//! Streams, relayed to callers event by event.

mod ending;
mod outcome;
mod rest;

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::prelude::FutureExt;
use async_std::task;
use lycheeford_caller::{ChunkSender, Reservation};
use lycheeford_policy::{Chosen, EVENT_BYTES_MAX, EventBoundary, StatedContent, TimeMs};
use lycheeford_target::{BodyEnd, TargetBody, TargetError, TargetResponse};
use slog::info;

use self::ending::EmptyRest;
use self::outcome::{Cut, End, Next, NextTarget, Stall, StallOutcome};
use self::rest::DoubtedEnd;
use super::attempt::{Attempts, PendingCall, StartedResponse};
use super::silence::{LeaveIf, OVERLAP_MS_MAX, Silence};
use crate::Reply;
use crate::state::MEMORY_WAIT;

/// The pause between events after which another target is sought for a resumable stream, as a
/// multiple of the longest pause that the route allows.
const STALL_FACTOR: u64 = 3;
const STALL_MS_MIN: u64 = 1_000;
/// The pause before another target is sought after one that didn't take a stream.
const SEEK_PAUSE_MS: u64 = 500;

/// The unused memory that is kept with the bytes of an event.
const SPARE_BYTES_MAX: usize = 4 * 1024;
/// The shortest pause in reading a response that may make its target cut it off.
const PAUSE_MIN: Duration = Duration::from_millis(500);
/// How long after such a pause the end of the response is put down to it: what the kernel holds of
/// the response is read first.
const PAUSE_EFFECT_MS: u64 = 5_000;

/// Relays a stream to the caller, event by event.
///
/// Until the target ends the stream, only complete events are forwarded, so that a resumable stream
/// that breaks can be resumed at another target after the last event that the caller received.
pub(in crate::request) struct Relay {
    attempts: Attempts,
    sender: ChunkSender,
    /// How the caller recognizes the end, which is that of the first target's response.
    caller_end: BodyEnd,
    boundary: EventBoundary,
    /// The id of the last event sent to the caller.
    resume_after: Option<String>,
    first_at: Option<TimeMs>,
    sent_bytes: usize,
    /// The memory for the bytes that weren't sent yet.
    memory: Reservation,
    /// Until when the end of a response is put down to a pause in reading it, and how long that was.
    paused: Option<(TimeMs, Duration)>,
    /// The end of an earlier target's response, while another one is asked whether it was the end.
    doubted_end: Option<DoubtedEnd>,
    /// The last target that had no further event for a stream that it was to go on with.
    empty_rest: Option<EmptyRest>,
}

impl Relay {
    pub(in crate::request) fn new(
        attempts: Attempts,
        sender: ChunkSender,
        caller_end: BodyEnd,
    ) -> Relay {
        let resume_after = attempts.admitted.request.resume_after.clone();
        let is_resumable = attempts.admitted.route.kind.is_repeatable();
        let boundary = resume_after.clone().filter(|_| is_resumable);
        let memory = attempts.state.memory.reservation();
        Relay {
            attempts,
            sender,
            caller_end,
            boundary: boundary.map(EventBoundary::resumed_after).unwrap_or_default(),
            resume_after,
            first_at: None,
            sent_bytes: 0,
            memory,
            paused: None,
            doubted_end: None,
            empty_rest: None,
        }
    }

    pub(in crate::request) async fn run(mut self, started: StartedResponse) {
        let _running = self.attempts.state.request_started();
        let mut started = started;
        loop {
            let chosen = started.slot.chosen.clone();
            let next = match self.relay_target(started).await {
                End::Done => return self.finish(&chosen, BodyEnd::Declared),
                End::Agreed => return self.finish(&chosen, BodyEnd::Connection),
                End::Unstated(..) if self.doubted_end.is_some() => {
                    return self.finish_unconfirmed(&"the next target states no end either");
                }
                End::Unstated(sign, pending) => {
                    match self.ask_for_rest(&chosen, sign, pending).await {
                        Some(resumed) => {
                            started = resumed;
                            continue;
                        }
                        None => return self.finish(&chosen, BodyEnd::Connection),
                    }
                }
                End::Broken(error, _) if self.doubted_end.is_some() => {
                    self.attempts.record_broken(&chosen, &error, 0);
                    return self.finish_unconfirmed(&error);
                }
                End::OutOfTime if self.doubted_end.is_some() => {
                    return self.finish_unconfirmed(&"no event and no end in time");
                }
                End::HostStopping if self.doubted_end.is_some() => {
                    return self.finish_unconfirmed(&"this host is stopping");
                }
                End::HungUp => return self.cut(Cut::CallerLeft, &chosen.id),
                End::OutOfTime => return self.cut(Cut::DeadlinePassed, &chosen.id),
                End::HostStopping => return self.cut(Cut::HostStopping, &chosen.id),
                End::NoMemory => return self.cut(Cut::NoMemory, &chosen.id),
                End::Broken(error, pending) => {
                    self.attempts.record_broken(&chosen, &error, self.boundary.events());
                    self.log_cut(&error.to_string(), &chosen.id);
                    if self.is_past_deadline() {
                        return self.cut(Cut::DeadlinePassed, &chosen.id);
                    }
                    if !self.boundary.is_resumable() {
                        return self.cut(Cut::WithoutIds, &chosen.id);
                    }
                    self.attempts.exclude(&chosen);
                    if pending.is_none() && !self.may_retry().await {
                        return self.cut(Cut::NoAttemptLeft, &chosen.id);
                    }
                    pending.map(|pending| NextTarget::Pending(*pending))
                }
                End::Moved(silent_since, next) => {
                    self.attempts.record_left(&chosen, next.chosen(), silent_since);
                    Some(*next)
                }
            };
            match self.resume(next).await {
                Some(resumed) => started = resumed,
                None => return,
            }
        }
    }

    /// Ends a stream that is complete as far as is known.
    fn finish(self, chosen: &Chosen, end: BodyEnd) {
        if let Some(doubted) = &self.doubted_end {
            doubted.log_confirmed(&self.attempts, chosen);
        }
        self.attempts.admitted.record_completed_stream(&self.attempts.state);
        self.attempts.log_answered(200, &chosen.id, self.sent_bytes, end);
        self.sender.finish();
    }

    /// Waits until a retry may be taken; returns whether it was.
    async fn may_retry(&self) -> bool {
        let hung_up = async {
            self.sender.caller_disconnected().await;
            false
        };
        self.attempts.wait_for_retry().race(hung_up).await
    }

    fn is_past_deadline(&self) -> bool {
        self.attempts.state.now() >= self.attempts.admitted.deadline_at
    }

    /// Resumes the stream at another target after the last event sent to the caller.
    async fn resume(&mut self, mut next: Option<NextTarget>) -> Option<StartedResponse> {
        self.boundary.resume();
        loop {
            let sent = match next.take() {
                Some(NextTarget::Started(started)) => Ok(*started),
                Some(NextTarget::Pending(pending)) => self.send_rest(Some(pending)).await,
                None => self.send_rest(None).await,
            };
            let resumed = match sent {
                Ok(resumed) => resumed,
                Err(cut) => {
                    self.cut(cut, "");
                    return None;
                }
            };
            let status = resumed.response.status;
            let target = &resumed.slot.chosen;
            if status == 200 && resumed.reply == Reply::Ran {
                self.log_resumed(&target.id);
                return Some(resumed);
            }
            self.log_cut(&format!("the next target answered {status}"), &target.id);
            self.attempts.exclude(target);
            if !self.may_retry().await {
                self.cut(Cut::NoAttemptLeft, &target.id);
                return None;
            }
        }
    }

    /// Requests the rest of the stream from another target.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't go on.
    async fn send_rest(&mut self, begun: Option<PendingCall>) -> Result<StartedResponse, Cut> {
        let resume_after = self.resume_after.clone();
        let state = Arc::clone(&self.attempts.state);
        let sending = async {
            let resume_after = resume_after.as_deref();
            Ok(match begun {
                Some(pending) => self.attempts.go_on_with(pending, resume_after).await,
                None => self.attempts.send(resume_after).await,
            })
        };
        let hung_up = async {
            self.sender.caller_disconnected().await;
            Err(Cut::CallerLeft)
        };
        let host_stopping = async {
            state.ending.triggered().await;
            Err(Cut::HostStopping)
        };
        sending.race(hung_up).race(host_stopping).await?.map_err(|refusal| {
            self.log_cut(&format!("no other target can resume: {}", refusal.message), "");
            Cut::NoOtherTarget
        })
    }

    async fn relay_target(&mut self, started: StartedResponse) -> End {
        let StartedResponse { slot, response, sent_at, .. } = started;
        let content = StatedContent::of(&response.headers);
        if self.boundary.is_resumed() && content == StatedContent::Other {
            return End::Broken(TargetError::invalid_stream("the answer isn't one"), None);
        }
        let mut body = response.body;
        if body.end() == BodyEnd::Connection {
            self.boundary.expect_answers();
        }
        let mut is_first = true;
        // Only complete events count as progress: a stalled target may still send single bytes or
        // comments.
        let mut stall = Stall::new(self.attempts.state.now(), LeaveIf::TargetIsSilent);
        loop {
            let now = self.attempts.state.now();
            let final_at = self.final_at();
            if now >= final_at {
                return End::OutOfTime;
            }
            let left_ms = final_at.since_ms(now);
            let idle_ms = now.since_ms(stall.since);
            let event_timeout_ms = if stall.is_long {
                0
            } else {
                self.event_timeout_ms(is_first, now, idle_ms).min(left_ms)
            };
            let next = timeout(Duration::from_millis(event_timeout_ms), self.next(&mut body)).await;
            let next = match next {
                Ok(next) => next,
                Err(_) if event_timeout_ms >= left_ms => return End::OutOfTime,
                Err(_) => match self.wait_past_stall(&slot.chosen, &mut body, &mut stall).await {
                    StallOutcome::Next(next) => next,
                    StallOutcome::OtherSlot(slot) => {
                        let resume_after = self.resume_after.clone();
                        let pending = self.attempts.begin(slot, resume_after.as_deref());
                        stall.next = Some(pending);
                        continue;
                    }
                    StallOutcome::Answered(result) => {
                        if let Some(started) = self.taken_by_next(&mut stall, result) {
                            let next = NextTarget::Started(Box::new(started));
                            return End::Moved(stall.since, Box::new(next));
                        }
                        continue;
                    }
                    StallOutcome::OverlapOver => {
                        let Some(pending) = stall.next.take() else { continue };
                        let next = NextTarget::Pending(pending);
                        return End::Moved(stall.since, Box::new(next));
                    }
                    StallOutcome::OutOfTime => return End::OutOfTime,
                },
            };
            let chunk = match next {
                Next::HungUp => return End::HungUp,
                Next::HostStopping => return End::HostStopping,
                Next::Chunk(Err(error)) => return End::broken(self.after_pause(error), stall),
                Next::Chunk(Ok(None)) => {
                    return self.end(&slot.chosen, content, body.end(), stall).await;
                }
                Next::Chunk(Ok(Some(chunk))) => chunk,
            };
            self.attempts.heard(&slot.chosen);
            let events_before = self.boundary.events();
            let mut whole = self.boundary.push(&chunk);
            if whole.capacity() - whole.len() > SPARE_BYTES_MAX {
                whole.shrink_to_fit();
            }
            if self.boundary.is_endless() {
                return End::broken(TargetError::event_too_large(EVENT_BYTES_MAX), stall);
            }
            let Some(waited_ms) = self.take_memory(whole.len()).await else {
                return End::NoMemory;
            };
            // A pause of this host is no silence of the target.
            stall.since = stall.since + waited_ms;
            if whole.is_empty() && self.boundary.fault().is_none() {
                continue;
            }
            let is_progress = self.boundary.events() > events_before;
            if is_progress && is_first {
                is_first = false;
                self.record_refuted_end();
                self.attempts.admitted.pin_to_version_of(&self.attempts.state, &slot.chosen);
                self.record_first_event(&slot.chosen, sent_at);
            }
            if let Some(id) = self.boundary.last_id() {
                self.resume_after = Some(id.to_owned());
            }
            if !self.send(whole).await {
                return End::HungUp;
            }
            if let Some(fault) = self.boundary.fault() {
                return End::broken(TargetError::invalid_stream(&fault.to_string()), stall);
            }
            if is_progress {
                self.cancel_next(&mut stall);
                stall = Stall::new(self.attempts.state.now(), LeaveIf::RequestIsSilent);
            }
        }
    }

    /// Waits for a stalled stream until it continues or another target has it.
    ///
    /// A target that is only overloaded continues later, so a stream that no other target can
    /// resume is not cut for being silent.
    async fn wait_past_stall(
        &self,
        chosen: &Chosen,
        body: &mut TargetBody,
        stall: &mut Stall,
    ) -> StallOutcome {
        let silence = Silence {
            targets: vec![chosen.id.clone()],
            since: stall.since,
            leave_if: stall.leave_if,
        };
        if !std::mem::replace(&mut stall.is_long, true) {
            self.log_paused(chosen, &silence);
        }
        let next = async { StallOutcome::Next(self.next(body).await) };
        if let Some(pending) = &mut stall.next {
            let overlap_ms = self.attempts.state.now().since_ms(pending.sent_at);
            let left_ms = OVERLAP_MS_MAX.saturating_sub(overlap_ms);
            let answered = async { StallOutcome::Answered((&mut pending.call).await) };
            let outcome = timeout(Duration::from_millis(left_ms), next.race(answered)).await;
            return outcome.unwrap_or(StallOutcome::OverlapOver);
        }
        if self.boundary.is_resumable() && self.attempts.may_move() {
            let pause_ms = stall.seek_at.since_ms(self.attempts.state.now());
            let other_slot = async {
                task::sleep(Duration::from_millis(pause_ms)).await;
                StallOutcome::OtherSlot(self.attempts.wait_for_other_slot(&silence).await)
            };
            return self.until_deadline(next.race(other_slot)).await;
        }
        self.until_deadline(next).await
    }

    /// Processes the outcome of the call to the next target; returns its response if it goes on
    /// with the stream.
    fn taken_by_next(
        &mut self,
        stall: &mut Stall,
        result: Result<TargetResponse, TargetError>,
    ) -> Option<StartedResponse> {
        stall.seek_at = self.attempts.state.now() + SEEK_PAUSE_MS;
        let pending = stall.next.take()?;
        let started = self.attempts.finish_call(pending, result).ok()?;
        let status = started.response.status;
        if status == 200 && started.reply == Reply::Ran {
            return Some(started);
        }
        self.attempts.exclude(&started.slot.chosen);
        None
    }

    /// Cancels the call to the next target, since the stream goes on at the current one.
    fn cancel_next(&mut self, stall: &mut Stall) {
        if let Some(pending) = stall.next.take() {
            self.attempts.cancel(pending);
        }
    }

    async fn until_deadline(&self, outcome: impl Future<Output = StallOutcome>) -> StallOutcome {
        let left_ms = self.final_at().since_ms(self.attempts.state.now());
        let in_time = timeout(Duration::from_millis(left_ms), outcome).await;
        in_time.unwrap_or(StallOutcome::OutOfTime)
    }

    fn record_first_event(&mut self, chosen: &Chosen, sent_at: TimeMs) {
        let state = &self.attempts.state;
        let now = state.now();
        state.dispatcher().targets.succeeded(now, chosen, now.since_ms(sent_at));
        if self.first_at.is_none() {
            self.first_at = Some(now);
            let admitted = &self.attempts.admitted;
            let first_ms = now.since_ms(admitted.arrived_at);
            state.metrics.first_event(admitted.customer.as_ref(), admitted.priority, first_ms);
        }
    }

    /// Returns when the stream must have ended, or, if its end is doubted, gone on.
    fn final_at(&self) -> TimeMs {
        let final_at = self.attempts.admitted.final_at;
        self.doubted_end.as_ref().map_or(final_at, |doubted| doubted.ask_until.min(final_at))
    }

    async fn send(&mut self, bytes: Vec<u8>) -> bool {
        self.sent_bytes += bytes.len();
        let memory = self.memory.split(bytes.len());
        let start = Instant::now();
        let is_sent = self.sender.send_held(bytes, memory).await.is_ok();
        self.note_pause(start.elapsed());
        is_sent
    }

    /// Reserves memory for the event in progress and for the bytes that are sent next, and waits
    /// for it without reading from the target; returns how long, or `None` if there is none in time.
    async fn take_memory(&mut self, next_bytes: usize) -> Option<u64> {
        let needed_bytes = next_bytes + self.boundary.pending_bytes();
        let held_bytes = self.memory.held_bytes();
        self.memory.shrink(held_bytes.saturating_sub(needed_bytes));
        let missing_bytes = needed_bytes.saturating_sub(held_bytes);
        let growing = self.memory.grow_within(missing_bytes, MEMORY_WAIT);
        let hung_up = async {
            self.sender.caller_disconnected().await;
            // The send that follows ends the stream.
            Ok(Duration::ZERO)
        };
        let waited = growing.race(hung_up).await.ok()?;
        self.note_pause(waited);
        u64::try_from(waited.as_millis()).ok()
    }

    /// Records how long nothing was read from the target.
    fn note_pause(&mut self, pause: Duration) {
        if pause >= PAUSE_MIN {
            let until = self.attempts.state.now() + PAUSE_EFFECT_MS;
            self.paused = Some((until, pause));
        }
    }

    /// Returns the error of a response, which is put down to a pause in reading it if there was one.
    fn after_pause(&self, error: TargetError) -> TargetError {
        match self.paused {
            Some((until, pause)) if self.attempts.state.now() <= until => error.after_pause(pause),
            _ => error,
        }
    }

    /// Returns how long to wait for the next event if the last one came `idle_ms` ago.
    fn event_timeout_ms(&self, is_first: bool, now: TimeMs, idle_ms: u64) -> u64 {
        let admitted = &self.attempts.admitted;
        if !admitted.route.kind.is_repeatable() {
            return admitted.final_at.since_ms(now);
        }
        let event_timeout_ms = if is_first {
            self.attempts.first_byte_ms_max(now)
        } else {
            (admitted.route.pause_ms_max * STALL_FACTOR).max(STALL_MS_MIN)
        };
        event_timeout_ms.saturating_sub(idle_ms)
    }

    async fn next(&self, body: &mut TargetBody) -> Next {
        let chunk = async { Next::Chunk(body.next_chunk().await) };
        let hung_up = async {
            self.sender.caller_disconnected().await;
            Next::HungUp
        };
        let host_stopping = async {
            self.attempts.state.ending.triggered().await;
            Next::HostStopping
        };
        chunk.race(hung_up).race(host_stopping).await
    }

    fn log_resumed(&self, target: &str) {
        info!(self.attempts.state.log, "stream_resumed";
            "id" => self.attempts.admitted.request.id.as_str(),
            "target" => target, "after" => self.resume_after.as_deref());
    }

    fn log_paused(&self, chosen: &Chosen, silence: &Silence) {
        let view = self.attempts.silence_view(silence);
        info!(self.attempts.state.log, "stream_paused";
            "id" => self.attempts.admitted.request.id.as_str(),
            "target" => chosen.id.as_str(), "events" => self.boundary.events(),
            "silent_ms" => self.attempts.state.now().since_ms(silence.since),
            "target_sign" => ?view.own, "others_heard_ms" => view.others_heard_ms,
            "not_better" => view.not_better.len());
    }

    /// Records that the caller's stream is broken off for good.
    fn cut(&self, cut: Cut, target: &str) {
        self.attempts.state.metrics.stream_cut(cut.label());
        self.log_cut(cut.cause(), target);
    }

    fn log_cut(&self, cause: &str, target: &str) {
        let admitted = &self.attempts.admitted;
        info!(self.attempts.state.log, "stream_cut";
            "id" => admitted.request.id.as_str(), "route" => admitted.route.name.as_str(),
            "target" => target, "cause" => cause, "events" => self.boundary.events(),
            "bytes" => self.sent_bytes,
            "total_ms" => self.attempts.state.now().since_ms(admitted.arrived_at));
    }
}
