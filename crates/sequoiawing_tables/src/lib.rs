//! The replicated state machine of routes, pools, customers and keys.
//!
//! [`Tables::apply`] is deterministic: all controllers that apply the same
//! commands in the same order hold the same tables and return the same
//! outcomes. See [docs/ARCHITECTURE.md](../../../docs/ARCHITECTURE.md).

mod allotment;
mod change;
mod check;
mod claim;
mod claims;
mod command;
mod customer;
mod departure;
mod evacuation;
mod host;
mod key;
mod membership;
mod pool;
mod route;
mod shared;
mod store;
mod tables;

pub use allotment::{Allotment, Allotments};
pub use change::Change;
pub use claim::{Claim, ClaimId, ClaimState, StoredAnswer};
pub use command::{Command, Outcome};
pub use customer::Customer;
pub use departure::{DEPARTURE_RETENTION_S, Departure, Departures, MAX_DEPARTURES};
pub use evacuation::{Evacuations, MAX_EVACUATED};
pub use host::{CellEpoch, RouterHost};
pub use key::{BearerKey, Key, KeyId};
pub use pool::{Model, Pool, PoolKind};
pub use route::{Access, Route};
pub use shared::Shared;
pub use store::{ADAPTER_SLOTS, LOAD_SLOTS, LOAD_STARTS, Store};
pub use tables::{Revision, Tables, Update};

/// The most commonly used types.
pub mod prelude {
    pub use crate::{Change, Command, Customer, Key, Outcome, Pool, Revision, Route, Tables};
}
