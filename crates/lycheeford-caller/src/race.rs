use std::future::Future;
use std::time::Duration;

use async_std::future;
use async_std::prelude::FutureExt;

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
