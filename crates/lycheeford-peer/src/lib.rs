//! Connections between daemons.
//!
//! [`Peers`] keeps two lanes to each member, each a connection and a task of
//! its own, so that nothing can stand before health evidence:
//!
//! - the *beat lane* exchanges [`Beat`](lycheeford_wire::Beat)s, one at a time;
//! - the *message lane* carries everything else from a bounded queue, and
//!   closes each batch with a flush that the other side answers.
//!
//! A connection that went silent is found by the missing answer, also if the
//! other side still acknowledges at the TCP level. A member is reported as
//! missed only when a fresh connection has failed as well. Messages may be
//! lost or doubled; every protocol above tolerates both. docs/DESIGN.md has
//! the reasons.
//!
//! What arrives goes to an [`Inbox`], which the daemon implements.

mod inbound;
mod inbox;
mod lane;
mod limits;
mod link;
mod peers;

pub use crate::inbox::{Inbox, Missed};
pub use crate::limits::PeerLimits;
pub use crate::peers::{Member, Peers, Sent};
