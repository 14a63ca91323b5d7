use std::future::Future;
use std::pin::Pin;

use crate::error::OperatorError;
use crate::report::{
    ApplyReport, ApplyRequest, ConfigurationReport, CustomerReport, DrainReport, ExplainRequest,
    Explanation, GrantReport, GrantRequest, HealthReport, HostReport, HostRevision, KeyReport,
    ModelReport, TargetReport, WithdrawRequest,
};

/// The answer to a call, on its way.
pub type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T, OperatorError>> + Send + 'a>>;

/// What a daemon does for its operators.
///
/// The daemon implements it; [`serve`](crate::serve) puts it on the network.
/// Every call may be made again: the ones that change something are
/// conditional, or change nothing the second time.
pub trait Operator: Send + Sync + 'static {
    /// Reads the stored configuration.
    fn configuration(&self) -> Answer<'_, ConfigurationReport>;

    /// Replaces what is declared, on the condition that nobody did since the base revision.
    fn apply(&self, request: ApplyRequest) -> Answer<'_, ApplyReport>;

    /// Tells which revision is in force on each daemon.
    fn in_force(&self) -> Answer<'_, Vec<HostRevision>>;

    /// Lists the entry hosts.
    fn hosts(&self) -> Answer<'_, Vec<HostReport>>;

    /// Lists the targets.
    fn targets(&self) -> Answer<'_, Vec<TargetReport>>;

    /// Lists the models and adapters with their replicas.
    fn models(&self) -> Answer<'_, Vec<ModelReport>>;

    /// Lists the customers with what they were served.
    fn customers(&self) -> Answer<'_, Vec<CustomerReport>>;

    /// Lists the keys, without secrets and digests.
    fn keys(&self) -> Answer<'_, Vec<KeyReport>>;

    /// Grants a key and shows its secret, this once.
    fn grant_key(&self, request: GrantRequest) -> Answer<'_, GrantReport>;

    /// Withdraws a key, which also ends its open streams.
    fn withdraw_key(&self, request: WithdrawRequest) -> Answer<'_, ApplyReport>;

    /// Starts the graceful shutdown of the answering daemon.
    fn drain(&self) -> Answer<'_, DrainReport>;

    /// Explains a request, a model or a customer.
    fn explain(&self, request: ExplainRequest) -> Answer<'_, Explanation>;

    /// Writes the metrics in the text format of Prometheus.
    fn metrics(&self) -> Answer<'_, String>;

    /// Tells whether the daemon is fit to serve.
    fn health(&self) -> Answer<'_, HealthReport>;
}
