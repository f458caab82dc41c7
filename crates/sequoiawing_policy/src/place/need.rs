use sequoiawing_types::{Name, Time};
use std::time::Duration;

/// The demand of one customer for a model that is to be loaded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerNeed {
    /// The customer.
    pub customer: Name,
    /// The customer's weight in fair sharing.
    pub weight: u32,
    /// The tokens that its waiting requests ask for.
    pub tokens: u64,
}

/// A replica that is needed and has not been ordered yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadNeed {
    /// The pool.
    pub pool: Name,
    /// The model, or the adapter as `model:adapter`.
    pub model: Name,
    /// The accelerator memory, in MiB.
    pub memory: u64,
    /// When the model was first requested.
    pub since: Time,
    /// The earliest deadline of the waiting requests.
    pub deadline: Time,
    /// The estimated load time.
    pub estimate: Duration,
    /// Whether requests are waiting now. Otherwise, they were refused or are
    /// only predicted.
    pub has_waiting: bool,
    /// Whether another replica is loaded or loading, in this data centre or
    /// elsewhere.
    pub is_extra: bool,
    /// The demand of each customer with waiting requests.
    pub shares: Vec<CustomerNeed>,
}

impl LoadNeed {
    /// Returns whether no waiting request can be served before its deadline.
    pub fn misses_deadline(&self, now: Time) -> bool {
        !self.has_waiting || now + self.estimate > self.deadline
    }
}
