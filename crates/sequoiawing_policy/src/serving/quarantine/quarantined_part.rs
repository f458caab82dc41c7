use sequoiawing_types::Time;
use serde::{Deserialize, Serialize};

/// A prompt part that is or was quarantined.
///
/// Hosts merge what they hear of a part: the higher term counts, and within a
/// term the release. Otherwise they keep the end they learned first, since
/// times that travel as ages drift a little at every hop.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct QuarantinedPart {
    /// The ID of the prompt part.
    pub part: u64,
    /// How many times the part has been quarantined.
    pub term: u32,
    /// When the quarantine ends and the probation begins.
    pub until: Time,
    /// Whether an answer on the part has been completed since.
    pub released: bool,
}

impl QuarantinedPart {
    /// Returns whether requests with the part are refused.
    pub fn is_live(&self, now: Time) -> bool {
        !self.released && now < self.until
    }

    /// Returns whether the quarantine has ended and the part is not known to be
    /// sound.
    pub fn is_on_probation(&self, now: Time) -> bool {
        !self.released && now >= self.until
    }
}
