use sequoiawing_types::{CrashCause, Name, Time};

/// A decision to quarantine a cause of crashes, with the evidence for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuarantineDecision {
    /// The cause.
    pub cause: CrashCause,
    /// How many times the cause has been quarantined, including this one.
    pub term: u32,
    /// When the quarantine ends.
    pub until: Time,
    /// The number of crashes that led to the decision.
    pub crashes: usize,
    /// The upstreams that crashed, in the order of their crashes.
    pub upstreams: Vec<Name>,
}
