//! Which engine a request runs on, or what it waits for.

pub(crate) mod adopt;
pub(crate) mod demand_report;
pub(crate) mod place;
pub(crate) mod table;
pub(crate) mod target_life;
