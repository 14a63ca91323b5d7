//! HTTP client for targets, which are model engines and plain services.
//!
//! The main types:
//!
//! - [`TargetClient`]: calls targets over pooled or new connections.
//! - [`TargetRequest`], [`TargetResponse`]: a call and its answer.
//! - [`TargetError`]: why a call failed, and whether it may have run.
//! - [`TargetStatus`], [`Order`]: the status that engines report, and the orders they receive.
//! - [`EventSplitter`], [`CompletionEvent`]: the events of a streamed completion.

mod answer_scan;
mod attribution;
mod carried;
mod client;
mod completion;
mod error;
mod event;
mod limits;
mod link;
mod order;
mod pool;
mod request;
mod response;
mod status;
mod wire;

pub use crate::client::TargetClient;
pub use crate::completion::{CompletionEvent, Usage};
pub use crate::error::{Category, TargetError};
pub use crate::event::{Event, EventSplitter, EventTooLarge};
pub use crate::limits::{KEEP_ALIVE_INTERVAL_S, TargetLimits, user_timeout_ms};
pub use crate::order::Order;
pub use crate::request::{Connection, Echo, TargetRequest};
pub use crate::response::{BodyEnd, TargetBody, TargetResponse};
pub use crate::status::{Checkpoint, Loaded, TargetStatus};
pub use http_types::Method;
pub use lycheeford_http::{MemoryAccount, SharedBody, Unframed};
