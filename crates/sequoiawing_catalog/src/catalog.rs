use crate::{CatalogCustomer, CatalogPool, CatalogRoute, check::check};
use sequoiawing_types::Findings;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CallerLimits {
    /// The largest headers, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long headers and body may take to arrive, in milliseconds.
    pub header_wait: u64,
    /// How long a connection may stay idle, in milliseconds.
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

/// A whole configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Catalog {
    /// The operator's number; the highest one is in force.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<CatalogRoute>,
    /// Where they are served.
    pub pools: Vec<CatalogPool>,
    /// Who may send them; without any, no key is asked for.
    pub customers: Vec<CatalogCustomer>,
    /// What callers are held to.
    pub bounds: CallerLimits,
}

impl Catalog {
    /// Checks the configuration as a whole and returns every finding.
    pub fn check(&self) -> Findings {
        check(self)
    }
}

/// A configuration and the text in which the operator sent it.
///
/// The text is kept so that it is read back as it was sent, with fields that
/// this release does not know.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Document {
    /// What the text means.
    pub catalog: Arc<Catalog>,
    /// The operator's text.
    pub text: Arc<str>,
}
