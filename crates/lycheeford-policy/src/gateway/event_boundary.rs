use super::event_order::{EventFault, EventOrder};

/// Maximum number of bytes within which an event must end. Comments count as well, since they may
/// also continue without end.
pub const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Finds the boundaries of complete events in a stream, without changing a byte.
///
/// A target may stop in the middle of an event. Only complete events are passed on, so that a
/// stream can resume at another target after the last of them. What that target sends is passed on
/// only if it continues the stream; it may also be the text of an error, or the stream from its
/// start.
///
/// ```
/// use lycheeford_policy::EventBoundary;
///
/// let mut boundary = EventBoundary::default();
/// let whole = boundary.push(b"id: 3\ndata: lead\n\nid: 4\nda");
/// assert_eq!(whole, b"id: 3\ndata: lead\n\n");
/// assert_eq!(boundary.last_id(), Some("3"));
/// ```
#[derive(Debug, Default)]
pub struct EventBoundary {
    /// Bytes of the incomplete event.
    pending: Vec<u8>,
    /// Number of pending bytes that were scanned.
    scanned: usize,
    line_start: usize,
    last_line_end: LineEnd,
    pending_id: Option<String>,
    pending_fields: PendingFields,
    order: EventOrder,
    /// Whether another target, or another host, sent the events so far.
    is_resumed: bool,
    /// Whether another answer may follow within the bytes.
    may_hold_answers: bool,
    fault: Option<EventFault>,
    /// Whether the last complete event had no id.
    is_last_unnamed: bool,
    events: u64,
    /// Bytes since the last complete event, including comments.
    since_event_bytes: usize,
}

impl EventBoundary {
    /// Returns the boundary of a stream of which the caller has the events up to `last_id`.
    pub fn resumed_after(last_id: String) -> EventBoundary {
        let order = EventOrder::resumed_after(last_id);
        EventBoundary { order, is_resumed: true, ..EventBoundary::default() }
    }

    /// Begins with the bytes of another target, which sends an incomplete event again.
    pub fn resume(&mut self) {
        // A part of what a later target sent may be the text of an error, and one of bytes that may
        // hold answers the head of another.
        let is_first = !self.is_resumed && !self.may_hold_answers;
        let is_event_due = is_first && self.is_inside_event();
        let mut order = std::mem::take(&mut self.order);
        order.resume(is_event_due);
        *self = EventBoundary { order, is_resumed: true, ..EventBoundary::default() };
    }

    /// Takes the head of another answer for a fault, since the bytes end with their connection.
    pub fn expect_answers(&mut self) {
        self.may_hold_answers = true;
    }

    /// Adds bytes and returns those of the events that are now complete.
    ///
    /// Nothing is returned from the first fault on; see [`EventBoundary::fault`].
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        if self.fault.is_some() {
            return Vec::new();
        }
        self.pending.extend_from_slice(bytes);
        self.since_event_bytes += bytes.len();
        let mut whole_bytes = 0;
        while let Some((line_end, next_start)) = self.next_line() {
            let line = &self.pending[self.line_start..line_end];
            let kind = LineKind::of(line);
            self.fault = self.line_fault(line, kind);
            if self.fault.is_some() {
                break;
            }
            match kind {
                LineKind::End => {
                    whole_bytes = next_start;
                    self.end_event(self.pending.len() - whole_bytes);
                }
                LineKind::Comment => {}
                LineKind::Retry => {
                    self.pending_fields = self.pending_fields.max(PendingFields::Retry);
                }
                LineKind::EventField => {
                    self.pending_fields = PendingFields::OfEvent;
                    self.pending_id = event_id(line).or(self.pending_id.take());
                }
                LineKind::OtherField | LineKind::Other => {
                    self.pending_fields = self.pending_fields.max(PendingFields::Other);
                }
            }
            self.last_line_end = LineEnd::of(&self.pending[line_end..next_start]);
            self.scanned = next_start;
            self.line_start = next_start;
        }
        // A carriage return is looked at again when the next byte is known.
        let is_ended = self.pending.ends_with(b"\r") && self.line_start < self.pending.len();
        self.scanned = self.pending.len() - usize::from(is_ended);
        if whole_bytes == 0 {
            // A split at the start would allocate as much again.
            return Vec::new();
        }
        let rest = self.pending.split_off(whole_bytes);
        self.scanned -= whole_bytes;
        self.line_start -= whole_bytes;
        std::mem::replace(&mut self.pending, rest)
    }

    /// Returns where the line ends that is being read, and where the next one begins.
    ///
    /// A line ends with a line feed, a carriage return, or both. If nothing follows a carriage
    /// return yet, a line feed may, which mustn't get into the bytes of another target; it won't in
    /// a stream whose lines end without it, whose last event mustn't wait for the next one.
    fn next_line(&self) -> Option<(usize, usize)> {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let end = self.scanned + self.pending[self.scanned..].iter().position(is_line_end)?;
        match (self.pending[end], self.pending.get(end + 1)) {
            (b'\r', Some(b'\n')) => Some((end, end + 2)),
            (b'\r', None) if self.last_line_end == LineEnd::WithFeed => None,
            _ => Some((end, end + 1)),
        }
    }

    /// Returns why the bytes after the last complete event don't continue the stream, if they
    /// don't.
    ///
    /// What the first target sends is the response, whatever it is, until another answer follows.
    pub fn fault(&self) -> Option<EventFault> {
        self.fault
    }

    fn line_fault(&self, line: &[u8], kind: LineKind) -> Option<EventFault> {
        if !self.is_resumed {
            let is_answer = self.may_hold_answers && line.starts_with(b"HTTP/1.");
            return is_answer.then_some(EventFault::Line);
        }
        match (kind, self.pending_fields) {
            (LineKind::Other, _) => Some(EventFault::Line),
            (LineKind::End, PendingFields::Other) => Some(EventFault::Fields),
            (LineKind::End, PendingFields::OfEvent) => self.order.fault(self.pending_id.as_deref()),
            (LineKind::End, PendingFields::None | PendingFields::Retry)
            | (
                LineKind::Comment | LineKind::Retry | LineKind::EventField | LineKind::OtherField,
                _,
            ) => None,
        }
    }

    fn end_event(&mut self, later_bytes: usize) {
        let id = self.pending_id.take();
        if std::mem::take(&mut self.pending_fields) < PendingFields::Other {
            return;
        }
        self.events += 1;
        self.is_last_unnamed = id.is_none();
        self.since_event_bytes = later_bytes;
        self.order.passed(id);
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        self.scanned = 0;
        self.line_start = 0;
        self.pending_id = None;
        self.pending_fields = PendingFields::None;
        self.since_event_bytes = 0;
        std::mem::take(&mut self.pending)
    }

    /// Returns the memory that the bytes after the last complete event take.
    pub fn pending_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Returns whether the bytes so far end inside an event; comments belong to none.
    pub fn is_inside_event(&self) -> bool {
        let line = &self.pending[self.line_start..];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        self.pending_fields > PendingFields::Retry || !(line.is_empty() || line.starts_with(b":"))
    }

    /// Returns whether the bytes so far end where no stream ends: inside a line, be it a comment, or
    /// in a block of fields whose empty line is missing.
    pub fn is_inside_block(&self) -> bool {
        let line = &self.pending[self.line_start..];
        self.pending_fields != PendingFields::None || !line.is_empty()
    }

    /// Returns whether the stream can't be complete, since its first target broke off inside an
    /// event and none has followed.
    pub fn is_event_due(&self) -> bool {
        self.order.is_event_due()
    }

    /// Returns whether no event ended within [`EVENT_BYTES_MAX`] bytes.
    pub fn is_endless(&self) -> bool {
        self.since_event_bytes > EVENT_BYTES_MAX
    }

    /// Returns whether another target, or another host, sent the events so far.
    pub fn is_resumed(&self) -> bool {
        self.is_resumed
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.order.last_id()
    }

    /// Returns whether the stream can go on after its last complete event.
    ///
    /// It can't after an event without an id: a target that is told an earlier id, or none, sends
    /// that event again.
    pub fn is_resumable(&self) -> bool {
        !self.is_last_unnamed
    }

    /// Returns the number of complete events; comments alone do not count as events.
    pub fn events(&self) -> u64 {
        self.events
    }
}

/// The fields of an incomplete block; comments are none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum PendingFields {
    #[default]
    None,
    /// Only the time after which readers reconnect, which belongs to no event.
    Retry,
    /// Lines that readers of events ignore.
    Other,
    OfEvent,
}

/// How a line ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LineEnd {
    /// With a line feed, or a carriage return and a line feed.
    #[default]
    WithFeed,
    /// With a carriage return alone.
    ReturnAlone,
}

impl LineEnd {
    fn of(bytes: &[u8]) -> LineEnd {
        if bytes == b"\r" { LineEnd::ReturnAlone } else { LineEnd::WithFeed }
    }
}

/// What a line is within a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineKind {
    /// The empty line that ends an event.
    End,
    Comment,
    /// The time after which readers reconnect.
    Retry,
    /// A field that only events have.
    EventField,
    /// A field with another name, which readers of events ignore.
    OtherField,
    /// No field at all, such as a line of a text, of HTML, or the first of a response's head.
    Other,
}

impl LineKind {
    fn of(line: &[u8]) -> LineKind {
        let name_bytes = line.iter().position(|&byte| byte == b':').unwrap_or(line.len());
        match &line[..name_bytes] {
            b"" if line.is_empty() => LineKind::End,
            b"" => LineKind::Comment,
            b"retry" => LineKind::Retry,
            b"data" | b"event" | b"id" => LineKind::EventField,
            name if name.iter().copied().all(is_name_byte) => LineKind::OtherField,
            _ => LineKind::Other,
        }
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_')
}

fn event_id(line: &[u8]) -> Option<String> {
    let value = line.strip_prefix(b"id:")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    std::str::from_utf8(value).ok().filter(|id| !id.is_empty()).map(str::to_owned)
}
