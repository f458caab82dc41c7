//! Decisions about dispatch, placement and idleness.
//!
//! Both machines are pure: they are told the time and every event, and return
//! actions. A [`Dispatcher`] runs in each router and matches waiting requests
//! with upstreams; a [`Placer`] runs in the leader of each cell and decides
//! which models are loaded where. See [docs/design](../../../docs/design).

mod choice;
mod discipline;
mod dispatch;
mod keep_alive;
mod place;
mod request;
pub mod serving;

pub use choice::{AffinityChoice, Candidate, ChooseUpstream, LeastLoad};
pub use discipline::{FairTokens, FirstCome, MAX_PRIORITY, ShareService};
pub use dispatch::{DispatchAction, DispatchEvent, DispatchSettings, Dispatcher};
pub use keep_alive::{FixedKeepAlive, IdleSettings, KeepAlive, LearnedKeepAlive, Wake};
pub use place::{
    CheapestReload, Checkpoint, ChoosePlace, CountReplicas, FairDeadline, FirstAsked, FirstFit,
    Leading, LeastRecent, LoadNeed, NearestCheckpoint, NeedShare, OnePerQueue, PlaceAction,
    PlaceEvent, PlacePolicies, PlaceSettings, Placer, RankVictims, ReplicaDemand, SequenceLoads,
    Spot, StoreUse, TokenDemand, Victim,
};
pub use request::{Refusal, Work};

/// The types that users of the decisions import most.
pub mod prelude {
    pub use crate::{DispatchAction, DispatchEvent, Dispatcher};
    pub use crate::{PlaceAction, PlaceEvent, Placer, Work};
}
