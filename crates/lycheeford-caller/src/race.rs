use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use async_std::future;
use async_std::prelude::FutureExt;
use futures_util::FutureExt as _;

/// Returns the output of `work`, or `None` if `interrupt` completes first.
pub(crate) async fn unless_interrupted<T>(
    interrupt: impl Future<Output = ()>,
    work: impl Future<Output = T>,
) -> Option<T> {
    let work = async { Some(work.await) };
    let interrupt = async {
        interrupt.await;
        None
    };
    work.race(interrupt).await
}

/// Returns the output of `work`, or `None` if it takes longer than `limit_ms`.
pub(crate) async fn with_timeout<T>(limit_ms: u64, work: impl Future<Output = T>) -> Option<T> {
    future::timeout(Duration::from_millis(limit_ms), work).await.ok()
}

/// Returns the output of `work`, or `None` if it panics.
///
/// `work` is boxed, so that a connection without a request holds no memory for one.
pub(crate) async fn unless_panicked<T>(work: impl Future<Output = T>) -> Option<T> {
    AssertUnwindSafe(Box::pin(work)).catch_unwind().await.ok()
}
