use std::future::Future;
use std::pin::Pin;

use crate::error::OperatorError;
use crate::report::{
    ApplyReport, ApplyRequest, ConfigurationReport, CustomerReport, DrainReport, ExplainRequest,
    Explanation, GrantReport, GrantRequest, HealthReport, HostReport, HostRevision, KeyReport,
    ModelReport, TargetReport, WithdrawRequest,
};

/// The future result of a call.
pub type AdminApiFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, OperatorError>> + Send + 'a>>;

/// The calls of a daemon's admin API.
///
/// The daemon implements this trait, and [`serve`](crate::serve) exposes it over
/// HTTP. Every call except [`grant_key`](AdminApi::grant_key) may be repeated: calls
/// that change something are conditional, or change nothing the second time.
pub trait AdminApi: Send + Sync + 'static {
    /// Reads the stored configuration.
    fn configuration(&self) -> AdminApiFuture<'_, ConfigurationReport>;

    /// Replaces the declared configuration, unless it was replaced after the base revision.
    fn apply(&self, request: ApplyRequest) -> AdminApiFuture<'_, ApplyReport>;

    /// Lists which revision is in force on each daemon.
    fn in_force(&self) -> AdminApiFuture<'_, Vec<HostRevision>>;

    /// Lists the entry hosts, as this daemon sees them.
    fn hosts(&self) -> AdminApiFuture<'_, Vec<HostReport>>;

    /// Lists the targets, as this daemon sees them.
    fn targets(&self) -> AdminApiFuture<'_, Vec<TargetReport>>;

    /// Lists the models and adapters with their replicas, as this daemon sees them.
    fn models(&self) -> AdminApiFuture<'_, Vec<ModelReport>>;

    /// Lists the customers with their limits and request counts.
    fn customers(&self) -> AdminApiFuture<'_, Vec<CustomerReport>>;

    /// Lists the keys, without their secrets and digests.
    fn keys(&self) -> AdminApiFuture<'_, Vec<KeyReport>>;

    /// Grants a key and returns its secret, which can't be read again; a repeated call grants
    /// another key.
    fn grant_key(&self, request: GrantRequest) -> AdminApiFuture<'_, GrantReport>;

    /// Withdraws a key, which also ends the open streams of its callers.
    fn withdraw_key(&self, request: WithdrawRequest) -> AdminApiFuture<'_, ApplyReport>;

    /// Starts the graceful shutdown of this daemon.
    fn drain(&self) -> AdminApiFuture<'_, DrainReport>;

    /// Explains decisions about a request, a model or a customer.
    fn explain(&self, request: ExplainRequest) -> AdminApiFuture<'_, Explanation>;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> AdminApiFuture<'_, String>;

    /// Returns whether this daemon accepts callers.
    fn health(&self) -> AdminApiFuture<'_, HealthReport>;
}
