use futures_util::future::BoxFuture;
use serde_json::Value;

use crate::{Expect, Listing, Object, PlatformError, WatchBatch};

/// The platform's object API as the daemon uses it.
pub trait ObjectStore: Send + Sync + 'static {
    /// Returns the object, or `None` if there is none.
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Returns every object of `kind`.
    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>>;

    /// Returns every object of `kind` as it was some seconds ago at most, for less than an exact
    /// answer costs, where the platform can.
    fn list_cached<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        self.list(kind)
    }

    /// Stores a value if the object is as expected, and returns its new version.
    ///
    /// An error of [`Category::OutcomeUnknown`](crate::Category::OutcomeUnknown)
    /// leaves open whether the value was or will be stored;
    /// [`put_settled`](crate::put_settled) finds out.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        value: Value,
        expect: Expect,
    ) -> BoxFuture<'a, Result<u64, PlatformError>>;

    /// Deletes the object if it is at `version`; one that is gone is a conflict.
    fn delete<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        version: u64,
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Returns the changes of `kind` after the revision `after`.
    ///
    /// Answers at once if there are any, and empty after `wait_ms` otherwise.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<WatchBatch, PlatformError>>;
}
