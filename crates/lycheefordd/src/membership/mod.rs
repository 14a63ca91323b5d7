//! The other daemons and all hosts: who there is, who answers, what they say.

pub(crate) mod fleet;
pub(crate) mod hosts;
pub(crate) mod inbox;
pub(crate) mod members;
pub(crate) mod outbox;
pub(crate) mod presence;
pub(crate) mod standing;
pub(crate) mod wake_watch;
