//! Calls to plain services, and the ledger of calls that must run at most once.

pub(crate) mod ledger;
pub(crate) mod ledger_versions;
pub(crate) mod serve;
pub(crate) mod targets;
