//! The interfaces for operators and the platform: directory, readiness, metrics and logs.

mod directory;
pub(crate) mod log;
pub(crate) mod metrics;

pub(crate) use self::directory::{Directory, MetricsPage, Readiness};
