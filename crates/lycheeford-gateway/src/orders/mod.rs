//! Orders to the engines: which host sends them, what is ordered, and the outcome of each order.

mod engine_records;
mod lease_task;
mod plan_task;
mod send;
#[cfg(test)]
mod tests;
mod withdraw;

pub(crate) use self::engine_records::Orders;
pub(crate) use self::lease_task::keep_lease;
pub(crate) use self::plan_task::plan_orders;
