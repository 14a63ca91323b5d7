use std::fmt::Display;

use lycheeford_platform::{Category, Expect, Object, ObjectStore, PlatformError, put_settled};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::state::State;
use crate::versioned::Versioned;

/// The kinds of objects that daemons write in addition to the configuration.
pub(crate) const REPLICA_KIND: &str = "replica";
pub(crate) const TARGET_KIND: &str = "target";
pub(crate) const SHARE_KIND: &str = "share";
pub(crate) const LEDGER_KIND: &str = "ledger";

/// The number of write conflicts in a row after which an update fails.
const CONFLICTS_MAX: usize = 16;
/// The time limit for one conditional write until its outcome is definite.
const WRITE_MS_MAX: u64 = 3_000;

/// Why an object couldn't be read or updated.
#[derive(Debug, Snafu)]
pub(crate) enum ObjectError {
    #[snafu(display("platform request failed: {source}"))]
    Platform { source: PlatformError },
    #[snafu(display("object {kind}/{name} is not readable: {reason}; restore or delete it"))]
    Unreadable { kind: String, name: String, reason: String },
    #[snafu(display("object {kind}/{name} has too many writers; try again"))]
    Contended { kind: String, name: String },
}

impl ObjectError {
    /// Returns whether the write may have taken effect or may still do so.
    pub(crate) fn is_outcome_unknown(&self) -> bool {
        match self {
            ObjectError::Platform { source } => source.category() == Category::OutcomeUnknown,
            ObjectError::Unreadable { .. } | ObjectError::Contended { .. } => false,
        }
    }
}

/// Reads an object; an object that doesn't exist has the default value.
///
/// # Errors
///
/// Fails if the platform request fails, or if the object can't be decoded.
pub(crate) async fn read<T, S>(
    state: &State,
    kind: &str,
    name: &str,
) -> Result<Versioned<T>, ObjectError>
where
    T: Default + TryFrom<S>,
    T::Error: Display,
    S: DeserializeOwned,
{
    let object = state.store.get(kind, name).await.context(PlatformSnafu)?;
    let Some(object) = object else {
        return Ok(Versioned { version: None, value: T::default() });
    };
    Ok(Versioned { version: Some(object.version), value: decode(&object)? })
}

/// Decodes a stored value.
///
/// # Errors
///
/// Fails if the value doesn't match the format of its kind.
pub(crate) fn decode<T, S>(object: &Object) -> Result<T, ObjectError>
where
    T: TryFrom<S>,
    T::Error: Display,
    S: DeserializeOwned,
{
    let unreadable = |reason: String| ObjectError::Unreadable {
        kind: object.kind.as_str().to_owned(),
        name: object.name.as_str().to_owned(),
        reason,
    };
    let stored: S = object.decode().map_err(|error| unreadable(error.to_string()))?;
    T::try_from(stored).map_err(|error| unreadable(error.to_string()))
}

/// Writes an object on condition that it still has the version from which the value was made.
///
/// # Errors
///
/// Fails on a conflict, and if the platform doesn't confirm the outcome in time.
pub(crate) async fn write<T, S>(
    state: &State,
    kind: &str,
    name: &str,
    version: Option<u64>,
    value: T,
) -> Result<Versioned<T>, ObjectError>
where
    S: Serialize + for<'a> From<&'a T>,
{
    let json = serde_json::to_value(S::from(&value)).map_err(|error| ObjectError::Unreadable {
        kind: kind.to_owned(),
        name: name.to_owned(),
        reason: error.to_string(),
    })?;
    let expect = version.map_or(Expect::Absent, Expect::Version);
    let version = put_settled(&state.store, kind, name, json, expect, WRITE_MS_MAX)
        .await
        .context(PlatformSnafu)?;
    Ok(Versioned { version: Some(version), value })
}

/// Reads an object, changes it and writes it, repeated after conflicts with other writers.
///
/// `change` returns the new value with a result, or `Err` to leave the object
/// unchanged.
///
/// # Errors
///
/// Fails if a platform request fails or conflicts persist; the inner result
/// is that of `change`.
pub(crate) async fn update<T, S, R, E>(
    state: &State,
    kind: &str,
    name: &str,
    mut change: impl FnMut(&T) -> Result<(T, R), E>,
) -> Result<Result<(Versioned<T>, R), E>, ObjectError>
where
    T: Default + TryFrom<S>,
    T::Error: Display,
    S: Serialize + DeserializeOwned + for<'a> From<&'a T>,
{
    for _ in 0..CONFLICTS_MAX {
        let read = read::<T, S>(state, kind, name).await?;
        let (value, result) = match change(&read.value) {
            Ok(changed) => changed,
            Err(error) => return Ok(Err(error)),
        };
        match write::<T, S>(state, kind, name, read.version, value).await {
            Ok(written) => return Ok(Ok((written, result))),
            Err(error) if is_conflict(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Err(ObjectError::Contended { kind: kind.to_owned(), name: name.to_owned() })
}

/// Returns whether a write certainly failed because of another write.
pub(crate) fn is_conflict(error: &ObjectError) -> bool {
    matches!(error, ObjectError::Platform { source } if source.category() == Category::Conflict)
}
