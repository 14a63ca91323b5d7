use lycheeford_config::{
    CHUNK_KIND, ChangeCategory, ChangeError, HEAD_KIND, HEAD_NAME, Head, HeadWrite,
    KEY_RANDOM_BYTES, check, generate_key, plan_apply, plan_grant, plan_withdraw,
};
use lycheeford_operator::{
    ApplyReport, ApplyRequest, GrantReport, GrantRequest, OperatorError, OperatorErrorCode,
    WithdrawRequest,
};
use lycheeford_platform::{Category, Expect, ObjectStore, PlatformError, put_settled};

use super::adopt::{adopt, read_configuration};
use super::committed::{Committed, ReadError, head_of};
use crate::state::State;

/// The time limit for one write until its outcome is definite.
const CHANGE_MS_MAX: u64 = 5_000;
/// The number of conflicts with other changes in a row after which a change is refused.
const CONFLICTS_MAX: usize = 16;

/// The stored configuration with the version of its head object. The version is `None` if no
/// configuration is stored.
pub(crate) struct Stored {
    pub(crate) version: Option<u64>,
    pub(crate) committed: Committed,
}

impl Stored {
    /// Returns the configuration that results from a committed write, without reading it back.
    fn committed_by(mut self, write: HeadWrite) -> Result<Committed, ReadError> {
        self.committed.chunks.extend(write.chunks);
        Committed::assemble(write.head, &self.committed.chunks)
    }
}

/// Reads the stored configuration from the platform.
///
/// # Errors
///
/// Fails if the platform doesn't answer or the stored configuration can't be read.
pub(crate) async fn read_stored(state: &State) -> Result<Stored, OperatorError> {
    let object = state.store.get(HEAD_KIND, HEAD_NAME).await.map_err(|error| platform(&error))?;
    let Some(object) = object else {
        return Ok(Stored { version: None, committed: Committed::default() });
    };
    let head = head_of(&object).map_err(|error| unreadable(&error))?;
    // Chunks are immutable, so the configuration in force is the stored one if the heads are
    // equal.
    let in_force = state.committed.load_full();
    let committed = if in_force.head == head {
        (*in_force).clone()
    } else {
        read_configuration(state, head).await.map_err(|error| unreadable(&error))?
    };
    Ok(Stored { version: Some(object.version), committed })
}

/// Replaces the declared part of the configuration.
///
/// # Errors
///
/// Fails on an invalid document, on a conflict with another apply, and if the
/// platform doesn't confirm the outcome.
pub(crate) async fn apply(
    state: &State,
    request: ApplyRequest,
) -> Result<ApplyReport, OperatorError> {
    let declared = check(&request.document).map_err(|faults| {
        OperatorError::new(OperatorErrorCode::FaultyDocument, faults.to_string())
    })?;
    let revision = change(state, |stored| {
        plan_apply(
            &stored.committed.head,
            &stored.committed.configuration,
            request.base_revision,
            &declared,
            &request.stamp,
        )
    })
    .await?;
    Ok(ApplyReport { revision })
}

/// Creates an API key for a customer; the secret is only in the returned report.
///
/// # Errors
///
/// Fails on an unknown customer, and if the platform doesn't confirm the outcome.
pub(crate) async fn grant_key(
    state: &State,
    request: GrantRequest,
) -> Result<GrantReport, OperatorError> {
    let random: [u8; KEY_RANDOM_BYTES] = rand::random();
    let (key, secret) = generate_key(&request.customer, &random);
    let revision = change(state, |stored| {
        plan_grant(&stored.committed.head, &stored.committed.configuration, key.clone(), &stamp())
    })
    .await?;
    Ok(GrantReport { id: key.id, customer: request.customer, secret, revision })
}

/// Withdraws an API key, which is refused once the new revision is in force.
///
/// # Errors
///
/// Fails on an unknown key, and if the platform doesn't confirm the outcome.
pub(crate) async fn withdraw_key(
    state: &State,
    request: WithdrawRequest,
) -> Result<ApplyReport, OperatorError> {
    let revision = change(state, |stored| {
        plan_withdraw(
            &stored.committed.head,
            &stored.committed.configuration,
            &request.id,
            &stamp(),
        )
    })
    .await?;
    Ok(ApplyReport { revision })
}

/// Plans a change to the stored configuration and commits it by one conditional write of the
/// head, again after a conflict with another change.
async fn change(
    state: &State,
    plan: impl Fn(&Stored) -> Result<HeadWrite, ChangeError>,
) -> Result<u64, OperatorError> {
    for _ in 0..CONFLICTS_MAX {
        let stored = read_stored(state).await?;
        let write =
            plan(&stored).map_err(|error| refused(&error, stored.committed.head.revision))?;
        store_chunks(state, &write).await?;
        match commit(state, stored.version, &write.head).await {
            Ok(()) => {
                let revision = write.head.revision;
                // The watch delivers the change as well, but this host need not wait for it.
                if let Ok(committed) = stored.committed_by(write) {
                    adopt(state, committed);
                }
                return Ok(revision);
            }
            Err(error) if error.category() == Category::Conflict => {}
            Err(error) => return Err(platform(&error)),
        }
    }
    let message = "too many concurrent configuration changes; try again";
    Err(OperatorError::new(OperatorErrorCode::Refused, message))
}

async fn store_chunks(state: &State, write: &HeadWrite) -> Result<(), OperatorError> {
    for chunk in &write.chunks {
        let value = chunk.text.clone().into();
        let put = put_settled(
            &state.store,
            CHUNK_KIND,
            &chunk.name,
            value,
            Expect::Absent,
            CHANGE_MS_MAX,
        );
        match put.await {
            Ok(_) => {}
            // A chunk's name is the digest of its content, so the same chunk is already stored.
            Err(error) if error.category() == Category::Conflict => {}
            Err(error) => return Err(platform(&error)),
        }
    }
    Ok(())
}

async fn commit(state: &State, version: Option<u64>, head: &Head) -> Result<(), PlatformError> {
    let expect = version.map_or(Expect::Absent, Expect::Version);
    // Serialization can't fail: a head contains only names and numbers.
    let value = serde_json::to_value(head).unwrap_or_default();
    put_settled(&state.store, HEAD_KIND, HEAD_NAME, value, expect, CHANGE_MS_MAX).await?;
    Ok(())
}

fn stamp() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}

fn refused(error: &ChangeError, revision: u64) -> OperatorError {
    match error.category() {
        ChangeCategory::Conflict => OperatorError::conflict(revision, error.to_string()),
        ChangeCategory::NotFound => {
            OperatorError::new(OperatorErrorCode::NotFound, error.to_string())
        }
        ChangeCategory::Refused => {
            OperatorError::new(OperatorErrorCode::Refused, error.to_string())
        }
    }
}

fn platform(error: &PlatformError) -> OperatorError {
    let code = match error.category() {
        Category::OutcomeUnknown => OperatorErrorCode::OutcomeUnknown,
        _ => OperatorErrorCode::PlatformUnavailable,
    };
    OperatorError::new(code, error.to_string())
}

fn unreadable(error: &ReadError) -> OperatorError {
    let code = match error {
        ReadError::Platform { .. } => OperatorErrorCode::PlatformUnavailable,
        _ => OperatorErrorCode::Internal,
    };
    OperatorError::new(code, error.to_string())
}
