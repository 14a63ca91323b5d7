//! Calls to plain services, with the ledger of those that must run at most once.

pub(crate) mod ledger;
pub(crate) mod ledger_seen;
pub(crate) mod serve;
pub(crate) mod targets;
