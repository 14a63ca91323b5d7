use std::mem;

use snafu::Snafu;

/// Splits a stream of server-sent events into complete events.
///
/// The result doesn't depend on how the stream is divided into chunks.
///
/// ```
/// use lycheeford_target::EventSplitter;
///
/// let mut splitter = EventSplitter::new(1024);
/// assert!(splitter.push(b"data: op")?.is_empty());
/// let events = splitter.push(b"en\n\n")?;
/// assert_eq!(events[0].data, b"open");
/// # Ok::<(), lycheeford_target::EventTooLarge>(())
/// ```
#[derive(Debug)]
pub struct EventSplitter {
    event_bytes_max: usize,
    line: Vec<u8>,
    raw: Vec<u8>,
    data: Vec<u8>,
    lines: EventLines,
    after_carriage_return: bool,
}

/// The lines of an incomplete event, by the strangest of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum EventLines {
    #[default]
    Comments,
    /// Fields that readers of events ignore.
    OtherFields,
    /// At least one field of server-sent events.
    Fields,
    /// At least one line that is no field, such as a line of a text or a status line.
    Foreign,
}

/// A complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// All lines, each ended by a line feed, with the empty line that ends the event; ready to be
    /// forwarded.
    pub raw: Vec<u8>,
    /// The values of the data lines, joined by line feeds; empty for a comment.
    pub data: Vec<u8>,
    /// Whether the lines are no event at all, as the text or the head of an error.
    pub is_foreign: bool,
}

impl EventSplitter {
    /// Returns a splitter for events of up to `event_bytes_max` bytes.
    pub fn new(event_bytes_max: usize) -> EventSplitter {
        EventSplitter {
            event_bytes_max,
            line: Vec::new(),
            raw: Vec::new(),
            data: Vec::new(),
            lines: EventLines::default(),
            after_carriage_return: false,
        }
    }

    /// Adds the next bytes of the stream and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds the size limit; the splitter can't be used after that.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLarge> {
        let mut events = Vec::new();
        for &byte in bytes {
            let follows_carriage_return = mem::replace(&mut self.after_carriage_return, false);
            match byte {
                b'\n' if follows_carriage_return => {}
                b'\n' => events.extend(self.end_line()),
                b'\r' => {
                    self.after_carriage_return = true;
                    events.extend(self.end_line());
                }
                _ => self.extend_line(byte)?,
            }
        }
        Ok(events)
    }

    /// Returns whether the bytes so far end at the end of an event.
    pub fn is_between_events(&self) -> bool {
        self.line.is_empty() && self.raw.is_empty()
    }

    fn extend_line(&mut self, byte: u8) -> Result<(), EventTooLarge> {
        if self.raw.len() + self.line.len() >= self.event_bytes_max {
            return Err(EventTooLarge { event_bytes_max: self.event_bytes_max });
        }
        self.line.push(byte);
        Ok(())
    }

    fn end_line(&mut self) -> Option<Event> {
        if self.line.is_empty() {
            return self.end_event();
        }
        if let Some(data) = field_value(&self.line, b"data") {
            self.data.extend_from_slice(data);
            self.data.push(b'\n');
        }
        self.lines = self.lines.max(EventLines::of(&self.line));
        self.raw.append(&mut self.line);
        self.raw.push(b'\n');
        None
    }

    fn end_event(&mut self) -> Option<Event> {
        if self.raw.is_empty() {
            return None;
        }
        self.raw.push(b'\n');
        self.data.pop();
        let lines = mem::take(&mut self.lines);
        Some(Event {
            raw: mem::take(&mut self.raw),
            data: mem::take(&mut self.data),
            is_foreign: matches!(lines, EventLines::OtherFields | EventLines::Foreign),
        })
    }
}

impl EventLines {
    /// Returns the kind of an event with this line alone.
    fn of(line: &[u8]) -> EventLines {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let is_name_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_".contains(byte);
        match name {
            b"" => EventLines::Comments,
            b"data" | b"event" | b"id" | b"retry" => EventLines::Fields,
            name if name.iter().all(is_name_byte) => EventLines::OtherFields,
            _ => EventLines::Foreign,
        }
    }
}

fn field_value<'a>(line: &'a [u8], field: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(field)?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// The error for an event that exceeds the size limit.
#[derive(Debug, Snafu)]
#[snafu(display("an event is over {event_bytes_max} bytes; correct the engine"))]
pub struct EventTooLarge {
    event_bytes_max: usize,
}
