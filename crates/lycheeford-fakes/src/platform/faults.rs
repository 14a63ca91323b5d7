use serde::{Deserialize, Serialize};

/// Faults injected into a fake platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// The fault applied to every call except `/fault` and `/calls`.
    pub calls: CallFault,
    /// The delay before each call is processed, in milliseconds.
    pub answer_delay_ms: u64,
    /// The writes that take effect but get no response.
    pub lose_answers: LostWrites,
    /// The writes that take no effect and get no response.
    pub lose_requests: LostWrites,
    /// The only kind of object whose writes are lost; if absent, writes of every kind are.
    pub lost_kind: Option<String>,
    /// The fault applied to every call after the next write of kind `head`, which itself is still
    /// answered.
    pub after_head: CallFault,
    /// The lag of reads of kind `host`, in milliseconds.
    pub host_list_lag_ms: u64,
    /// The number of revisions by which every read lags.
    pub stale_by_revisions: u64,
    /// The newest revision that any read returns; absent means that reads aren't frozen.
    pub reads_frozen_at: Option<u64>,
    /// The fault applied to watches.
    pub watches: WatchFault,
}

/// A fault applied to every call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallFault {
    /// Calls are served.
    #[default]
    None,
    /// Calls wait until the fault is cleared and are then served.
    Stall,
    /// Calls are refused with status 503.
    Refuse,
    /// The connection of each call is dropped.
    Reset,
}

/// A fault applied to watches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchFault {
    /// Watches are served.
    #[default]
    None,
    /// Watches never respond, even if the fault is cleared while they wait.
    Silent,
}

/// The number of next writes to lose.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostWrites {
    /// No writes are lost.
    #[default]
    None,
    /// This many next writes are lost.
    Next(u64),
    /// All writes are lost.
    All,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFault {
    Serve,
    LoseAnswer,
    LoseRequest,
}

impl PlatformFaults {
    pub(super) fn next_write(&mut self, kind: &str) -> WriteFault {
        if self.lost_kind.as_ref().is_some_and(|lost| lost != kind) {
            return WriteFault::Serve;
        }
        if self.lose_requests.take() {
            return WriteFault::LoseRequest;
        }
        if self.lose_answers.take() {
            return WriteFault::LoseAnswer;
        }
        WriteFault::Serve
    }

    pub(super) fn reads_lag(&self) -> bool {
        self.host_list_lag_ms > 0 || self.stale_by_revisions > 0 || self.reads_frozen_at.is_some()
    }
}

impl LostWrites {
    fn take(&mut self) -> bool {
        match self {
            LostWrites::None | LostWrites::Next(0) => false,
            LostWrites::Next(left) => {
                *left -= 1;
                true
            }
            LostWrites::All => true,
        }
    }
}
