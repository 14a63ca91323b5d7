//! Membership: the list of hosts, the reachability of the other daemons, and messages between them.

pub(crate) mod discovery;
pub(crate) mod fleet;
pub(crate) mod hosts;
pub(crate) mod inbox;
pub(crate) mod members;
pub(crate) mod outbox;
pub(crate) mod pause_detector;
pub(crate) mod peer_view;
pub(crate) mod unread;
