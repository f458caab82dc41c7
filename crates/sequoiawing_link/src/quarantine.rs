use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// A prompt part of a request whose answer had begun when its upstream crashed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct CrashedPart {
    /// The ID of the part.
    pub part: u64,
    /// The time since the last request with the part was sent to the upstream, in
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
    /// The shared prompt parts of these answers.
    pub parts: Vec<CrashedPart>,
}

/// The last complete answer on a prompt part.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PartSuccess {
    /// The ID of the part.
    pub part: u64,
    /// The time since the answer was complete, in milliseconds.
    pub age: u64,
}

/// A prompt part that is or was quarantined.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct QuarantineEntry {
    /// The ID of the part.
    pub part: u64,
    /// How many times the part has been quarantined.
    pub term: u32,
    /// The time until the quarantine ends, in milliseconds.
    pub remaining: u64,
    /// The time since the quarantine ended, in milliseconds.
    pub ended: u64,
    /// Whether an answer on the part has been completed since.
    pub released: bool,
}

/// What a gateway knows of crashed upstreams and the prompt parts that took part.
///
/// Every report contains all recent crashes, so that lost and repeated reports
/// and restarts of hubs do no harm.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct QuarantineReport {
    /// The recent crashes, by ascending number.
    pub crashes: Vec<CrashReport>,
    /// The last successes of the parts that hubs suspect.
    pub successes: Vec<PartSuccess>,
    /// The parts that are or were quarantined.
    pub quarantined: Vec<QuarantineEntry>,
}

/// What a hub tells gateways of prompt parts that crash upstreams.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct QuarantineUpdate {
    /// The parts whose last successes gateways should report.
    pub suspects: Vec<u64>,
    /// The parts that are or were quarantined.
    pub quarantined: Vec<QuarantineEntry>,
}
