//! Messages between daemons, and the JSON forms of stored objects.
//!
//! The daemon works with [`Message`]s. Their prost types are private to this
//! crate; [`encode`] and [`decode`] convert between a message and the bytes of
//! a frame. A frame from a peer is untrusted input: decoding checks that all
//! required fields are present and names the one that is missing.
//! docs/DESIGN.md describes which lane carries which message.
//!
//! ```
//! use lycheeford_policy::{Incarnation, Name};
//! use lycheeford_wire::{Hello, Message, decode, encode};
//!
//! let hello = Hello { host: Name::from("entry-1"), incarnation: Incarnation(7), build: None };
//! let hello = Message::Hello(hello);
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
