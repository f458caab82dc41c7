//! The filter chain between callers and upstreams.
//!
//! A request passes the [`Filter`]s of a [`Chain`] in order. [`Controller`]s
//! maintain the state that the filters read. [`Plugin`]s add both, so that a
//! deployment can extend the router. See
//! [docs/ARCHITECTURE.md](../../../docs/ARCHITECTURE.md).

mod attempt;
mod chain;
mod claim;
mod controllers;
mod credential;
mod daemon;
mod exchange;
mod explain;
mod filters;
mod first_ok;
mod headers;
mod key_grace;
mod limiter;
mod open_requests;
mod peers;
mod plugin;
mod propose;
mod refusal;
mod relay;
mod request_id;
mod retry;
mod saved_tables;
mod settings;
mod shard;
mod state;

pub use chain::{Chain, Filter, FilterFuture, Next};
pub use controllers::{Controller, intervals};
pub use credential::decode_percent;
pub use daemon::Router;
pub use exchange::{Completion, Credential, Exchange, Message};
pub use filters::StandardFilters;
pub use limiter::{Limiter, LocalLimiter, Reservation, ReserveFuture};
pub use plugin::{Plugin, RouterBuilder};
pub use refusal::{Code, Refused};
pub use settings::{PeerSettings, RouterSettings};
pub use state::RouterState;

/// The most commonly imported types.
pub mod prelude {
    pub use crate::{Filter, Next, Plugin, Router, RouterBuilder, RouterSettings};
}
