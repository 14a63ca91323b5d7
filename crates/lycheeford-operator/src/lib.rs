//! The admin API of the daemons for their operators, as JSON over HTTP.
//!
//! The daemon implements [`AdminApi`] and exposes it with [`serve`]; the
//! command-line tool calls it through [`OperatorClient`]. Requests and reports
//! have their own types, separate from the domain types, so that the API
//! changes only deliberately. An error response has an [`OperatorError`] as its
//! body. docs/OPERATING-CLI.md describes the calls.

mod bounded;
mod client;
mod dispatch;
mod endpoint;
mod error;
mod operator;
mod report;
mod server;

pub use crate::client::{ClientCategory, ClientError, OperatorClient};
pub use crate::error::{OperatorError, OperatorErrorCode};
pub use crate::operator::{AdminApi, AdminApiFuture};
pub use crate::report::{
    ApplyReport, ApplyRequest, ConfigurationReport, CustomerReport, DrainReport, ExplainRequest,
    Explanation, Fact, GrantReport, GrantRequest, HealthReport, HealthState, HostReport,
    HostRevision, KeyReport, ModelReport, ReplicaReport, ReplicaState, SubjectKind, TargetReport,
    WithdrawRequest,
};
pub use crate::server::{CONNECTIONS_MAX, serve};
