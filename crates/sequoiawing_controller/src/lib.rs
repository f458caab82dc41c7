//! The control plane that replicates the routing tables.
//!
//! A controller commits commands to a replicated log, applies them to the tables
//! and publishes the tables to the routers that follow it. See
//! [docs/ARCHITECTURE.md](../../../docs/ARCHITECTURE.md).

mod budgets;
mod core;
mod daemon;
mod handle;
mod leadership;
mod metrics;
mod request;
mod service;
mod settings;
mod state_machine;
mod transport;
mod writer;

pub use daemon::{Controller, ReplicaStorage};
pub use handle::ControllerHandle;
pub use leadership::Leadership;
pub use settings::{ControllerSettings, Voter};

/// The most commonly used types.
pub mod prelude {
    pub use crate::{Controller, ControllerHandle, ControllerSettings, Leadership};
}
