use sequoiawing_budget::{Limits, Share};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A customer, whose keys authorize requests and whose token usage is limited
/// across the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Customer {
    /// The name, unique among customers.
    pub name: Name,
    /// The sustained rate limit, in tokens per second.
    pub rate: u64,
    /// The burst size, in tokens.
    pub burst: u64,
    /// The scheduling weight relative to other customers with queued requests.
    pub weight: u32,
    /// The shares of rate and burst, in millionths, that each data centre may
    /// use while disconnected; equal shares if empty. The sum must not exceed
    /// one million.
    pub shares: BTreeMap<Name, Share>,
}

impl Customer {
    /// Returns the limits of the customer's token budget.
    pub fn limits(&self) -> Limits {
        Limits::tokens(self.rate, self.burst)
    }
}

impl Default for Customer {
    fn default() -> Self {
        Self {
            name: Name::default(),
            rate: 1_000,
            burst: 10_000,
            weight: 1,
            shares: BTreeMap::new(),
        }
    }
}
