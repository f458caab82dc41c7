use sequoiawing_types::Name;
use serde::{Deserialize, Serialize};

/// The streams that upstreams of one software version began.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct StreamOrigin {
    /// The software version as the upstreams announce it, empty if they name none.
    pub software: Name,
    /// The digests of the callers' attempts that brought the first events.
    pub attempts: Vec<u64>,
}

/// The only software version that the upstreams of a pool have announced for a while.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct OnlySoftware {
    /// The version.
    pub software: Name,
    /// The time for which the hub has heard of no other, in milliseconds.
    pub age: u64,
}

/// A gateway's request for the software versions that began streams.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct OriginRequest {
    /// The pool of the streams.
    pub pool: Name,
    /// The digests of the callers' attempts that brought the first events.
    pub attempts: Vec<u64>,
}

/// The reply of a hub to an [`OriginRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct OriginReply {
    /// The software versions that the hub knows.
    pub origins: Vec<StreamOrigin>,
    /// The only version of the pool, if there was no other lately.
    pub only: Option<OnlySoftware>,
}
