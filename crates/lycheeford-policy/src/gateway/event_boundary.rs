/// Maximum number of bytes within which an event must end. Comments count as well, since they may
/// also continue without end.
pub const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Finds the boundaries of complete events in a stream, without changing a byte.
///
/// A target may stop in the middle of an event. Only complete events are passed on, so that a
/// stream can resume at another target after the last of them.
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
    pending_id: Option<String>,
    /// Whether the incomplete event has a line that is not a comment.
    has_field: bool,
    last_id: Option<String>,
    /// Whether the last complete event had no id.
    is_last_unnamed: bool,
    events: u64,
    /// Bytes since the last complete event, including comments.
    since_event_bytes: usize,
}

impl EventBoundary {
    /// Adds bytes and returns those of the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        self.since_event_bytes += bytes.len();
        let mut whole_bytes = 0;
        while let Some(offset) = self.pending[self.scanned..].iter().position(|&byte| byte == b'\n')
        {
            let end = self.scanned + offset;
            let line = trim_carriage_return(&self.pending[self.line_start..end]);
            if line.is_empty() {
                whole_bytes = end + 1;
                if std::mem::take(&mut self.has_field) {
                    self.events += 1;
                    self.is_last_unnamed = self.pending_id.is_none();
                    self.since_event_bytes = self.pending.len() - whole_bytes;
                }
                if self.pending_id.is_some() {
                    self.last_id = self.pending_id.take();
                }
            } else {
                self.has_field |= !line.starts_with(b":");
                self.pending_id = event_id(line).or(self.pending_id.take());
            }
            self.scanned = end + 1;
            self.line_start = end + 1;
        }
        self.scanned = self.pending.len();
        let rest = self.pending.split_off(whole_bytes);
        self.scanned -= whole_bytes;
        self.line_start -= whole_bytes;
        std::mem::replace(&mut self.pending, rest)
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        self.scanned = 0;
        self.line_start = 0;
        self.pending_id = None;
        self.has_field = false;
        self.since_event_bytes = 0;
        std::mem::take(&mut self.pending)
    }

    /// Returns whether the bytes so far end inside an event; comments belong to none.
    pub fn is_inside_event(&self) -> bool {
        let line = &self.pending[self.line_start..];
        self.has_field || !(line.is_empty() || line.starts_with(b":"))
    }

    /// Returns whether no event ended within [`EVENT_BYTES_MAX`] bytes.
    pub fn is_endless(&self) -> bool {
        self.since_event_bytes > EVENT_BYTES_MAX
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
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

fn trim_carriage_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn event_id(line: &[u8]) -> Option<String> {
    let value = line.strip_prefix(b"id:")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    std::str::from_utf8(value).ok().filter(|id| !id.is_empty()).map(str::to_owned)
}
