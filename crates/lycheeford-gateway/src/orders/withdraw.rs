use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use async_std::future::timeout;
use lycheeford_policy::TimeMs;

/// The interval at which the clock is read during an exchange.
const CLOCK_CHECK_MS: u64 = 100;

/// Runs an exchange, or drops it at `give_up_at` and returns `None`.
///
/// The host may be suspended during the exchange, above all while it connects, and then finds the
/// awaited event when it resumes. So the clock is read before every poll: with a timer alone the
/// exchange could make another step first. Timers also stand still while the host is suspended, so
/// they are short, and the clock decides.
pub(super) async fn run_until<T>(
    clock: impl Fn() -> TimeMs,
    give_up_at: TimeMs,
    exchange: impl Future<Output = T>,
) -> Option<T> {
    let mut exchange = pin!(exchange);
    let mut steps = pin!(poll_fn(|context| {
        if clock() >= give_up_at {
            return Poll::Ready(None);
        }
        exchange.as_mut().poll(context).map(Some)
    }));
    loop {
        let check_ms = give_up_at.since_ms(clock()).min(CLOCK_CHECK_MS);
        if let Ok(result) = timeout(Duration::from_millis(check_ms), steps.as_mut()).await {
            return result;
        }
    }
}
