//! Rate limits of customers: this daemon's share of each limit, token loans between daemons, and
//! reservations.

pub(crate) mod loans;
pub(crate) mod reservation;
pub(crate) mod share_upkeep;
pub(crate) mod table;
