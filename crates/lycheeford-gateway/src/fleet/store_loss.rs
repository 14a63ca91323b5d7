use std::sync::atomic::{AtomicBool, Ordering};

use slog::{info, warn};

use crate::state::State;

/// Logs each failure to follow a kind of objects in the store, and when the store answers again.
pub(super) struct StoreLoss<'a> {
    state: &'a State,
    kind: &'a str,
    is_lost: AtomicBool,
}

impl<'a> StoreLoss<'a> {
    pub(super) fn new(state: &'a State, kind: &'a str) -> StoreLoss<'a> {
        StoreLoss { state, kind, is_lost: AtomicBool::new(false) }
    }

    pub(super) fn failed(&self, error: &str) {
        self.is_lost.store(true, Ordering::Relaxed);
        warn!(self.state.log, "store_lost"; "kind" => self.kind, "error" => error);
    }

    pub(super) fn answered(&self) {
        if self.is_lost.swap(false, Ordering::Relaxed) {
            info!(self.state.log, "store_regained"; "kind" => self.kind);
        }
    }
}
