use std::mem;

use snafu::Snafu;

/// Splits a stream of server-sent events into whole events.
///
/// The result doesn't depend on where the stream was cut into chunks.
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
    after_carriage_return: bool,
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// All its lines with line feeds and the empty line, ready to be sent on.
    pub raw: Vec<u8>,
    /// Its data lines, joined by line feeds; empty for a comment.
    pub data: Vec<u8>,
}

impl EventSplitter {
    /// Returns a splitter for events of up to `event_bytes_max` bytes.
    pub fn new(event_bytes_max: usize) -> EventSplitter {
        EventSplitter {
            event_bytes_max,
            line: Vec::new(),
            raw: Vec::new(),
            data: Vec::new(),
            after_carriage_return: false,
        }
    }

    /// Takes the next bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails if an event is larger than the bound; the stream is unusable then.
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

    /// Returns whether no part of an event is waiting for its end.
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
        Some(Event { raw: mem::take(&mut self.raw), data: mem::take(&mut self.data) })
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

/// An event is larger than the bound.
#[derive(Debug, Snafu)]
#[snafu(display("an event is over {event_bytes_max} bytes; mend the engine"))]
pub struct EventTooLarge {
    event_bytes_max: usize,
}
