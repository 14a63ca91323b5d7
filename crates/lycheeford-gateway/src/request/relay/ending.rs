//! Ends of streams: complete, broken off, or without a statement of either.

use lycheeford_policy::{Chosen, EndSign, Name, StatedContent, TimeMs};
use lycheeford_target::{BodyEnd, TargetError};

use super::Relay;
use super::outcome::{End, Stall};

/// A response with no event behind the last one that the caller has, ended by its connection.
#[derive(Debug, PartialEq)]
pub(super) struct EmptyRest {
    target: Name,
    after: Option<String>,
}

impl Relay {
    /// Ends a stream whose body has ended, if it is complete.
    pub(super) async fn end(
        &mut self,
        chosen: &Chosen,
        content: StatedContent,
        body_end: BodyEnd,
        mut stall: Stall,
    ) -> End {
        if let Some(evidence) = self.cut_evidence(content, body_end) {
            if body_end == BodyEnd::Connection && self.is_agreed_end(chosen, stall.since).await {
                self.cancel_next(&mut stall);
                return End::Agreed;
            }
            return End::broken(TargetError::ended_early(evidence), stall);
        }
        if body_end == BodyEnd::Connection {
            return self.end_unstated(chosen, stall).await;
        }
        self.cancel_next(&mut stall);
        self.attempts.record_completion();
        let rest = self.boundary.take_rest();
        if self.send(rest).await { End::Done } else { End::HungUp }
    }

    /// Returns whether a target has no further event for a stream, and another one had none either.
    ///
    /// One of them may have broken off before its first event, but hardly both. A stream that began
    /// with chunks isn't ended by that, since its caller would take the last chunk for a statement.
    async fn is_agreed_end(&mut self, chosen: &Chosen, heard_at: TimeMs) -> bool {
        let is_empty = self.boundary.events() == 0
            && !self.boundary.is_event_due()
            && !self.boundary.is_inside_block();
        if !is_empty || self.first_at.is_none() || self.caller_end == BodyEnd::Declared {
            return false;
        }
        let sign = self.attempts.check_unstated_end(chosen, 0, heard_at).await;
        if !matches!(sign, Ok(EndSign::Listens)) {
            return false;
        }
        let rest = EmptyRest { target: chosen.id.clone(), after: self.resume_after.clone() };
        let earlier = self.empty_rest.replace(rest);
        let agrees =
            |earlier: EmptyRest| earlier.after == self.resume_after && earlier.target != chosen.id;
        earlier.is_some_and(agrees)
    }

    /// Ends a stream whose connection has ended, if nothing shows that it is incomplete.
    async fn end_unstated(&mut self, chosen: &Chosen, stall: Stall) -> End {
        if self.doubted_end.is_some() {
            return End::Unstated(EndSign::Listens, None);
        }
        let events = self.boundary.events();
        let sign = match self.attempts.check_unstated_end(chosen, events, stall.since).await {
            Ok(sign) => sign,
            Err(error) => return End::broken(error, stall),
        };
        if self.caller_end == BodyEnd::Declared {
            // The caller would take the last chunk for a statement that the stream is complete.
            return End::broken(TargetError::ended_early("its end isn't stated"), stall);
        }
        let rest = self.boundary.take_rest();
        if !self.send(rest).await {
            return End::HungUp;
        }
        End::Unstated(sign, stall.next.map(Box::new))
    }

    /// Returns what shows that a stream whose body has ended is incomplete, if anything does.
    ///
    /// A target that stops inside an event may still end its chunks properly. If the end of the
    /// connection is the end of the body, the target may have crashed before the first event.
    fn cut_evidence(&self, content: StatedContent, end: BodyEnd) -> Option<&'static str> {
        if self.boundary.is_event_due() {
            return Some("the event that its first target broke off hasn't come");
        }
        match end {
            BodyEnd::Declared => (content != StatedContent::Other
                && self.boundary.is_inside_event())
            .then_some("it ends inside an event"),
            BodyEnd::Connection if self.boundary.events() == 0 && self.doubted_end.is_none() => {
                Some("it has no event")
            }
            BodyEnd::Connection => {
                self.boundary.is_inside_block().then_some("it ends inside an event or a line")
            }
        }
    }
}
