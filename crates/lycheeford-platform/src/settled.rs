use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::task;
use lycheeford_policy::Name;
use serde_json::Value;

use crate::backoff::Backoff;
use crate::error::{GaveUpSnafu, OverwrittenSnafu};
use crate::{Category, Expect, ObjectStore, PlatformError};

/// The bounds of the delays between attempts at one put.
const BACKOFF_MS_MIN: u64 = 20;
const BACKOFF_MS_MAX: u64 = 500;

/// Puts a value and retries until the outcome is known.
///
/// After a lost answer it repeats the same conditional put: at most one of the
/// attempts can take effect, since each expects the same version. A conflict
/// then means that an earlier attempt took effect if the stored value equals
/// `value`. A value must therefore contain a stamp that no other write
/// contains, and no fractions, which JSON encoding needn't preserve.
///
/// Returns the version of the stored value.
///
/// # Errors
///
/// - [`Category::Conflict`]: the value was certainly not stored.
/// - [`Category::Unavailable`]: for `give_up_ms` the platform couldn't be
///   reached or refused each attempt; the value was certainly not stored.
/// - [`Category::OutcomeUnknown`]: an answer was lost, and either the outcome
///   stayed unknown for `give_up_ms` or another write followed. Once a later
///   write that expects the same version conflicts, no attempt of this call
///   can be stored any more; read the object.
/// - [`Category::TooLarge`] and [`Category::Malformed`] as from the store.
pub async fn put_settled(
    store: &dyn ObjectStore,
    kind: &str,
    name: &str,
    value: Value,
    expect: Expect,
    give_up_ms: u64,
) -> Result<u64, PlatformError> {
    let put = SettledPut { store, kind, name, value, expect };
    let deadline = Instant::now() + Duration::from_millis(give_up_ms);
    let mut backoff = Backoff::new(BACKOFF_MS_MIN, BACKOFF_MS_MAX);
    let mut history = History::NothingSent;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let Ok(attempt) = timeout(remaining, put.attempt(&mut history)).await else {
            return Err(GaveUpSnafu { give_up_ms }.build().into());
        };
        let error = match attempt {
            Ok(version) => return Ok(version),
            Err(error) => error,
        };
        if !matches!(error.category(), Category::Unavailable | Category::OutcomeUnknown) {
            return Err(error);
        }
        if history == History::Overwritten {
            return Err(error);
        }
        let delay = backoff.next_delay();
        if Instant::now() + delay >= deadline {
            return Err(match history {
                History::NothingSent => error,
                _ => GaveUpSnafu { give_up_ms }.build().into(),
            });
        }
        task::sleep(delay).await;
    }
}

/// The possible effects of the attempts so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum History {
    /// No attempt can have taken effect.
    NothingSent,
    /// An attempt may have taken effect.
    AnswerLost,
    /// An attempt may have taken effect before another write replaced it.
    Overwritten,
}

struct SettledPut<'a> {
    store: &'a dyn ObjectStore,
    kind: &'a str,
    name: &'a str,
    value: Value,
    expect: Expect,
}

impl SettledPut<'_> {
    async fn attempt(&self, history: &mut History) -> Result<u64, PlatformError> {
        let put = self.store.put(self.kind, self.name, self.value.clone(), self.expect).await;
        let error = match put {
            Ok(version) => return Ok(version),
            Err(error) => error,
        };
        match error.category() {
            Category::OutcomeUnknown => {
                *history = History::AnswerLost;
                Err(error)
            }
            Category::Conflict if *history == History::AnswerLost => self.read_back(history).await,
            _ => Err(error),
        }
    }

    async fn read_back(&self, history: &mut History) -> Result<u64, PlatformError> {
        let stored = self.store.get(self.kind, self.name).await?;
        match stored {
            Some(object) if object.value.as_ref() == Ok(&self.value) => Ok(object.version),
            _ => {
                *history = History::Overwritten;
                let (kind, name) = (Name::from(self.kind), Name::from(self.name));
                Err(OverwrittenSnafu { kind, name }.build().into())
            }
        }
    }
}
