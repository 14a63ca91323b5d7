//! Which engine holds which model: the plan, its orders, and what became of them.

pub(crate) mod coordinator;
pub(crate) mod demand;
pub(crate) mod memory;
pub(crate) mod orders;
pub(crate) mod planning;
pub(crate) mod sent_orders;
