//! Connections between daemons.
//!
//! [`Peers`] keeps two lanes to each member. A lane is a connection with a task
//! of its own, so that no other message can delay the health checks:
//!
//! - the *beat lane* exchanges heartbeats, [`Beat`](lycheeford_wire::Beat)s, one
//!   at a time;
//! - the *message lane* sends all other messages from a bounded queue, and ends
//!   each batch with a flush that the receiver answers.
//!
//! A connection that stops responding is detected by the missing answer, even
//! if the other side still acknowledges at the TCP level. A member is reported
//! as unresponsive only when a fresh connection has failed as well. Messages may be
//! lost or duplicated; every protocol on top of the lanes tolerates both. A message whose content
//! this build doesn't know is lost alone: the connection goes on, and its flush is answered.
//! docs/DESIGN.md has the reasons.
//!
//! Received messages are passed to a [`PeerHandler`], which the daemon implements.

mod inbound;
mod inbox;
mod lane;
mod limits;
mod link;
mod peers;

pub use crate::inbox::{BeatFailure, PeerHandler};
pub use crate::limits::PeerLimits;
pub use crate::peers::{Member, Peers, SendOutcome};
