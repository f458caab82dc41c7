//! Decisions about dispatch, placement and idleness.
//!
//! Both machines are pure: they are told the time and every event, and return
//! actions. A [`Dispatcher`] runs in each router and matches waiting requests
//! with upstreams; a [`Placer`] runs in the leader of each cell and decides
//! which models are loaded where. See [docs/design](../../../docs/design).

mod choice;
mod dispatch;
mod keep_alive;
mod place;
pub mod serving;
mod share;
mod work;

pub use choice::{AffinityChoice, Candidate, ChooseUpstream, LeastLoad};
pub use dispatch::{DispatchAction, DispatchEvent, DispatchSettings, Dispatcher};
pub use keep_alive::{FixedKeepAlive, KeepAlive, KeepAliveSettings, LearnedKeepAlive, Preload};
pub use place::{
    CheapestReload, CheckpointLocation, ChoosePlacement, CountReplicas, CustomerNeed, FairDeadline,
    FirstFit, Leadership, LeastRecentlyUsed, LoadNeed, NearestCheckpoint, OldestFirst,
    OnePerRouter, PlaceAction, PlaceEvent, PlacePolicies, PlaceSettings, Placement, Placer,
    RankVictims, ReplicaDemand, SequenceLoads, StoreUsage, TokenDemand, Victim,
};
pub use share::{FairTokens, FirstCome, MAX_PRIORITY, ShareService};
pub use work::{Refusal, Work};

/// The types that users of the decisions import most.
pub mod prelude {
    pub use crate::{DispatchAction, DispatchEvent, Dispatcher};
    pub use crate::{PlaceAction, PlaceEvent, Placer, Work};
}
