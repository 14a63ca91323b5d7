use std::net::SocketAddr;

/// How an engine is built.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Memory for weights and adapters.
    pub memory_bytes: u64,
    /// Whether an order with an old fencing number is refused.
    pub fence_check: FenceCheck,
    /// Whether it accepts orders that overcommit its memory, so that a test sees them.
    pub trusting: bool,
    /// The weight store to load from; without one, loads take their time alone.
    pub weight_store: Option<SocketAddr>,
    /// The bytes loaded in a millisecond without a weight store.
    pub load_bytes_per_ms: u64,
    /// The bytes loaded in a millisecond from its disk.
    pub disk_bytes_per_ms: u64,
    /// How long an unload takes.
    pub unload_ms: u64,
    /// Checkpoints on its disk from the start.
    pub disk_checkpoints: Vec<String>,
    /// How long the first token takes.
    pub first_token_ms: u64,
    /// The time between tokens.
    pub token_interval_ms: u64,
    /// Requests that run at once; more wait by priority.
    pub batch_max: usize,
    /// A prompt that contains this text crashes the engine.
    pub crash_marker: Option<String>,
    /// What a crash does.
    pub on_crash: OnCrash,
    /// Texts that no header, cookie or query may carry.
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

/// Whether an order with an old fencing number is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceCheck {
    /// It is refused.
    Refuse,
    /// The number is ignored.
    Ignore,
}

/// What a crash does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OnCrash {
    /// Stops listening and drops every connection, for a stand-in in a test's process.
    #[default]
    Stop,
    /// Aborts the process.
    Abort,
}

impl OnCrash {
    pub(crate) fn abort_if_asked(self) {
        if self == OnCrash::Abort {
            std::process::abort();
        }
    }
}
