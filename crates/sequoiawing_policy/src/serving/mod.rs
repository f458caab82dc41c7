//! Which upstream serves a request, and which engine loads which model, where
//! configurations are replaced whole.
//!
//! Everything here is pure: it is told the time and what happened.

mod balancer;
mod engine;
mod handover;
mod hubs;
mod loader;
mod parts;
mod rate;
mod retries;
mod upstream;

pub use balancer::{Assigned, Balancer, Ended, Pick, ServingWork, UpstreamKey};
pub use engine::{EngineReply, EngineReport};
pub use handover::handover_wait;
pub use hubs::{HubChoice, HubFact, HubRole};
pub use loader::{LoadPlan, LoaderAction, LoaderEvent, LoaderSettings, ModelLoader};
pub use parts::{PartMemory, PromptPart};
pub use rate::{RateView, SharedRate};
pub use retries::{RetryLimits, RetryWindow};
pub use upstream::ReportedLoad;
