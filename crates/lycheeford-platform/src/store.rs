use futures_util::future::BoxFuture;
use lycheeford_policy::StoreVersion;
use serde_json::Value;

use crate::{Expect, Listing, Object, PlatformError, WatchBatch};

/// The platform's object API, as far as the daemon uses it.
pub trait ObjectStore: Send + Sync + 'static {
    /// Returns the newest era of the store that is known; see [`StoreVersion`].
    fn era(&self) -> u64 {
        StoreVersion::FIRST_ERA
    }

    /// Returns the object, or `None` if it doesn't exist.
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Returns every object of `kind`.
    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Returns every object of `kind`, from a state that may be some seconds old.
    ///
    /// Costs the platform less than [`list`](ObjectStore::list), where the platform supports it.
    fn list_cached<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        self.list(kind)
    }

    /// Stores a value if the object meets `expect`, and returns its new version.
    ///
    /// An error of [`Category::OutcomeUnknown`](crate::Category::OutcomeUnknown)
    /// leaves open whether the value was or will be stored;
    /// [`put_settled`](crate::put_settled) determines it.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        value: Value,
        expect: Expect,
    ) -> BoxFuture<'a, Result<u64, PlatformError>>;

    /// Deletes the object if it is at `version`; an object that is gone gives a conflict.
    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        version: u64,
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Returns the changes of `kind` after the revision `after`.
    ///
    /// Returns immediately if there are any, and otherwise at the first change or, with an empty
    /// batch, after `wait_ms`.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<WatchBatch, PlatformError>>;
}
