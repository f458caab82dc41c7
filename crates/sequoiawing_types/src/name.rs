use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, sync::Arc};

/// A shared, immutable name of a host, data centre, customer, upstream, route,
/// pool or model.
///
/// Names are cloned into many messages and indexes; clones share one allocation.
///
/// ```
/// use sequoiawing_types::Name;
///
/// let name = Name::from("captions");
/// assert_eq!(name.as_str(), "captions");
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

/// The maximum length of a name in the tables, in bytes.
const MAX_LENGTH: usize = 128;

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether other clones share the allocation.
    pub fn is_shared(&self) -> bool {
        Arc::strong_count(&self.0) > 1
    }

    /// Returns whether the name is valid in a table: 1 to 128 ASCII letters,
    /// digits, `-`, `_`, `.` or `/`.
    pub fn is_valid(&self) -> bool {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_./".contains(&b);
        !self.0.is_empty() && self.0.len() <= MAX_LENGTH && self.0.bytes().all(allowed)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl Default for Name {
    fn default() -> Self {
        Self::from("")
    }
}
