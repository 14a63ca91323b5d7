//! Decisions of lycheeford, free of I/O.
//!
//! Every decision is a function of a state, an event and the current time to
//! a new state and a list of actions. Nothing here reads a clock, opens a
//! connection or waits, so a property test, a benchmark or a simulator can
//! drive the same code as the daemon. docs/DESIGN.md gives the reasons.
//!
//! The main types:
//!
//! - [`Name`]: a shared immutable name, cheap to clone.
//! - [`TimeMs`]: a reading of a monotonic clock in milliseconds.
//! - [`Configuration`]: what the operators declared, checked as a whole.
//! - [`Host`]: a machine as the platform's list shows it.
//! - [`Refusal`]: why a request was refused, and whether it ran.
//! - [`Planner`]: which replicas are loaded and unloaded where, and in which order.
//! - [`Router`]: which target takes a request.
//! - [`FairQueue`]: the requests that wait at one host, and who goes next.
//! - [`Readiness`]: when a model is expected to be ready, for refusal at arrival.
//! - [`RetryBudget`]: how much of the load may be retries.

mod configuration;
mod fair_queue;
mod host;
mod name;
mod name_table;
mod planner;
mod readiness;
mod refusal;
mod rendezvous;
mod retry_budget;
mod router;
mod time;

pub use crate::configuration::{
    Access, Adapter, Configuration, Customer, Key, Model, Repeat, Route, Service, SiteWeights,
};
pub use crate::fair_queue::{FairQueue, QueueDepth, QueueId, QueuedRequest};
pub use crate::host::{Host, HostRole, HostState, Incarnation};
pub use crate::name::Name;
pub use crate::planner::{
    Activity, CheckpointPlace, Demand, DemandReport, LoadLimits, PlanAction, Planner, ReplicaState,
    ReplicaView, TargetView,
};
pub use crate::readiness::Readiness;
pub use crate::refusal::{Ran, Refusal, RefusalCode};
pub use crate::rendezvous::{rendezvous_owner, rendezvous_rank};
pub use crate::retry_budget::RetryBudget;
pub use crate::router::Router;
pub use crate::time::TimeMs;
