//! Announcements of upstreams and the state kept about them.
//!
//! Upstreams announce themselves; there is no static list. A [`Registry`] keeps
//! the latest announcement of each upstream and removes those that stopped
//! announcing. For upstreams of other data centres it keeps the content of
//! [`Summary`] messages.

mod announcement;
mod bindings;
mod demand;
mod load_delta;
mod name_interner;
mod order;
mod pauses;
mod publisher;
mod registry;
mod remote_centres;
mod renewal;
mod roster;
mod software_history;
mod summary;

pub use announcement::{UpstreamKind, UpstreamState};
pub use demand::{CustomerDemand, Demand, DemandStatus};
pub use load_delta::{LoadDelta, RelayedState, Source};
pub use order::{Order, OrderKind, OrderReply};
pub use pauses::Pauses;
pub use publisher::Publisher;
pub use registry::{Registry, UpdateOutcome};
pub use remote_centres::SummaryUpdate;
pub use renewal::Renewal;
pub use roster::{Cursor, Interest, Roster, RosterEntry, RosterUpdate};
pub use summary::{Rank, StateList, Summary, SummaryChange};

/// The most commonly used types of this crate.
pub mod prelude {
    pub use crate::{Demand, Order, OrderKind, Registry, UpstreamKind, UpstreamState};
}
