//! This daemon's part in every customer's rate: its share, loans and reservations.

pub(crate) mod loans;
pub(crate) mod reservation;
pub(crate) mod share_upkeep;
pub(crate) mod table;
