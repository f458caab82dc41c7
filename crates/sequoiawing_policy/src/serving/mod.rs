//! Which upstream serves a request, and which engine loads which model, where
//! configurations are replaced whole.
//!
//! Everything here is pure: it is told the time and what happened.

mod balancer;
mod engine;
mod handover;
mod hub_selector;
mod loader;
mod prefix_cache;
mod retry_window;
mod shared_bucket;
mod upstream;

pub use balancer::{Assigned, Balancer, Ended, Pick, ServingWork, UpstreamKey};
pub use engine::{EngineReply, EngineReport};
pub use handover::handover_wait;
pub use hub_selector::{HubChoice, HubFact, HubRole};
pub use loader::{LoadPlan, LoaderAction, LoaderEvent, LoaderSettings, ModelLoader};
pub use prefix_cache::{PartMemory, PromptPart};
pub use retry_window::{RetryLimits, RetryWindow};
pub use shared_bucket::{RateView, SharedRate};
pub use upstream::ReportedLoad;
