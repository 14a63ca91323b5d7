//! HTTP server for callers.
//!
//! [`serve`] accepts connections within the limits of [`Bounds`], validates
//! each request before any other code sees it, and passes it as a
//! [`CallerRequest`] to a [`Handler`]. The handler returns a
//! [`CallerResponse`], whose body is complete or a stream of chunks.
//!
//! The main types:
//!
//! - [`Handler`]: handles requests in the format of docs/CALLERS.md.
//! - [`Service`]: handles requests in any other format.
//! - [`CallerRequest`]: a validated request, with the caller's API key removed
//!   from its headers and query.
//! - [`CallerResponse`]: a response; [`refusal_response`] returns the one for a
//!   refused request.
//! - [`chunk_channel`]: creates the sender and the receiver of a streamed body.
//! - [`Stop`]: shuts a server down without cutting a request.
//! - [`restart_after_panics`]: keeps the background tasks of a serving process alive.
//!
//! docs/CALLERS.md describes the interface for callers and operators.

mod bounds;
mod connection;
mod idle_wait;
mod key;
mod race;
mod refusal;
mod request;
mod response;
mod restart;
mod serve;
mod stop;
mod stream;

pub use crate::bounds::Bounds;
pub use crate::key::PresentedKey;
pub use crate::refusal::refusal_response;
pub use crate::request::CallerRequest;
pub use crate::response::{CallerBody, CallerResponse};
pub use crate::restart::restart_after_panics;
pub use crate::serve::{Handler, Service, serve, serve_service};
pub use crate::stop::Stop;
pub use crate::stream::{CallerDisconnected, ChunkReceiver, ChunkSender, chunk_channel};
pub use http_types::Method;
pub use lycheeford_http::{
    HeldBytes, MemoryAccount, ReaderState, RequestHead, Reservation, SharedBody,
    strip_connection_headers,
};
