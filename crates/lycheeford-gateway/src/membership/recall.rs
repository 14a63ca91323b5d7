use std::time::Duration;

use async_std::future::timeout;
use futures_util::future::try_join;
use slog::{info, warn};

use super::stored_streams::reread_stored_streams;
use super::stored_versions::reread_stored_versions;
use crate::state::State;

/// How long a request waits for the store. Its caller can get the whole stream elsewhere sooner.
const ANSWER_MS_MAX: u64 = 300;
/// The least time between two readings: callers may name streams that never were.
const INTERVAL_MS: u64 = 250;

/// Reads from the store what it holds of the versions that began streams, for a request that resumes
/// one that no reachable host knows.
///
/// Requests that come meanwhile wait for the same reading.
pub(crate) async fn recall_versions(state: &State) {
    let reading = async {
        let mut recalled_at = state.versions_recalled_at.lock().await;
        let now = state.now();
        if recalled_at.is_some_and(|at| now.since_ms(at) < INTERVAL_MS) {
            return Ok(());
        }
        *recalled_at = Some(now);
        let both = try_join(reread_stored_versions(state), reread_stored_streams(state));
        both.await.map(|_| {
            let took_ms = state.now().since_ms(now);
            info!(state.log, "versions_recalled"; "took_ms" => took_ms);
        })
    };
    match timeout(Duration::from_millis(ANSWER_MS_MAX), reading).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => warn!(state.log, "versions_unrecalled"; "error" => %error),
        Err(_) => warn!(state.log, "versions_unrecalled"; "error" => "no answer in time"),
    }
}
