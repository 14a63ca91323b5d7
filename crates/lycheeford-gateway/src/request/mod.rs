//! The handling of a request: admission, waiting for a slot, attempts and the response.

mod admission;
mod answer;
mod attempt;
mod charge;
mod crash;
mod front;
mod late;
mod permit;
mod place;
pub(crate) mod rates;
mod relay;
mod word;

pub(crate) use self::front::Front;
pub(crate) use self::permit::Permits;
pub(crate) use self::word::{take_leaving, take_told_limit, take_word};
