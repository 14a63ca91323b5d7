use http_types::Method;
use lycheeford_http::ResponseHead;

use crate::Echo;

/// The properties of the answer that is expected on a connection.
#[derive(Debug)]
pub(crate) struct ExpectedAnswer<'a> {
    pub(crate) method: Method,
    pub(crate) echo: Option<&'a Echo>,
    /// Whether the connection has carried other calls before this one.
    pub(crate) history: History,
}

/// Whether a connection has carried calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum History {
    New,
    Used,
}

/// The call that an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attribution {
    /// This call, according to the id in the answer, or because the target is known to repeat none.
    Own,
    /// This call, which is the only one on the connection. The answer has no id, so that a copy of
    /// it couldn't be told from the answer to a later call.
    OnlyCall,
    Other,
    Unclear,
}

impl ExpectedAnswer<'_> {
    /// Returns which call an answer belongs to.
    pub(crate) fn attribute(&self, head: &ResponseHead) -> Attribution {
        let Some(Echo { header, id }) = self.echo else { return Attribution::Own };
        let named = head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(header));
        let mut ids = named.map(|(_, value)| value.trim());
        match (ids.next(), ids.next()) {
            (Some(repeated), None) if id.as_deref() == Some(repeated) => Attribution::Own,
            (Some(_), None) => Attribution::Other,
            (None, _) if self.history == History::New => Attribution::OnlyCall,
            (Some(_), Some(_)) | (None, _) => Attribution::Unclear,
        }
    }
}
