use sequoiawing_types::{CauseKind, CrashCause, Name};
use serde::{Deserialize, Serialize};

/// What a request that an upstream ran when it crashed has in common with others.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CrashedCause {
    /// The ID of the cause.
    #[serde(rename = "part")]
    pub id: u64,
    /// What the ID identifies.
    pub kind: CauseKind,
    /// Identifies the attempt of the caller for which that request was sent.
    pub attempt: u64,
    /// The time since the last request with the cause was sent to the upstream, in
    /// milliseconds.
    pub sent_age: u64,
}

/// The crash of an upstream, as seen by one gateway.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CrashReport {
    /// The sequence number of the report since the gateway started, from 1.
    pub number: u64,
    /// The upstream.
    pub upstream: Name,
    /// When the crashed incarnation of the upstream started.
    pub epoch: u64,
    /// The time since its answers broke off, in milliseconds.
    pub age: u64,
    /// What may have caused the crash.
    #[serde(rename = "parts")]
    pub causes: Vec<CrashedCause>,
}

/// The last complete answer to a request with a possible cause of crashes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CauseSuccess {
    /// The ID of the cause.
    #[serde(rename = "part")]
    pub id: u64,
    /// What the ID identifies.
    pub kind: CauseKind,
    /// The time since the answer was complete, in milliseconds.
    pub age: u64,
}

/// A cause of crashes that is or was quarantined.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct QuarantineEntry {
    /// The ID of the cause.
    #[serde(rename = "part")]
    pub id: u64,
    /// What the ID identifies.
    pub kind: CauseKind,
    /// How many times the cause has been quarantined.
    pub term: u32,
    /// The time until the quarantine ends, in milliseconds.
    pub remaining: u64,
    /// The time since the quarantine ended, in milliseconds.
    pub ended: u64,
    /// Whether an answer to a request with it has been completed since.
    pub released: bool,
}

/// What a gateway knows of crashed upstreams and what took part in the crashes.
///
/// Every report contains all recent crashes, so that lost and repeated reports
/// and restarts of hubs do no harm.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct QuarantineReport {
    /// The recent crashes, by ascending number.
    pub crashes: Vec<CrashReport>,
    /// The last successes of the causes that hubs suspect.
    pub successes: Vec<CauseSuccess>,
    /// The causes that are or were quarantined.
    pub quarantined: Vec<QuarantineEntry>,
}

/// What a hub tells gateways of causes of crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct QuarantineUpdate {
    /// The IDs of the causes whose last successes gateways should report.
    pub suspects: Vec<u64>,
    /// The causes that are or were quarantined.
    pub quarantined: Vec<QuarantineEntry>,
}

macro_rules! with_cause {
    ($($name:ident),*) => {$(
        impl $name {
            /// Returns the cause.
            pub fn cause(&self) -> CrashCause {
                CrashCause { kind: self.kind, id: self.id }
            }
        }
    )*};
}

with_cause!(CrashedCause, CauseSuccess, QuarantineEntry);
