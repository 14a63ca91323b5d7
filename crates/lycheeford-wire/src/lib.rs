//! Messages between daemons and the forms that objects take in the store.
//!
//! A [`Message`] is what the daemon works with; its prost form stays inside
//! this package, and [`encode`] and [`decode`] turn one into the other. A
//! frame from a peer is bytes from outside: decoding checks every field that
//! has a meaning and names the one that is wrong. docs/DESIGN.md tells which
//! lane of a connection carries which message.
//!
//! ```
//! use lycheeford_policy::{Incarnation, Name};
//! use lycheeford_wire::{Hello, Message, decode, encode};
//!
//! let hello = Message::Hello(Hello { host: Name::from("entry-1"), incarnation: Incarnation(7) });
//! assert_eq!(decode(&encode(hello.clone())).unwrap(), hello);
//! ```

mod convert;
mod error;
#[allow(missing_docs, clippy::pedantic)]
mod generated {
    include!("generated/lycheeford.peer.rs");
}
mod message;
pub mod stored;

pub use crate::convert::{decode, encode};
pub use crate::error::WireError;
pub use crate::message::{
    Beat, ConfigurationChunk, ConfigurationOffer, CustomerLoanReport, DemandReport, Expected,
    FormerHolder, Hello, HostReport, LoanAsk, LoanOffer, LoanRefusal, LoanSettled, Message,
    PlacementReport, Refused, SpareTokens, TargetPlacement,
};
