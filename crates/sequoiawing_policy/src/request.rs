use sequoiawing_types::{Name, Time};

/// A request to be assigned to an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DispatchRequest {
    /// The ID, unique within the router.
    pub id: u64,
    /// The customer that the request belongs to.
    pub customer: Name,
    /// The weight of the customer in fair queueing.
    pub weight: u32,
    /// The model, or `None` for plain services.
    pub model: Option<Name>,
    /// The adapter, as `model:adapter`.
    pub adapter: Option<Name>,
    /// The maximum number of tokens that the request may use.
    pub tokens: u64,
    /// The time by which its response must begin.
    pub deadline: Time,
    /// The hash of the prompt prefix, or 0 for none.
    pub prefix: u64,
    /// The upstreams on which the request already failed.
    pub avoid: Vec<Name>,
}

impl DispatchRequest {
    /// Returns what an upstream must have loaded to run the request: the
    /// adapter if there is one, or else the model. Plain services use the empty
    /// name.
    pub fn target(&self) -> Name {
        let target = self.adapter.as_ref().or(self.model.as_ref());
        target.cloned().unwrap_or_default()
    }
}

/// The reason why a request was refused before any of it was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No upstream can start the request before its deadline.
    TooLate,
    /// Too many requests are queued.
    QueueFull,
    /// The pool has no live upstream, or none can load the model.
    NoUpstream,
}
