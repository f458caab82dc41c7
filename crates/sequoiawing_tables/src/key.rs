use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

/// The public part of a key. An identifier is never granted twice.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct KeyId(Name);

impl KeyId {
    /// Returns the identifier as text.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl From<&str> for KeyId {
    fn from(text: &str) -> Self {
        Self(Name::from(text))
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A granted key as stored in the tables, with only a hash of its secret.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Key {
    /// The public part.
    pub id: KeyId,
    /// The customer that requests with the key are attributed to.
    pub customer: Name,
    /// The SHA-256 hash of the secret, in hexadecimal.
    pub hash: String,
}

impl Key {
    /// Returns whether `secret` belongs to the key, using a constant-time
    /// comparison.
    pub fn matches_secret(&self, secret: &str) -> bool {
        let presented = hash_secret(secret);
        presented.as_bytes().ct_eq(self.hash.as_bytes()).into()
    }
}

/// The prefix of every sequoiawing key, so that secret scanners can detect
/// leaked keys.
const PREFIX: &str = "swk_";

/// A key as sent by its holder: `swk_<id>_<secret>`.
#[derive(Clone, Eq, PartialEq)]
pub struct BearerKey {
    /// The public part.
    pub id: KeyId,
    /// The secret part.
    pub secret: String,
}

impl BearerKey {
    /// Generates a random key.
    pub fn random() -> Self {
        let id = hex::encode(rand::random::<[u8; 8]>());
        let secret = hex::encode(rand::random::<[u8; 24]>());
        let id = KeyId::from(id.as_str());
        Self { id, secret }
    }

    /// Parses the value that follows `Bearer `.
    pub fn parse(text: &str) -> Option<Self> {
        let (id, secret) = text.strip_prefix(PREFIX)?.split_once('_')?;
        if id.is_empty() || secret.is_empty() {
            return None;
        }
        let secret = secret.to_owned();
        let id = KeyId::from(id);
        Some(Self { id, secret })
    }

    /// Returns the form of the key that is stored in the tables.
    pub fn to_stored_key(&self, customer: Name) -> Key {
        Key {
            id: self.id.clone(),
            customer,
            hash: hash_secret(&self.secret),
        }
    }

    /// Returns the full key, including the secret, as text.
    pub fn reveal(&self) -> String {
        format!("{PREFIX}{}_{}", self.id, self.secret)
    }
}

impl fmt::Debug for BearerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BearerKey({})", self.id)
    }
}

fn hash_secret(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}
