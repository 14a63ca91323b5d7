//! Client of the platform's object API.
//!
//! The platform stores the persistent state: named objects of a kind, each with a version, changed
//! by conditional updates and followed by watches. The platform may be slow or down, and an answer
//! may be lost after the call took effect, so every error tells whether the call can have had an
//! effect.
//!
//! The main types:
//!
//! - [`ObjectStore`]: the interface that the rest of the daemon uses.
//! - [`HttpObjectStore`]: its implementation over HTTP and JSON.
//! - [`put_settled`]: a conditional put, retried until its outcome is known.
//! - [`follow`]: keeps a caller up to date with the objects of a kind.
//! - [`RawJson`]: an answer whose values are decoded one by one, since others write some of them.
//! - [`EraGate`]: which answers are of a store that was restored since.
//! - [`PlatformError`] with its [`Category`]: the failure of a call.
//!
//! ```no_run
//! use lycheeford_platform::{Expect, HttpObjectStore, PlatformLimits, put_settled};
//! use serde_json::json;
//!
//! # async fn example() -> Result<(), lycheeford_platform::PlatformError> {
//! let address = ([127, 0, 0, 1], 7000).into();
//! let store = HttpObjectStore::new(address, PlatformLimits::default());
//! let value = json!({ "decided": 1, "writer": "host-a/17/1" });
//! let version = put_settled(&store, "replica", "ice-chart", value, Expect::Absent, 5_000).await?;
//! # let _ = version;
//! # Ok(())
//! # }
//! ```

mod backoff;
mod calls;
mod connection;
mod era;
mod error;
mod follow;
mod http;
mod limits;
mod object;
mod raw_json;
mod settled;
mod store;
mod unreadable;
mod watch;
mod wire;

pub use crate::calls::{CallCounters, Calls};
pub use crate::connection::{Answer, Connections, ExchangeError};
pub use crate::era::EraGate;
pub use crate::error::{Category, PlatformError};
pub use crate::follow::{
    Change, FollowLimits, FollowWaker, PauseState, Update, follow, follow_with_pauses,
};
pub use crate::http::HttpObjectStore;
pub use crate::limits::PlatformLimits;
pub use crate::object::{Expect, Listing, Object};
pub use crate::raw_json::RawJson;
pub use crate::settled::put_settled;
pub use crate::store::ObjectStore;
pub use crate::unreadable::UnreadableValue;
pub use crate::watch::{WatchBatch, WatchEvent};
