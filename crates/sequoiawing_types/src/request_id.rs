use serde::{Deserialize, Serialize};
use std::fmt;

/// An idempotency key that a client generates once for a change and sends with
/// every retry, so that a change whose reply was lost is not applied twice.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestId(String);

impl RequestId {
    /// Generates a random identifier of 128 bits.
    pub fn random() -> Self {
        Self(hex::encode(rand::random::<[u8; 16]>()))
    }

    /// Returns the identifier as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for RequestId {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
