use hyper::{Method, Uri};
use sequoiawing_http::HeldBody;
use sequoiawing_types::Name;
use sha2::{Digest, Sha256};
use std::fmt;

/// Identifies what a caller asks for: requests of one customer with the same
/// method, path, query and body have the same digest.
///
/// It is a cryptographic hash, so that no caller can choose a request that has the
/// digest of another one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct RequestDigest(pub(crate) u64);

impl RequestDigest {
    /// Computes the digest of a request; `customer` is `None` on open routes.
    pub(crate) fn new(
        customer: Option<&Name>,
        method: &Method,
        host: &str,
        uri: &Uri,
        body: &HeldBody,
    ) -> Self {
        let path = uri.path_and_query().map_or("/", |p| p.as_str());
        let customer = customer.map_or("", Name::as_str);
        let mut hasher = Sha256::new();
        for field in [customer, method.as_str(), host, path] {
            let length = u64::try_from(field.len()).unwrap_or(u64::MAX);
            hasher.update(length.to_le_bytes());
            hasher.update(field);
        }
        for part in body.parts() {
            hasher.update(part);
        }
        let hash: [u8; 32] = hasher.finalize().into();
        let (first, _) = hash.split_first_chunk().unwrap_or((&[0; 8], &[]));
        Self(u64::from_le_bytes(*first))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
