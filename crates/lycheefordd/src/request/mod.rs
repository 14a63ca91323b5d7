//! Handling of caller requests, from the request head to the last byte of the response.

pub(crate) mod access;
pub(crate) mod call;
pub(crate) mod caller_handler;
pub(crate) mod complete;
pub(crate) mod completion;
pub(crate) mod crash;
pub(crate) mod relay;
pub(crate) mod run_alone;
