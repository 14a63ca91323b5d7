use xxhash_rust::xxh3::xxh3_64;

/// A 32-bit hash that stands for a name in messages between hosts.
///
/// Two names with the same key make a host assume a wrong load or residency; a target refuses
/// requests for models that it does not hold, so a collision costs no more than a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShortKey(pub u32);

impl ShortKey {
    /// Returns the key of `name`.
    pub fn of(name: &str) -> ShortKey {
        ShortKey(xxh3_64(name.as_bytes()) as u32)
    }

    /// Returns the key of an adapter on a model.
    pub fn of_adapter(model: &str, adapter: &str) -> ShortKey {
        ShortKey::of(&format!("{model}/{adapter}"))
    }
}
