//! The admin API between daemons and their operators, HTTP with JSON.
//!
//! The daemon implements [`Operator`] and puts it on the network with
//! [`serve`]; the command-line tool calls it through [`OperatorClient`].
//! Requests and reports are types of their own, apart from the domain's, so
//! that the API only changes on purpose. An answer that isn't a success has an
//! [`OperatorError`] as its body. docs/OPERATING-CLI.md describes the calls.

mod bounded;
mod call;
mod client;
mod dispatch;
mod error;
mod operator;
mod report;
mod server;

pub use crate::client::{ClientCategory, ClientError, OperatorClient};
pub use crate::error::{OperatorError, OperatorErrorCode};
pub use crate::operator::{Answer, Operator};
pub use crate::report::{
    ApplyReport, ApplyRequest, ConfigurationReport, CustomerReport, DrainReport, ExplainRequest,
    Explanation, Fact, GrantReport, GrantRequest, HealthReport, HealthState, HostReport,
    HostRevision, KeyReport, ModelReport, ReplicaReport, ReplicaState, SubjectKind, TargetReport,
    WithdrawRequest,
};
pub use crate::server::{CONNECTIONS_MAX, serve};
