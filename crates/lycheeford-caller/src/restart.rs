use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::FutureExt;

/// The pause before a background task is started again, which doubles with each panic in a row.
const PAUSE_MIN: Duration = Duration::from_millis(100);
const PAUSE_MAX: Duration = Duration::from_secs(10);

/// Runs a background task, and starts it again after a panic.
///
/// The executor drops a task that panics, and its process goes on without noticing: what the task
/// kept current stays as it is, and what it waited for never happens. The tables of the process
/// survive, so that a new task continues from them. A panic that recurs, for example at an object
/// that every read of a list meets, costs one attempt a pause, of 10 s at most.
///
/// `panicked` is called with the message of each panic.
pub async fn restart_after_panics<F>(start: impl Fn() -> F, panicked: impl Fn(&str))
where
    F: Future<Output = ()>,
{
    let mut pause = PAUSE_MIN;
    loop {
        let started_at = Instant::now();
        // What the task borrows or owns is dropped; shared tables are usable after any panic.
        match AssertUnwindSafe(start()).catch_unwind().await {
            Ok(()) => return,
            Err(payload) => panicked(message(&*payload)),
        }
        if started_at.elapsed() >= PAUSE_MAX {
            pause = PAUSE_MIN;
        }
        task::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

fn message(payload: &(dyn Any + Send)) -> &str {
    let literal = payload.downcast_ref::<&str>().copied();
    literal.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or_default()
}
