use std::fmt::{self, Debug};

/// A key as the caller presented it.
///
/// It has no `Display`, and its `Debug` hides the text, so that no log line
/// shows a key by accident.
///
/// ```
/// use lycheeford_caller::PresentedKey;
///
/// let key = PresentedKey::from("id.secret".to_owned());
/// assert_eq!(format!("{key:?}"), "PresentedKey(..)");
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct PresentedKey(String);

impl PresentedKey {
    /// Returns the text of the key, for the check against the digests.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for PresentedKey {
    fn from(text: String) -> PresentedKey {
        PresentedKey(text)
    }
}

impl Debug for PresentedKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PresentedKey(..)")
    }
}
