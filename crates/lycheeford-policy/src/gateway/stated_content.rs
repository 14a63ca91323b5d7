const CONTENT_TYPE: &str = "content-type";
const EVENT_STREAM: &str = "text/event-stream";

/// What the head of an answer says of its body.
///
/// ```
/// use lycheeford_policy::StatedContent;
///
/// let headers = [("content-type".to_owned(), "Text/Event-Stream; charset=utf-8".to_owned())];
/// assert_eq!(StatedContent::of(&headers), StatedContent::Events);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedContent {
    /// Nothing: an answer to a request for a stream is taken for one.
    Unstated,
    /// An event stream.
    Events,
    /// Something else, such as the text of an error.
    Other,
}

impl StatedContent {
    /// Reads the headers of an answer, whose names are in lower case.
    pub fn of(headers: &[(String, String)]) -> StatedContent {
        let stated = headers.iter().find(|(name, _)| name == CONTENT_TYPE);
        let Some((_, value)) = stated else { return StatedContent::Unstated };
        let media_type = value.split(';').next().unwrap_or_default().trim();
        if media_type.eq_ignore_ascii_case(EVENT_STREAM) {
            StatedContent::Events
        } else {
            StatedContent::Other
        }
    }
}
