//! Operation: admin API, explanations, metrics and logs.

pub(crate) mod admin;
pub(crate) mod decisions;
pub(crate) mod explain;
pub(crate) mod facts;
pub(crate) mod log;
pub(crate) mod metrics;
