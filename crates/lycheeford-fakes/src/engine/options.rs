use std::net::SocketAddr;

/// Configuration of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The memory for model weights and adapters.
    pub memory_bytes: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub fence_check: FenceCheck,
    /// Whether the engine accepts loads beyond its memory, so that tests can detect overcommitment.
    pub trusting: bool,
    /// The weight store to load from; without one, a load takes only the time that
    /// `load_bytes_per_ms` gives.
    pub weight_store: Option<SocketAddr>,
    /// The load speed in bytes per millisecond without a weight store.
    pub load_bytes_per_ms: u64,
    /// The load speed in bytes per millisecond from the engine's disk.
    pub disk_bytes_per_ms: u64,
    /// The duration of an unload after the last request has ended, in milliseconds.
    pub unload_ms: u64,
    /// The names of models and adapters whose checkpoints are on disk at the start.
    pub disk_checkpoints: Vec<String>,
    /// The time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// The time between tokens, in milliseconds.
    pub token_interval_ms: u64,
    /// The maximum number of running requests; further ones queue by priority.
    pub batch_max: usize,
    /// A prompt that contains this text crashes the engine; absent means that none does.
    pub crash_marker: Option<String>,
    /// What the engine does on a crash.
    pub on_crash: OnCrash,
    /// Texts that no header, cookie or query may contain; a match sets `marker_seen`.
    pub markers: Vec<String>,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            memory_bytes: 80_000_000_000,
            fence_check: FenceCheck::Ignore,
            trusting: false,
            weight_store: None,
            load_bytes_per_ms: 20_000_000,
            disk_bytes_per_ms: 80_000_000,
            unload_ms: 10,
            disk_checkpoints: Vec::new(),
            first_token_ms: 5,
            token_interval_ms: 2,
            batch_max: 16,
            crash_marker: None,
            on_crash: OnCrash::Stop,
            markers: Vec::new(),
        }
    }
}

/// Whether orders with an outdated fencing number are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// Orders with a number below the highest seen are refused.
    Refuse,
    /// The fencing number is not checked.
    Ignore,
}

/// What a stand-in does on a crash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OnCrash {
    /// Stops listening and drops every connection; for a stand-in inside a test process.
    #[default]
    Stop,
    /// Aborts the process.
    Abort,
}

impl OnCrash {
    pub(crate) fn abort_if_configured(self) {
        if self == OnCrash::Abort {
            std::process::abort();
        }
    }
}
