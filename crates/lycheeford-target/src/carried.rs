use xxhash_rust::xxh3::xxh3_64;

/// The most ids that a connection carries before it is closed.
const IDS_MAX: usize = 64;

/// The ids of the requests that a connection has carried, as hashes.
///
/// A target may write an answer again at any later moment. If the request is sent to it once more,
/// on another connection, the copy can't be taken for the answer to that send. Two ids with the same
/// hash only make a request use another connection.
#[derive(Debug, Default)]
pub(crate) struct CarriedIds {
    hashes: Vec<u64>,
}

impl CarriedIds {
    pub(crate) fn record(&mut self, id: &str) {
        self.hashes.push(xxh3_64(id.as_bytes()));
    }

    pub(crate) fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&xxh3_64(id.as_bytes()))
    }

    /// Returns whether the connection must not carry another request.
    pub(crate) fn is_full(&self) -> bool {
        self.hashes.len() >= IDS_MAX
    }
}
