//! A gateway: routes HTTP requests of a deployment to the targets of its services.
//!
//! One gateway runs on each entry host. All gateways are equal and keep no state on disk. Each
//! accepts callers, checks keys and rate limits, chooses a target for each request and returns the
//! response unchanged. One gateway at a time sends load and unload orders to the model engines. The
//! decisions are made in `lycheeford-policy`; this crate carries them out. docs/PLATFORM.md
//! describes the deployment.
//!
//! Everything that depends on the platform is behind four traits, which a platform's package
//! implements:
//!
//! - [`CallerProtocol`]: the format of callers' requests and of refusals.
//! - [`TargetProtocol`]: the format of requests and orders to targets, and the meaning of responses.
//! - [`StoreProtocol`]: the platform's store, and the format of declarations and targets in it.
//! - [`DirectoryProtocol`]: the format of directory and readiness requests.
//!
//! [`run`] serves until it is stopped. The modules, each owning its tables:
//!
//! - `request`: admission, queueing, attempts and responses.
//! - `fleet`: the declaration and the targets, kept up to date from the store.
//! - `membership`: communication with the other hosts.
//! - `orders`: the lease, the planner and the orders to engines.
//! - `operation`: directory, readiness, metrics and logs.
//! - `state`: the shared tables and their lock order.

mod clock;
mod fleet;
mod membership;
mod operation;
mod orders;
mod protocol;
mod request;
mod run;
mod settings;
mod state;

pub use crate::clock::Clock;
pub use crate::operation::log::GatewayLog;
pub use crate::protocol::{
    AddressQuery, AnswerHead, CallerProtocol, DirectoryProtocol, Dispatch, EngineOrder,
    EngineReport, GatewayRequest, LimitSignal, ModelName, NotRun, OrderAnswer, OrderedName,
    PlatformProtocols, PromptPart, Reply, StoreProtocol, TargetProtocol, TargetSignals, Unclear,
};
pub use crate::run::{StartError, run};
pub use crate::settings::{GatewaySettings, RetryBounds};
