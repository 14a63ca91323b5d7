use std::mem;

use xxhash_rust::xxh3::xxh3_64;

use crate::attribution::History;

/// The most ids that a connection carries before it is closed.
const IDS_MAX: usize = 64;

/// The calls that a connection has carried, with hashes of their ids.
///
/// A target may write an answer again at any later moment. If the request is sent to it once more,
/// on another connection, the copy can't be taken for the answer to that send. Two ids with the same
/// hash only make a request use another connection.
#[derive(Debug, Default)]
pub(crate) struct CarriedCalls {
    hashes: Vec<u64>,
    /// Whether it has carried any call, with or without an id.
    is_used: bool,
}

impl CarriedCalls {
    /// Records a call; returns whether there were others before.
    pub(crate) fn record(&mut self, id: Option<&str>) -> History {
        self.hashes.extend(id.map(|id| xxh3_64(id.as_bytes())));
        if mem::replace(&mut self.is_used, true) { History::Used } else { History::New }
    }

    pub(crate) fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&xxh3_64(id.as_bytes()))
    }

    /// Returns whether the connection must not carry another request.
    pub(crate) fn is_full(&self) -> bool {
        self.hashes.len() >= IDS_MAX
    }
}
