use crate::{DispatchRequest, Refusal};
use sequoiawing_fleet::{Demand, DemandStatus, UpstreamState};
use sequoiawing_types::Name;
use std::{sync::Arc, time::Duration};

/// An input of a dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A request needs an upstream.
    Arrived(DispatchRequest),
    /// A queued request was cancelled.
    Cancelled {
        /// The request.
        id: u64,
    },
    /// An assigned request has ended.
    Finished {
        /// The request.
        id: u64,
        /// Whether the upstream handled the request properly.
        healthy: bool,
    },
    /// An upstream announced itself.
    Announced(Arc<UpstreamState>),
    /// An upstream is no longer alive.
    Gone {
        /// The upstream.
        upstream: Name,
    },
    /// The cell leader answered a demand.
    DemandAnswered {
        /// The requested adapter or model.
        model: Name,
        /// The state of the decision.
        state: DemandStatus,
    },
    /// Advances the time.
    Tick,
}

/// An output of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Send the request to the upstream.
    Assign {
        /// The request.
        id: u64,
        /// The upstream.
        upstream: Name,
        /// The priority for engines that support it; 0 is served first.
        priority: u32,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        id: u64,
        /// The reason.
        reason: Refusal,
        /// The suggested delay before a retry.
        retry: Duration,
    },
    /// Send a demand for a model to the leader of a cell.
    SendDemand(Demand),
}
