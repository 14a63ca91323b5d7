//! What operators declared: followed, spread between daemons, put in force and changed.

pub(crate) mod adopt;
pub(crate) mod change;
pub(crate) mod committed;
pub(crate) mod spread;
pub(crate) mod spread_table;
