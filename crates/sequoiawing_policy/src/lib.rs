//! Policies for dispatch, placement and keep-alive.
//!
//! All state machines are pure: they receive the time and every event, and
//! return actions. A [`Dispatcher`] runs in each router and matches queued
//! requests with upstreams; a [`Placer`] runs in the leader of each cell and
//! decides which models are loaded where. See
//! [docs/design](../../../docs/design).

mod choice;
mod discipline;
mod dispatch;
mod keep_alive;
mod place;
mod request;
pub mod serving;

pub use choice::{AffinityChoice, Candidate, ChooseUpstream, LeastLoad};
pub use discipline::{FairQueueing, Fifo, MAX_PRIORITY, QueueDiscipline};
pub use dispatch::{DispatchAction, DispatchEvent, DispatchSettings, Dispatcher};
pub use keep_alive::{FixedKeepAlive, KeepAlive, KeepAliveSettings, LearnedKeepAlive, Preload};
pub use place::{
    CheapestReload, CheckpointLocation, ChoosePlacement, CountReplicas, CustomerNeed, FairDeadline,
    FirstFit, Leadership, LeastRecentlyUsed, LoadNeed, NearestCheckpoint, OldestFirst,
    OnePerRouter, PlaceAction, PlaceEvent, PlacePolicies, PlaceSettings, Placement, Placer,
    RankVictims, ReplicaDemand, SequenceLoads, StoreUsage, TokenDemand, Victim,
};
pub use request::{DispatchRequest, Refusal};

/// The most commonly used types.
pub mod prelude {
    pub use crate::{DispatchAction, DispatchEvent, DispatchRequest, Dispatcher};
    pub use crate::{PlaceAction, PlaceEvent, Placer};
}
