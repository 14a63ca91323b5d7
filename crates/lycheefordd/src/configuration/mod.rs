//! The declared configuration: watching and changing the stored one, transfer between daemons, and
//! applying it.

pub(crate) mod adopt;
pub(crate) mod change;
pub(crate) mod committed;
pub(crate) mod transfer;
pub(crate) mod transfer_table;
