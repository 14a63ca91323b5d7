use std::borrow::Borrow;
use std::fmt::{self, Display};
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The longest abbreviated name.
const ABBREVIATED_BYTES_MAX: usize = 64;

/// A shared immutable name of a customer, model, target or other entity.
///
/// Clones share the text, so that tables keyed by name stay small.
///
/// ```
/// use lycheeford_policy::Name;
///
/// let name = Name::from("ice-chart");
/// assert_eq!(name.as_str(), "ice-chart");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the beginning of the name, for log lines about names of any length.
    pub fn abbreviated(&self) -> &str {
        &self.0[..self.0.floor_char_boundary(ABBREVIATED_BYTES_MAX)]
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name(Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Name {
        Name(Arc::from(text))
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

impl Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
