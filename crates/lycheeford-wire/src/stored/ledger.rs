use lycheeford_policy::{
    AttemptId, LEDGER_BODY_BYTES_MAX, LedgerAnswer, LedgerBucket, LedgerRecord, LedgerState, Name,
};
use serde::{Deserialize, Serialize};

use super::{StoredError, StoredInstance, check_sorted};

/// The stored form of a [`LedgerBucket`]; the object is named after the bucket's number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredLedgerBucket {
    clock_ms: u64,
    records: Vec<StoredLedgerRecord>,
}

/// The stored form of a [`LedgerRecord`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredLedgerRecord {
    customer: Name,
    key: Name,
    fingerprint: u64,
    sender: StoredInstance,
    attempt: u64,
    state: StoredLedgerState,
    changed_ms: u64,
}

/// The stored form of a [`LedgerState`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum StoredLedgerState {
    /// An attempt has claimed the call, which may run later, be running or have run.
    Claimed,
    /// The attempt released the call before it was dispatched.
    Released,
    /// The call was dispatched, and its outcome is unknown.
    Lost,
    /// The call ran and its response is known.
    Answered {
        /// The HTTP status of the response.
        status: u16,
        /// The body in hex, or `None` if it was too long or the bucket was too full to keep it.
        body_hex: Option<String>,
    },
}

impl From<&LedgerBucket> for StoredLedgerBucket {
    fn from(bucket: &LedgerBucket) -> StoredLedgerBucket {
        StoredLedgerBucket {
            clock_ms: bucket.clock_ms,
            records: bucket.records.iter().map(StoredLedgerRecord::from).collect(),
        }
    }
}

impl TryFrom<StoredLedgerBucket> for LedgerBucket {
    type Error = StoredError;

    fn try_from(stored: StoredLedgerBucket) -> Result<LedgerBucket, StoredError> {
        let keys = stored.records.iter().map(|record| (&record.customer, &record.key));
        check_sorted("records.customer and records.key", keys)?;
        if stored.records.iter().any(|record| record.changed_ms > stored.clock_ms) {
            return Err(StoredError::above_bound("records.changed_ms", stored.clock_ms));
        }
        let records: Result<Vec<LedgerRecord>, StoredError> =
            stored.records.into_iter().map(LedgerRecord::try_from).collect();
        Ok(LedgerBucket { clock_ms: stored.clock_ms, records: records? })
    }
}

impl From<&LedgerRecord> for StoredLedgerRecord {
    fn from(record: &LedgerRecord) -> StoredLedgerRecord {
        StoredLedgerRecord {
            customer: record.customer.clone(),
            key: record.key.clone(),
            fingerprint: record.fingerprint,
            sender: (&record.attempt.sender).into(),
            attempt: record.attempt.number,
            state: (&record.state).into(),
            changed_ms: record.changed_ms,
        }
    }
}

impl TryFrom<StoredLedgerRecord> for LedgerRecord {
    type Error = StoredError;

    fn try_from(stored: StoredLedgerRecord) -> Result<LedgerRecord, StoredError> {
        Ok(LedgerRecord {
            customer: stored.customer,
            key: stored.key,
            fingerprint: stored.fingerprint,
            attempt: AttemptId { sender: stored.sender.into(), number: stored.attempt },
            state: stored.state.try_into()?,
            changed_ms: stored.changed_ms,
        })
    }
}

impl From<&LedgerState> for StoredLedgerState {
    fn from(state: &LedgerState) -> StoredLedgerState {
        match state {
            LedgerState::Claimed => StoredLedgerState::Claimed,
            LedgerState::Released => StoredLedgerState::Released,
            LedgerState::Lost => StoredLedgerState::Lost,
            LedgerState::Answered(answer) => StoredLedgerState::Answered {
                status: answer.status,
                body_hex: answer.body.as_ref().map(hex::encode),
            },
        }
    }
}

impl TryFrom<StoredLedgerState> for LedgerState {
    type Error = StoredError;

    fn try_from(stored: StoredLedgerState) -> Result<LedgerState, StoredError> {
        Ok(match stored {
            StoredLedgerState::Claimed => LedgerState::Claimed,
            StoredLedgerState::Released => LedgerState::Released,
            StoredLedgerState::Lost => LedgerState::Lost,
            StoredLedgerState::Answered { status, body_hex } => {
                let body = body_hex.as_deref().map(decode_body).transpose()?;
                LedgerState::Answered(LedgerAnswer { status, body })
            }
        })
    }
}

fn decode_body(text: &str) -> Result<Vec<u8>, StoredError> {
    const FIELD: &str = "records.state.answered.body_hex";
    if text.len() > 2 * LEDGER_BODY_BYTES_MAX {
        return Err(StoredError::above_bound(FIELD, 2 * LEDGER_BODY_BYTES_MAX as u64));
    }
    hex::decode(text).map_err(|_| StoredError::not_hex(FIELD))
}
