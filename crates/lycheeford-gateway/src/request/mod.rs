//! The handling of a request: admission, waiting for a slot, attempts and the response.

mod admission;
mod answer;
mod attempt;
mod charge;
mod crash;
mod forward;
mod front;
mod late;
mod permit;
pub(crate) mod rates;
mod relay;
mod resume;
mod signals;
mod silence;
mod slot;
mod unstated_end;

pub(crate) use self::charge::pay_from_rates;
pub(crate) use self::crash::log_refused;
pub(crate) use self::front::Front;
pub(crate) use self::permit::PermitWaiters;
pub(crate) use self::signals::{apply_reported_leaving, apply_signals, update_limit};
pub(crate) use self::silence::record_heard;
