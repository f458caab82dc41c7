use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// The demand of one customer for a model.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CustomerDemand {
    /// The customer.
    pub customer: Name,
    /// The customer's weight in fair sharing.
    pub weight: u32,
    /// The total tokens of its waiting requests.
    pub tokens: u64,
    /// The time until its earliest deadline, in milliseconds.
    pub deadline: u64,
}

/// The demand of one router's queue for a model.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Demand {
    /// The host of the router whose requests are waiting.
    pub host: Name,
    /// The data centre whose leader receives the demand; empty for the router's
    /// own.
    pub centre: Name,
    /// Whether other data centres were asked without success. Replicas that are
    /// being loaded there are then ignored.
    pub urgent: bool,
    /// Whether the data centre is only asked to release its unused share of the
    /// model. Nothing is loaded there in this case.
    pub recall: bool,
    /// The pool.
    pub pool: Name,
    /// The model.
    pub model: Name,
    /// The adapter, if one is requested.
    pub adapter: Option<Name>,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The total tokens of the waiting requests.
    pub tokens: u64,
    /// The time until the earliest deadline, in milliseconds.
    pub deadline: u64,
    /// The token rate of one running request as measured by the router, in
    /// tokens per second; zero when unknown.
    pub pace: u32,
    /// The demand of each waiting customer, by earliest deadline.
    pub shares: Vec<CustomerDemand>,
}

/// The status of a demand, as the leader of a cell reports it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct DemandStatus {
    /// Whether a replica is known to be loaded or being loaded.
    pub decided: bool,
    /// The estimated time until a replica is ready, in milliseconds.
    pub estimate: u64,
    /// The reason why no replica can be loaded, if any.
    pub problem: Option<String>,
}
