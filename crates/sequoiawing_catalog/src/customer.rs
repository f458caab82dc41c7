use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// In what a customer's rate and burst are counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RateUnit {
    /// In requests.
    #[default]
    Requests,
    /// In the tokens that requests declare.
    Tokens,
}

/// A customer whose keys a catalog lists.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CatalogCustomer {
    /// The name.
    pub name: Name,
    /// The keys that admit requests; two customers share none.
    pub keys: Vec<Arc<str>>,
    /// The rank of its requests, which goes before that of the route.
    pub rank: Option<u32>,
    /// In what rate and burst are counted.
    pub unit: RateUnit,
    /// The units that accrue in a second over all hosts; zero for no limit.
    pub rate: u64,
    /// The units that may be used at once after a pause.
    pub burst: u64,
    /// The tokens for which a request counts that declares none.
    pub plain_tokens: u64,
}

impl CatalogCustomer {
    /// Reports whether the customer's use is bounded.
    pub fn is_limited(&self) -> bool {
        self.rate > 0
    }

    /// Returns the units for which a request counts that declares so many
    /// tokens.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            RateUnit::Requests => 1,
            RateUnit::Tokens => tokens.unwrap_or(self.plain_tokens),
        }
    }
}
