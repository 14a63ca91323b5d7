/// A stored value with the version at which it was read or written.
#[derive(Debug, Clone)]
pub(crate) struct Versioned<T> {
    /// `None` if the object doesn't exist.
    pub(crate) version: Option<u64>,
    pub(crate) value: T,
}
