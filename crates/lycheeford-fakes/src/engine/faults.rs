use serde::{Deserialize, Serialize};

/// Faults injected into a fake engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The state that the engine reports in its status.
    pub state: EngineState,
    /// Drops the connection after this many tokens of each response; absent means never.
    pub truncate_after_tokens: Option<u64>,
    /// Stops sending after this many tokens of each response but keeps the connection open; absent
    /// means never.
    pub silent_after_tokens: Option<u64>,
    /// Sends only an occasional byte of a comment after this many tokens of each streamed response;
    /// absent means never.
    pub trickle_after_tokens: Option<u64>,
    /// Sends the head and the text of an error after this many tokens of each streamed response and
    /// drops the connection; absent means never.
    pub error_after_tokens: Option<u64>,
    /// The age of the status that the engine reports, in milliseconds; 0 means the current status.
    pub status_lag_ms: u64,
}

/// Whether the engine wants new requests.
///
/// The engine only reports this state; it serves requests in both states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// In service.
    #[default]
    Live,
    /// About to be removed from service.
    Leaving,
}
