use sequoiawing_types::{Name, Time};

/// A decision to quarantine a prompt part, with the evidence for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineDecision {
    /// The ID of the prompt part.
    pub part: u64,
    /// How many times the part has been quarantined, including this one.
    pub term: u32,
    /// When the quarantine ends.
    pub until: Time,
    /// The number of crashes that led to the decision.
    pub crashes: usize,
    /// The upstreams that crashed, in the order of their crashes.
    pub upstreams: Vec<Name>,
}
