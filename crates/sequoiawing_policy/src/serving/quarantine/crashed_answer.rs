use sequoiawing_types::{CrashCause, Name, Time};
use serde::{Deserialize, Serialize};

/// Evidence that an upstream ran a request when it crashed, for one possible cause.
///
/// A prompt part counts only if the answer had just begun. The last part of a prompt
/// belongs to the request itself and must not be reported.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CrashedAnswer {
    /// The upstream that crashed.
    pub upstream: Name,
    /// When the crashed incarnation of the upstream started.
    pub epoch: u64,
    /// What the request has in common with others.
    pub cause: CrashCause,
    /// Identifies the attempt of the caller, which a gateway may have sent to several
    /// upstreams.
    pub attempt: u64,
    /// When the request was sent to the upstream.
    pub sent: Time,
    /// When the answer broke off.
    pub broken: Time,
}
