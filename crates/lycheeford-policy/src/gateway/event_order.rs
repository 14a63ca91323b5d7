use std::fmt::{self, Display};

/// Why bytes can't be passed on as a part of an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventFault {
    /// A line is neither a comment nor a field, as in the text or the head of an error.
    Line,
    /// An event has none of the fields that events have.
    Fields,
    /// An event has no id although those before had one.
    NoId,
    /// An id isn't greater than the one before, so that the event is one that was already sent or
    /// of another run.
    Repeated,
    /// The stream didn't go on at the event after the last one.
    Skipped,
}

impl Display for EventFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            EventFault::Line => "a line is no field of an event",
            EventFault::Fields => "an event has no data, name or id",
            EventFault::NoId => "an event has no id although those before have one",
            EventFault::Repeated => "an id isn't greater than that of the event before",
            EventFault::Skipped => "events are missing after the last one that was sent",
        })
    }
}

/// Checks that a stream which goes on at another target continues after its last event.
///
/// Ids only increase; whether they also have no gaps is learned from the events that came.
#[derive(Debug, Default)]
pub(crate) struct EventOrder {
    last_id: Option<String>,
    /// Whether each id was one more than the one before; unknown until the second.
    has_no_gaps: Option<bool>,
    /// Whether the next event is the first one of another target.
    is_resuming: bool,
    /// Whether a part of an event showed that at least one more follows.
    is_event_due: bool,
}

impl EventOrder {
    /// Returns the order of a stream of which another host sent the events up to `last_id`.
    pub(crate) fn resumed_after(last_id: String) -> EventOrder {
        EventOrder { last_id: Some(last_id), is_resuming: true, ..EventOrder::default() }
    }

    pub(crate) fn resume(&mut self, is_event_due: bool) {
        self.is_resuming = true;
        self.is_event_due |= is_event_due;
    }

    pub(crate) fn is_event_due(&self) -> bool {
        self.is_event_due
    }

    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns why an event with the id, if any, can't be the next one of a resumed stream.
    pub(crate) fn fault(&self, id: Option<&str>) -> Option<EventFault> {
        let last_id = self.last_id()?;
        let Some(id) = id else { return Some(EventFault::NoId) };
        let (Some(last), Some(next)) = (number(last_id), number(id)) else {
            let is_other_kind = number(last_id).is_some() || number(id).is_some();
            return (is_other_kind || id == last_id).then_some(EventFault::Repeated);
        };
        if next <= last {
            return Some(EventFault::Repeated);
        }
        let is_gap = next - last > 1 && self.is_resuming && self.has_no_gaps == Some(true);
        is_gap.then_some(EventFault::Skipped)
    }

    /// Records an event that is passed on.
    pub(crate) fn passed(&mut self, id: Option<String>) {
        self.is_resuming = false;
        self.is_event_due = false;
        let Some(id) = id else { return };
        if let Some(last_id) = self.last_id() {
            let step =
                number(last_id).zip(number(&id)).and_then(|(last, next)| next.checked_sub(last));
            self.has_no_gaps = Some(step == Some(1) && self.has_no_gaps != Some(false));
        }
        self.last_id = Some(id);
    }
}

fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}
