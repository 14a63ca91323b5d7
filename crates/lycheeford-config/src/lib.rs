//! The settings of a daemon and the configuration of the fleet.
//!
//! [`Settings`] is what one daemon reads from its own file. [`Document`] is
//! what operators declare for the whole fleet: a base file and a site's
//! overlay. docs/CONFIGURATION.md describes every field of both.
//!
//! In the platform's store a configuration is a [`Head`] that names
//! immutable [`Chunk`]s. Everything here is a pure function; the daemon does
//! the I/O.

mod document;
mod fault;
mod line;
mod section;
mod settings;
mod stored;
mod value;

pub use crate::document::{
    AdapterEntry, CustomerEntry, Document, ModelEntry, RouteEntry, ServiceEntry, WeightsEntry,
};
pub use crate::fault::{Category, Fault, Faults};
pub use crate::settings::{CallerLimits, LogLevel, Settings, SettingsError, WeightStoreLimits};
pub use crate::stored::{CHUNK_BYTES_MAX, CHUNK_KIND, Chunk, HEAD_KIND, HEAD_NAME, Head};
