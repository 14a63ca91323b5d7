//! What operators and the platform see of a gateway.

mod directory;
pub(crate) mod log;
pub(crate) mod metrics;

pub(crate) use self::directory::{Directory, MetricsPage, Readiness};
