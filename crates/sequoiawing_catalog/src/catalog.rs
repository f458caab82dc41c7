use crate::{CatalogCustomer, CatalogPool, CatalogRoute, check::check};
use sequoiawing_types::Findings;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Limits on the size and duration of requests from callers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CallerLimits {
    /// The maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// The maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// The timeout for receiving the headers and the body, in milliseconds.
    pub header_wait: u64,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_wait: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_wait: 10_000,
            idle_wait: 60_000,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Catalog {
    /// The version number set by the operator; the highest version is in force.
    pub version: u64,
    /// The routes, which map requests to pools.
    pub routes: Vec<CatalogRoute>,
    /// The pools, whose upstreams serve the requests.
    pub pools: Vec<CatalogPool>,
    /// The customers that may send requests; if empty, no key is required.
    pub customers: Vec<CatalogCustomer>,
    /// The limits for callers.
    pub bounds: CallerLimits,
}

impl Catalog {
    /// Validates the whole configuration and returns all findings.
    pub fn check(&self) -> Findings {
        check(self)
    }
}

/// A configuration and the text that the operator submitted.
///
/// The text is kept so that it can be returned unchanged, including fields that
/// this release does not know.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Document {
    /// The parsed configuration.
    pub catalog: Arc<Catalog>,
    /// The submitted text.
    pub text: Arc<str>,
}

impl Document {
    /// Returns the document, unless it stands for the lack of a configuration in a message:
    /// no submitted text is empty.
    pub fn into_submitted(self) -> Option<Self> {
        (!self.text.is_empty()).then_some(self)
    }
}
