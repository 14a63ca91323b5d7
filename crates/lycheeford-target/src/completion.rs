use serde::Deserialize;

use crate::TargetError;
use crate::error::Code;

/// The data of the event that ends a streamed completion.
const DONE: &[u8] = b"[DONE]";

/// One event of a streamed completion, or a complete completion that wasn't streamed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompletionEvent {
    /// The generated text that the event adds.
    pub text: String,
    /// The reason why the completion ended, if it ends with this event.
    pub finish: Option<String>,
    /// The tokens used; streams report them in the last event before the end marker.
    pub usage: Option<Usage>,
    /// Whether this event is the end marker of the stream.
    pub done: bool,
}

impl CompletionEvent {
    /// Decodes the data of an event, or the body of a completion that wasn't streamed.
    ///
    /// Empty data, such as that of a comment, gives an empty event.
    ///
    /// ```
    /// use lycheeford_target::CompletionEvent;
    ///
    /// let event = CompletionEvent::parse(br#"{"choices":[{"text":"open lead"}]}"#)?;
    /// assert_eq!(event.text, "open lead");
    /// # Ok::<(), lycheeford_target::TargetError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the data isn't a completion, or if it reports an error.
    pub fn parse(data: &[u8]) -> Result<CompletionEvent, TargetError> {
        let data = data.trim_ascii();
        if data.is_empty() {
            return Ok(CompletionEvent::default());
        }
        if data == DONE {
            return Ok(CompletionEvent { done: true, ..CompletionEvent::default() });
        }
        let wire: WireCompletion =
            serde_json::from_slice(data).map_err(|source| Code::Json { source })?;
        CompletionEvent::try_from(wire)
    }
}

/// The tokens that a completion used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of generated tokens.
    pub completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct WireCompletion {
    #[serde(default)]
    choices: Vec<WireChoice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<WireError>,
}

#[derive(Debug, Deserialize)]
struct WireChoice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<WireMessage>,
    #[serde(default)]
    message: Option<WireMessage>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct WireMessage {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct WireError {
    #[serde(default)]
    code: Option<String>,
    #[serde(default)]
    message: Option<String>,
}

impl TryFrom<WireCompletion> for CompletionEvent {
    type Error = TargetError;

    fn try_from(wire: WireCompletion) -> Result<CompletionEvent, TargetError> {
        if let Some(error) = wire.error {
            let message = error.message.or(error.code).unwrap_or_default();
            return Err(Code::Engine { message }.into());
        }
        let mut event = CompletionEvent { usage: wire.usage, ..CompletionEvent::default() };
        let Some(choice) = wire.choices.into_iter().next() else {
            return Ok(event);
        };
        let message = choice.delta.or(choice.message);
        event.text =
            choice.text.or(message.and_then(|message| message.content)).unwrap_or_default();
        event.finish = choice.finish_reason;
        Ok(event)
    }
}
