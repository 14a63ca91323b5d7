use serde::{Deserialize, Serialize};

/// Faults of the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// What befalls every call.
    pub calls: CallFault,
    /// How long each call is held before it is looked at.
    pub answer_delay_ms: u64,
    /// The writes that take effect and get no answer.
    pub lose_answers: LostWrites,
    /// The writes that take no effect and get no answer.
    pub lose_requests: LostWrites,
    /// The only kind whose writes are lost; without one, those of every kind are.
    pub lost_kind: Option<String>,
    /// What befalls every call once the next write of a `head` has been answered.
    pub after_head: CallFault,
    /// How far the list of hosts lags.
    pub host_list_lag_ms: u64,
    /// How many revisions every read lags.
    pub stale_by_revisions: u64,
    /// The revision at which every read stands still.
    pub reads_frozen_at: Option<u64>,
    /// What befalls watches.
    pub watches: WatchFault,
}

/// What befalls every call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallFault {
    /// It is served.
    #[default]
    None,
    /// It waits until the fault ends, and is then served.
    Stall,
    /// It is refused with 503.
    Refuse,
    /// Its connection is dropped.
    Reset,
}

/// What befalls watches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchFault {
    /// They are served.
    #[default]
    None,
    /// They never answer.
    Silent,
}

/// How many of the next writes are lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostWrites {
    /// None.
    #[default]
    None,
    /// As many.
    Next(u64),
    /// All of them.
    All,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFate {
    Serve,
    LoseAnswer,
    LoseRequest,
}

impl PlatformFaults {
    pub(super) fn next_write(&mut self, kind: &str) -> WriteFate {
        if self.lost_kind.as_ref().is_some_and(|lost| lost != kind) {
            return WriteFate::Serve;
        }
        if self.lose_requests.take() {
            return WriteFate::LoseRequest;
        }
        if self.lose_answers.take() {
            return WriteFate::LoseAnswer;
        }
        WriteFate::Serve
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
