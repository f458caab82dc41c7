use crate::{ShareRecord, Version};
use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// The kind of a [`CellRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Asks whether a promise would be made, without making one.
    Probe,
    /// Asks for a promise to follow no other host for the duration of a lease.
    Promise,
    /// Releases the promise that the member made to the sender.
    Release,
}

/// A request of a leader or candidate.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CellRequest {
    /// The sending host.
    pub from: Name,
    /// The term in which the sender leads or wants to lead.
    pub term: u64,
    /// The epoch of the membership that the sender uses.
    pub epoch: u64,
    /// The number of the sender's round, which attributes a late reply to its
    /// round.
    pub round: u64,
    /// The kind of the request.
    pub kind: RequestKind,
    /// The version of the sender's newest record in this epoch.
    #[serde(default)]
    pub has: Option<Version>,
    /// A record that the receiver may lack. A member that makes the promise
    /// stores it.
    #[serde(default)]
    pub record: Option<ShareRecord>,
}

/// The answer to a [`CellRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CellReply {
    /// The replying host.
    pub from: Name,
    /// The round of the request.
    pub round: u64,
    /// Whether the promise was made or, for a probe, would be made.
    pub granted: bool,
    /// The highest term known to the member or, if it refused without a current
    /// promise, the lowest term that it would promise.
    pub term: u64,
    /// The epoch of the membership that the member knows.
    pub epoch: u64,
    /// The holder of its current promise, if any.
    pub holder: Option<Name>,
    /// The version of the member's newest record in the request's epoch, if it
    /// made the promise.
    #[serde(default)]
    pub has: Option<Version>,
    /// That record, if the sender has no record as new.
    #[serde(default)]
    pub newer: Option<ShareRecord>,
}
