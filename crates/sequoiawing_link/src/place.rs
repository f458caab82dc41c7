use sequoiawing_types::{Name, RequestRate};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// A brittle upstream at which a gateway wants a place.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlaceTarget {
    /// The upstream.
    pub upstream: Name,
    /// When the upstream started.
    pub epoch: u64,
    /// The number of requests that it can run concurrently, or 0 if it is unknown.
    pub slots: u32,
    /// The rejections per second above which it falls over.
    pub tolerance: RequestRate,
}

/// A request for a place at one of several upstreams.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlaceRequest {
    /// The gateway's number for the place.
    pub id: u64,
    /// The upstreams, the best one first.
    pub targets: Vec<PlaceTarget>,
}

/// A place that a gateway holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlaceInUse {
    /// The gateway's number for the place.
    pub id: u64,
    /// The upstream.
    pub upstream: Name,
    /// When the upstream started.
    pub epoch: u64,
}

/// The places that a gateway holds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlacesInUse {
    /// The first number of a place of which the hub may know more than the gateway.
    pub first_new: u64,
    /// The places with lower numbers.
    pub places: Vec<PlaceInUse>,
}

/// A call of a gateway about places at brittle upstreams.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlaceCall {
    /// The gateway's host.
    pub host: Name,
    /// Identifies the run of the gateway process; higher after each restart.
    pub incarnation: u64,
    /// The numbers of places that are given back; true if the upstream rejected the
    /// request for want of room.
    pub ended: Vec<(u64, bool)>,
    /// The places in use, now and then.
    pub held: Option<PlacesInUse>,
    /// The place that a request needs.
    pub wanted: Option<PlaceRequest>,
}

/// The reply of a hub to a [`PlaceCall`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct PlaceReply {
    /// The term in which the hub's host leads and gives out places; 0 if it does not.
    pub term: u64,
    /// The host that leads instead, if it is known.
    pub leader: Option<IpAddr>,
    /// The index of the upstream at which a place was given.
    pub given: Option<usize>,
    /// When a request without a place may come back, in milliseconds.
    pub retry: u64,
}
