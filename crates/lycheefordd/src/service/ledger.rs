use std::sync::Arc;

use lycheeford_policy::{AttemptId, ClaimOutcome, LedgerBucket, LedgerClaim, Name, ledger_bucket};
use lycheeford_wire::stored::StoredLedgerBucket;
use slog::warn;

use crate::objects::{self, LEDGER_KIND, ObjectError};
use crate::state::State;
use crate::versioned::Versioned;

/// The number of write conflicts in a row after which an update of a bucket fails.
const CONFLICTS_MAX: usize = 16;

/// A claim on an at-most-once call, which only this daemon may dispatch.
pub(crate) struct LedgerEntry {
    state: Arc<State>,
    claim: LedgerClaim,
}

/// The result of claiming a call in the ledger.
pub(crate) enum Claimed {
    /// This attempt may dispatch the call, once.
    Run(LedgerEntry),
    /// This attempt must not dispatch the call. The outcome says why: usually the call was claimed
    /// before, and was answered or may still be running.
    Known(ClaimOutcome),
}

/// Claims a call before it is dispatched.
///
/// # Errors
///
/// Fails unless the claim is certain to be stored; the call must not run then.
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
            if error.is_outcome_unknown() {
                // The claim may be stored; releasing it lets the caller's next attempt run.
                async_std::task::spawn(entry.release());
            }
            Err(error)
        }
    }
}

impl LedgerEntry {
    /// Releases the claim: this attempt has not dispatched the call and never will.
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

    /// Records that the call may have run and that its answer will never be known.
    pub(crate) async fn record_unknown_outcome(self) {
        let given_up = self
            .change(|bucket, elapsed_ms| {
                let given_up = bucket.mark_lost(elapsed_ms, &self.claim)?;
                Some((Some(given_up), ()))
            })
            .await;
        if let Err(error) = given_up {
            warn!(self.state.log, "lost call not noted in the ledger"; "error" => %error);
        }
    }

    /// Stores the answer, which is returned when the same call is sent again.
    pub(crate) async fn record_answer(self, status: u16, body: &[u8]) {
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

    /// Changes the call's bucket by a conditional write, repeated after conflicts with other
    /// writers.
    ///
    /// `change` receives the bucket and the time in ms for which this daemon has known its
    /// version; it returns the bucket to write, if any, and a result.
    async fn change<R>(
        &self,
        change: impl Fn(&LedgerBucket, u64) -> Option<(Option<LedgerBucket>, R)>,
    ) -> Result<Option<R>, ObjectError> {
        let name = ledger_bucket(&self.claim.customer, &self.claim.key).to_string();
        for _ in 0..CONFLICTS_MAX {
            let read = self.read(&name).await?;
            let elapsed_ms =
                self.state.ledger_versions.lock().elapsed_ms(self.state.now(), &name, &read);
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
                    self.state.ledger_versions.lock().record_version(
                        self.state.now(),
                        &name,
                        written.version,
                    );
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
