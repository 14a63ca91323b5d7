//! Loading of models on engines: the plan, the load and unload orders, and their outcomes.

pub(crate) mod coordinator;
pub(crate) mod demand;
pub(crate) mod memory;
pub(crate) mod orders;
pub(crate) mod planning;
pub(crate) mod sent_orders;
