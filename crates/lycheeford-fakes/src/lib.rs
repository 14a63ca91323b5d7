//! Small stand-ins for the systems that lycheeford talks to.
//!
//! Each stand-in implements the same protocol as the real system and runs inside a
//! test process or as a separate binary. Faults are injected at run time by
//! `POST /fault`; an empty JSON object clears them.
//!
//! - [`FakePlatform`]: the object API with versions, conditional updates and
//!   watches.
//! - [`FakeEngine`]: a model engine with deterministic completions that keeps an
//!   audit of its orders, its memory use and its completions.
//! - [`FakeService`]: a plain service that counts how often each request ran.
//! - [`FakeWeightStore`]: the rate-limited store from which engines load models
//!   and adapters.
//!
//! [`Call`] is a caller's request to a daemon, and [`Deployment`] describes the
//! processes and files of a whole fleet on loopback.
//!
//! ```
//! use lycheeford_fakes::expected_text;
//!
//! let text = expected_text("ice-chart", "is the lead open?", 8);
//! assert!(text.starts_with(&expected_text("ice-chart", "is the lead open?", 3)));
//! ```

mod call;
mod deployment;
mod engine;
mod expected;
mod platform;
mod process;
mod reply;
mod server;
mod service;
mod weight_store;

pub use crate::call::{Answer, Call, CallError};
pub use crate::deployment::{DaemonPlan, Deployment, DeploymentKind, EnginePlan, ServicePlan};
pub use crate::engine::{
    EngineAudit, EngineFaults, EngineOptions, EngineState, FakeEngine, FenceCheck, MemoryPeriod,
    OnCrash, ReceivedOrder, max_concurrent_replicas,
};
pub use crate::expected::{expected_text, expected_token, prompt_tokens};
pub use crate::platform::{
    CallFault, FakePlatform, LostWrites, PlatformCalls, PlatformFaults, WatchFault,
};
pub use crate::process::{ProcessError, serve_until_signal};
pub use crate::service::{FakeService, RunCount, ServiceFaults, ServiceOptions, ServiceRuns};
pub use crate::weight_store::{FakeWeightStore, LoadKind, WeightStoreFaults, WeightStoreOptions};
