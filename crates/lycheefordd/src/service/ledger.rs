use std::sync::Arc;

use lycheeford_policy::{AttemptId, ClaimOutcome, LedgerBucket, LedgerClaim, Name, ledger_bucket};
use lycheeford_wire::stored::StoredLedgerBucket;
use slog::warn;

use crate::objects::{self, LEDGER_KIND, ObjectError};
use crate::state::State;
use crate::versioned::Versioned;

/// Updates of one bucket that lose to another writer this often are given up.
const CONFLICTS_MAX: usize = 16;

/// A claim to run a call at most once, which this daemon alone may dispatch.
pub(crate) struct LedgerEntry {
    state: Arc<State>,
    claim: LedgerClaim,
}

/// What the ledger says of a call.
pub(crate) enum Claimed {
    /// This attempt may dispatch it, once.
    Run(LedgerEntry),
    /// It is settled, or may be running.
    Known(ClaimOutcome),
}

/// Claims a call before it is dispatched.
///
/// # Errors
///
/// Fails if the claim can't be stored for certain; then the call must not run.
pub(crate) async fn claim(
    state: &Arc<State>,
    customer: &Name,
    key: &Name,
    fingerprint: u64,
) -> Result<Claimed, ObjectError> {
    let attempt = AttemptId { sender: state.me.clone(), number: state.next_number() };
    let claim = LedgerClaim { customer: customer.clone(), key: key.clone(), fingerprint, attempt };
    let entry = LedgerEntry { state: state.clone(), claim };
    let gone = state.gone.lock().clone();
    let outcome = entry
        .change(|bucket, elapsed_ms| {
            let (changed, mut outcomes) =
                bucket.claim_all(elapsed_ms, std::slice::from_ref(&entry.claim), &gone);
            let outcome = outcomes.pop()?;
            let write = outcome == ClaimOutcome::Run;
            Some((write.then_some(changed), outcome))
        })
        .await;
    match outcome {
        Ok(Some(ClaimOutcome::Run)) => Ok(Claimed::Run(entry)),
        Ok(Some(outcome)) => Ok(Claimed::Known(outcome)),
        Ok(None) => Ok(Claimed::Known(ClaimOutcome::Unknown)),
        Err(error) => {
            if error.outcome_unknown() {
                // The claim may be stored; given back, the caller's next try can run.
                async_std::task::spawn(entry.release());
            }
            Err(error)
        }
    }
}

impl LedgerEntry {
    /// Gives the call back: it wasn't dispatched and never will be by this attempt.
    pub(crate) async fn release(self) {
        let released = self
            .change(|bucket, elapsed_ms| {
                let released = bucket.release(elapsed_ms, &self.claim)?;
                Some((Some(released), ()))
            })
            .await;
        if let Err(error) = released {
            warn!(self.state.log, "ledger entry not released"; "error" => %error);
        }
    }

    /// Notes that the call may have run and that its answer won't be known.
    pub(crate) async fn give_up(self) {
        let given_up = self
            .change(|bucket, elapsed_ms| {
                let given_up = bucket.give_up(elapsed_ms, &self.claim)?;
                Some((Some(given_up), ()))
            })
            .await;
        if let Err(error) = given_up {
            warn!(self.state.log, "lost call not noted in the ledger"; "error" => %error);
        }
    }

    /// Keeps the answer for whoever sends the call again.
    pub(crate) async fn answered(self, status: u16, body: &[u8]) {
        let answered = self
            .change(|bucket, elapsed_ms| {
                let answered = bucket.answer(elapsed_ms, &self.claim, status, body)?;
                Some((Some(answered), ()))
            })
            .await;
        if let Err(error) = answered {
            warn!(self.state.log, "answer not kept in the ledger"; "error" => %error);
        }
    }

    /// Changes the call's bucket by conditional update, again while others write it too.
    ///
    /// `change` gets the bucket and the time since it was read; it returns the
    /// bucket to write, if any, and a result.
    async fn change<R>(
        &self,
        change: impl Fn(&LedgerBucket, u64) -> Option<(Option<LedgerBucket>, R)>,
    ) -> Result<Option<R>, ObjectError> {
        let name = ledger_bucket(&self.claim.customer, &self.claim.key).to_string();
        for _ in 0..CONFLICTS_MAX {
            let read = self.read(&name).await?;
            let elapsed_ms =
                self.state.ledger_seen.lock().elapsed_ms(self.state.now(), &name, &read);
            let Some((changed, result)) = change(&read.value, elapsed_ms) else { return Ok(None) };
            let Some(changed) = changed else { return Ok(Some(result)) };
            match objects::write::<_, StoredLedgerBucket>(
                &self.state,
                LEDGER_KIND,
                &name,
                read.version,
                changed,
            )
            .await
            {
                Ok(written) => {
                    self.state.ledger_seen.lock().saw(self.state.now(), &name, written.version);
                    return Ok(Some(result));
                }
                Err(error) if objects::is_conflict(&error) => {}
                Err(error) => return Err(error),
            }
        }
        Err(ObjectError::Contended { kind: LEDGER_KIND.to_owned(), name })
    }

    async fn read(&self, name: &str) -> Result<Versioned<LedgerBucket>, ObjectError> {
        objects::read::<LedgerBucket, StoredLedgerBucket>(&self.state, LEDGER_KIND, name).await
    }
}
