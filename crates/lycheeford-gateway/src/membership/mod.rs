//! The other hosts: who they are, what they say, and what they are told.

mod hosts;
mod report;
mod spread;
mod wire;

pub(crate) use self::hosts::{forget_own_host, keep_hosts};
pub(crate) use self::report::apply_own_placements;
pub(crate) use self::spread::{receive_reports, send_reports, send_wants};
