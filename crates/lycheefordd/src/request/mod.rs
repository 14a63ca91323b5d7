//! A request from its first byte to the end of its answer.

pub(crate) mod access;
pub(crate) mod call;
pub(crate) mod complete;
pub(crate) mod completion;
pub(crate) mod crash;
pub(crate) mod front;
pub(crate) mod relay;
pub(crate) mod run_alone;
