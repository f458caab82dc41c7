use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The unit in which a customer's rate and burst are counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RateUnit {
    /// Requests.
    #[default]
    Requests,
    /// The tokens that requests declare.
    Tokens,
}

/// A customer whose keys a catalog lists.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CatalogCustomer {
    /// The customer's name.
    pub name: Name,
    /// The keys that authenticate its requests; no two customers share a key.
    pub keys: Vec<Arc<str>>,
    /// The rank of its requests, which overrides that of the route.
    pub rank: Option<u32>,
    /// The unit of `rate`, `burst` and costs.
    pub unit: RateUnit,
    /// The rate limit over all hosts, in units per second; zero for no limit.
    pub rate: u64,
    /// The maximum burst, in units.
    pub burst: u64,
    /// The tokens charged for a request that declares none.
    pub plain_tokens: u64,
}

impl CatalogCustomer {
    /// Returns whether the customer's rate is limited.
    pub fn is_limited(&self) -> bool {
        self.rate > 0
    }

    /// Returns the units charged for a request that declares `tokens`.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            RateUnit::Requests => 1,
            RateUnit::Tokens => tokens.unwrap_or(self.plain_tokens),
        }
    }
}
