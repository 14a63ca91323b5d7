//! Placement: which engine a request runs on, and the queue of requests that wait for a replica.

pub(crate) mod adopt;
pub(crate) mod demand_report;
pub(crate) mod place;
pub(crate) mod table;
pub(crate) mod target_instance;
