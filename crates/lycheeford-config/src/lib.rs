//! The settings of a daemon and the configuration of the fleet.
//!
//! [`Settings`] holds the settings file of one daemon. [`Document`] holds what
//! operators declare for the whole fleet: [`merge`] applies a site's overlay to
//! a base file, and [`check`] validates the result as a whole.
//! docs/CONFIGURATION.md describes every field of both.
//!
//! ```
//! use lycheeford_config::{Document, check, merge};
//!
//! let base = Document::from_yaml(
//!     "customers: [{ name: pilots, rate_tokens_per_s: 100, burst_tokens: 2000 }]",
//!     "base.yaml",
//! )?;
//! let overlay = Document::from_yaml(
//!     "customers: [{ name: pilots, burst_tokens: 5000 }]",
//!     "site.yaml",
//! )?;
//! let configuration = check(&merge(&base, &overlay))?;
//! assert_eq!(configuration.customers[0].burst_tokens, 5000);
//! # Ok::<(), lycheeford_config::Faults>(())
//! ```
//!
//! In the platform's store a configuration is a [`Head`] that names immutable
//! [`Chunk`]s. [`plan_apply`], [`plan_grant`] and [`plan_withdraw`] plan a
//! change, [`assemble`] decodes the stored configuration, and [`resolve_write_outcome`]
//! determines whether a write took effect when the store's response to it was
//! lost. Every function here is pure; the daemon does the I/O.

mod assemble_error;
mod change;
mod check;
mod declared;
mod diff;
mod document;
mod fault;
mod grant;
mod key_list;
mod line;
mod merge;
mod section;
mod settings;
mod stored;
mod value;

pub use crate::assemble_error::{AssembleCategory, AssembleError};
pub use crate::change::{
    ChangeCategory, ChangeError, HeadWrite, WriteOutcome, plan_apply, plan_grant, plan_withdraw,
    resolve_write_outcome,
};
pub use crate::check::{CUSTOMERS_LISTED_MAX, NAME_BYTES_MAX, check};
pub use crate::diff::{Difference, diff};
pub use crate::document::{
    AdapterEntry, CustomerEntry, Document, ModelEntry, RouteEntry, ServiceEntry, WeightsEntry,
};
pub use crate::fault::{Fault, FaultCategory, Faults};
pub use crate::grant::{KEY_RANDOM_BYTES, generate_key};
pub use crate::merge::merge;
pub use crate::settings::{
    CallerLimits, LogLevel, STOP_GRACE_MS_MIN, Settings, SettingsError, WeightStoreLimits,
};
pub use crate::stored::{
    CHUNK_BYTES_MAX, CHUNK_KIND, Chunk, HEAD_KIND, HEAD_NAME, Head, assemble, encode,
    encode_declared, encode_keys, missing_chunks,
};
