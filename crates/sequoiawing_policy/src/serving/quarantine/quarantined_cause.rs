use sequoiawing_types::{CrashCause, Time};
use serde::{Deserialize, Serialize};

/// A cause of crashes that is or was quarantined.
///
/// Hosts merge what they hear of a cause: the higher term counts, and within a
/// term the release. Otherwise they keep the end they learned first, since
/// times that travel as ages drift a little at every hop.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantinedCause {
    /// The cause.
    pub cause: CrashCause,
    /// How many times the cause has been quarantined.
    pub term: u32,
    /// When the quarantine ends and the probation begins.
    pub until: Time,
    /// Whether an answer to a request with it has been completed since.
    pub released: bool,
}

impl QuarantinedCause {
    /// Returns whether requests with the cause are refused.
    pub fn is_live(&self, now: Time) -> bool {
        !self.released && now < self.until
    }

    /// Returns whether the quarantine has ended and it is not known to be
    /// sound.
    pub fn is_on_probation(&self, now: Time) -> bool {
        !self.released && now >= self.until
    }
}
