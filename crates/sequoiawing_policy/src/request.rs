use sequoiawing_types::{Name, Time};

/// A request that wants an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Unique within the router.
    pub id: u64,
    /// The customer for whom it runs.
    pub customer: Name,
    /// The customer's share of service beside others.
    pub weight: u32,
    /// The model; none for plain services.
    pub model: Option<Name>,
    /// The adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// The tokens that it may use.
    pub tokens: u64,
    /// The latest moment for its answer to begin.
    pub deadline: Time,
    /// The hash of its prompt's beginning; zero for none.
    pub prefix: u64,
    /// Upstreams that already failed it.
    pub avoid: Vec<Name>,
}

impl Work {
    /// Returns what an upstream must have loaded to run the request: the
    /// adapter, or else the model. Plain services need the empty name.
    pub fn target(&self) -> Name {
        let target = self.adapter.as_ref().or(self.model.as_ref());
        target.cloned().unwrap_or_default()
    }
}

/// Why a request was refused; nothing of it was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No upstream can start it before its deadline.
    TooLate,
    /// Too many requests wait.
    QueueFull,
    /// No upstream of the pool is alive, or none can hold the model.
    NoUpstream,
}
