use std::future::Future;
use std::pin::Pin;

use crate::error::OperatorError;
use crate::report::{
    ApplyReport, ApplyRequest, ConfigurationReport, CustomerReport, DrainReport, ExplainRequest,
    Explanation, GrantReport, GrantRequest, HealthReport, HostReport, HostRevision, KeyReport,
    ModelReport, TargetReport, WithdrawRequest,
};

/// The future result of a call.
pub type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T, OperatorError>> + Send + 'a>>;

/// The calls of a daemon's admin API.
///
/// The daemon implements this trait, and [`serve`](crate::serve) exposes it over
/// HTTP. Every call except [`grant_key`](Operator::grant_key) may be repeated: calls
/// that change something are conditional, or change nothing the second time.
pub trait Operator: Send + Sync + 'static {
    /// Reads the stored configuration.
    fn configuration(&self) -> Answer<'_, ConfigurationReport>;

    /// Replaces the declared configuration, unless it was replaced after the base revision.
    fn apply(&self, request: ApplyRequest) -> Answer<'_, ApplyReport>;

    /// Lists which revision is in force on each daemon.
    fn in_force(&self) -> Answer<'_, Vec<HostRevision>>;

    /// Lists the entry hosts, as this daemon sees them.
    fn hosts(&self) -> Answer<'_, Vec<HostReport>>;

    /// Lists the targets, as this daemon sees them.
    fn targets(&self) -> Answer<'_, Vec<TargetReport>>;

    /// Lists the models and adapters with their replicas, as this daemon sees them.
    fn models(&self) -> Answer<'_, Vec<ModelReport>>;

    /// Lists the customers with their limits and request counts.
    fn customers(&self) -> Answer<'_, Vec<CustomerReport>>;

    /// Lists the keys, without their secrets and digests.
    fn keys(&self) -> Answer<'_, Vec<KeyReport>>;

    /// Grants a key and returns its secret, which can't be read again; a repeated call grants
    /// another key.
    fn grant_key(&self, request: GrantRequest) -> Answer<'_, GrantReport>;

    /// Withdraws a key, which also ends the open streams of its callers.
    fn withdraw_key(&self, request: WithdrawRequest) -> Answer<'_, ApplyReport>;

    /// Starts the graceful shutdown of this daemon.
    fn drain(&self) -> Answer<'_, DrainReport>;

    /// Explains decisions about a request, a model or a customer.
    fn explain(&self, request: ExplainRequest) -> Answer<'_, Explanation>;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> Answer<'_, String>;

    /// Returns whether this daemon accepts callers.
    fn health(&self) -> Answer<'_, HealthReport>;
}
